/**
 * Settings of the daemon: flags and environment variables, checked whole before anything starts.
 */
#pragma once

#include "agent/agentsettings.h"
#include "core/common/errors.h"
#include "entry/entrysettings.h"
#include "net/log.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace greengageseam {

/** Everything that the daemon was told. */
struct DaemonSettings
{
    LogLevel logLevel = LogLevel::Info;
    /** Only check the settings, and end. */
    bool checkOnly = false;
    /** The settings of the role. */
    std::variant<EntrySettings, AgentSettings> role;
};

/** Environment variables by their names. */
using Environment = std::map<std::string, std::string>;

/** Text for `--help`, which is also what the command line is parsed by. */
extern const std::string daemonUsage;

/** @returns the variables of this process that begin with `GREENGAGESEAM_` */
Environment readEnvironment(const char *const *variables);

/**
 * Reads the settings. A flag goes before its environment variable.
 * @param arguments the command line without the program's name
 * @returns the settings, or InvalidRequest naming the setting, the value and what is allowed
 */
Result<DaemonSettings> readSettings(const std::vector<std::string> &arguments,
                                    const Environment &environment);

} // namespace greengageseam
