/**
 * Settings of the daemon, from flags and environment variables. All of them are validated before
 * anything starts.
 */
#pragma once

#include "agent/agentsettings.h"
#include "core/common/errors.h"
#include "daemon/environment.h"
#include "entry/entrysettings.h"
#include "net/log.h"

#include <string>
#include <variant>
#include <vector>

namespace greengageseam {

/** All settings of the daemon. */
struct DaemonSettings
{
    LogLevel logLevel = LogLevel::Info;
    /** Whether to exit after validating the settings. */
    bool checkOnly = false;
    /** The settings of the role. */
    std::variant<EntrySettings, AgentSettings> role;
};

/**
 * Reads and validates the settings. A flag overrides its environment variable.
 *
 * @param arguments the command line without the program's name
 * @param machine limits of the process that apply unless a setting lowers or raises them
 * @returns the settings, or InvalidRequest with the name of the invalid setting, its value and the
 *          values that are allowed
 */
Result<DaemonSettings> readSettings(const std::vector<std::string> &arguments,
                                    const Environment &environment,
                                    const ProcessLimits &machine = {});

} // namespace greengageseam
