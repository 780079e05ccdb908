/**
 * Choice of a version by weight.
 */
#pragma once

#include "core/config/table.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace greengageseam {

/** A version that can be chosen, with its weight. */
struct VersionOption
{
    RowKey key;
    Digest manifest;
    Weight weight = 0;

    auto operator<=>(const VersionOption &) const = default;
};

/** @returns the versions of a model with a weight above zero for this zone and account */
std::vector<VersionOption> versionOptions(const Table &table, const ModelName &model,
                                          const ZoneName &zone, const AccountName &account);

/**
 * Chooses a version with a probability in proportion to its weight.
 * @param random a number with all 64 bits random
 * @returns the version, or nothing if there is none to choose from
 */
std::optional<VersionOption> chooseVersion(const std::vector<VersionOption> &options,
                                           std::uint64_t random);

} // namespace greengageseam
