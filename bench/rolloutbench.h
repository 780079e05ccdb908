/**
 * Measures how soon a version has N replicas serving, and what its links carry.
 */
#pragma once

#include <string>
#include <vector>

namespace greengageseam {

/**
 * Prints a JSON line for each policy and size.
 * @param words `--quick` for the smallest case of each policy; `--only=<text>` for the cases
 *        whose name, as swarm-1-48-zones1, contains the text
 */
int runRolloutBench(const std::vector<std::string> &arguments);

} // namespace greengageseam
