/**
 * The check command: reads a configuration of the users' platform from a file, reports what is
 * wrong with it, and how it differs from another file or from the one in force.
 */
#pragma once

#include "core/common/ids.h"

#include <optional>
#include <string>

namespace greengageseam {

/** Exit codes of the check command. */
enum class CheckExit { Clean = 0, Warnings = 1, Errors = 2 };

/** What to check, and how to print the result. */
struct CheckRequest
{
    /** Path of the configuration. */
    std::string file;
    /** Path of the configuration that it replaces; empty if it is not compared with a file. */
    std::optional<std::string> against;
    /** Store of the configuration in force; empty if it is not compared with that one. */
    std::optional<Address> store;
    /** Whether to print JSON instead of text. */
    bool asJson = false;

    auto operator<=>(const CheckRequest &) const = default;
};

/**
 * Prints the findings and differences. A file or store that cannot be read counts as an error; a
 * store without a configuration does not, and all of the file is new then.
 */
CheckExit checkFile(const CheckRequest &request);

} // namespace greengageseam
