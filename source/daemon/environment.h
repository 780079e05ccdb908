/**
 * Environment variables of the daemon, each of which corresponds to a flag.
 */
#pragma once

#include <map>
#include <string>

namespace greengageseam {

/** Environment variables, keyed by name. */
using Environment = std::map<std::string, std::string>;

/**
 * @param variables null-terminated array of the form NAME=value, such as environ
 * @returns the variables whose names begin with `GREENGAGESEAM_`
 */
Environment readEnvironment(const char *const *variables);

/**
 * @param flag flag with its dashes, such as `--log-level`
 * @returns the variable of the flag, such as `GREENGAGESEAM_LOG_LEVEL`
 */
std::string variableNameFor(const std::string &flag);

} // namespace greengageseam
