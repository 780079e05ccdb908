/**
 * Benchmark of rollouts: time until all replicas serve a new version, and the traffic on the links.
 */
#pragma once

#include <string>
#include <vector>

namespace greengageseam {

/**
 * Prints a JSON line for each policy and size.
 * @param arguments `--quick` runs only the small cases of each policy; `--only=<text>` runs only
 *        cases whose name contains the text. A name consists of policy, origin copies, replicas
 *        and zones, for example swarm-1-48-zones1.
 * @returns the exit code
 */
int runRolloutBench(const std::vector<std::string> &arguments);

} // namespace greengageseam
