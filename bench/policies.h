/**
 * Ways of distribution that the swarm is measured against, on the same code path.
 */
#pragma once

#include "core/weights/weights.h"

#include <string>

namespace greengageseam {

/** @returns the policy called `swarm`, `naive` (all read the origin) or `tree` (two children) */
TransferPolicy policyFromName(const std::string &name);

/** Runs an agent with a policy until SIGTERM. @param words the policy, then the daemon's flags */
int runPolicyAgent(const std::vector<std::string> &arguments);

} // namespace greengageseam
