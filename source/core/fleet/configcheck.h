/**
 * Checks a configuration for entries that cannot work as they are written, and compares two
 * configurations by what they mean to callers.
 */
#pragma once

#include "core/fleet/fleetconfig.h"

#include <string>
#include <vector>

namespace greengageseam {

/** How severe a finding is. */
enum class FindingSeverity {
    /** The configuration works, but hardly as it was meant. */
    Warning,
    /** Some requests cannot be served as the configuration says. */
    Error
};

/** Something in a configuration that is wrong. */
struct ConfigFinding
{
    FindingSeverity severity = FindingSeverity::Warning;
    /** The entry it is about, such as `route 2 (a.example/x/)`. Positions count from 1. */
    std::string place;
    std::string text;

    auto operator<=>(const ConfigFinding &) const = default;
};

/** A difference between two configurations. */
struct ConfigDifference
{
    /** The entry that differs. */
    std::string place;
    /** What changes for callers. */
    std::string text;

    auto operator<=>(const ConfigDifference &) const = default;
};

/**
 * Checks the entries of a configuration against each other. API keys are not named in the results.
 *
 * @returns the findings, in the order of the entries
 */
std::vector<ConfigFinding> checkConfig(const FleetConfig &config);

/**
 * Compares two configurations. Routes are the same if they match the same requests, whatever their
 * names; accounts and services are the same if their names are.
 *
 * @returns what changes for callers when @p after replaces @p before
 */
std::vector<ConfigDifference> compareConfigs(const FleetConfig &before, const FleetConfig &after);

} // namespace greengageseam
