/**
 * The check command: reads a configuration of the users' platform from a file, reports what is
 * wrong with it, and how it differs from another file.
 */
#pragma once

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
    /** Path of the configuration that it replaces; empty for no comparison. */
    std::optional<std::string> against;
    /** Whether to print JSON instead of text. */
    bool asJson = false;

    auto operator<=>(const CheckRequest &) const = default;
};

/** Prints the findings and differences. A file that cannot be read counts as an error. */
CheckExit checkFile(const CheckRequest &request);

} // namespace greengageseam
