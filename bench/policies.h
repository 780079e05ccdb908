/**
 * Distribution policies with which the swarm is compared. They run on the same code path.
 */
#pragma once

#include "core/weights/weights.h"

#include <string>

namespace greengageseam {

/**
 * @returns the policy with the given name: `naive` (every agent reads the origin), `tree` (a binary
 *          tree of agents), or the swarm for any other name
 */
TransferPolicy policyFromName(const std::string &name);

/**
 * Runs an agent with a policy until SIGTERM or SIGINT.
 * @param arguments name of the policy, followed by the flags of the daemon
 * @returns the exit code
 */
int runPolicyAgent(const std::vector<std::string> &arguments);

} // namespace greengageseam
