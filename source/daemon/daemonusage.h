/**
 * Usage text of the daemon.
 */
#pragma once

#include <string>

namespace greengageseam {

/** Usage text, printed by `--help`. docopt derives the command-line parser from it. */
extern const std::string daemonUsage;

} // namespace greengageseam
