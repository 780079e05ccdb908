/**
 * What the benchmark of rollouts measures in one case, and how it is printed.
 */
#pragma once

#include "core/common/time.h"
#include "rolloutfleet.h"

#include <boost/json.hpp>
#include <vector>

namespace greengageseam {

/** Measurements of one rollout. */
struct RolloutResult
{
    /** Time until half and all of the replicas served the new version; 0 if they never did. */
    double secondsToHalf = 0;
    double secondsToAll = 0;
    /** Latencies of live requests in seconds, before and during the rollout. */
    std::vector<double> latenciesBefore;
    std::vector<double> latenciesDuring;
    std::uint64_t failedRequests = 0;
    /** CPU time of all agents in seconds, without that for live requests. */
    double agentCpuSeconds = 0;
    double originBytes = 0;
    /** Largest number of bytes that one agent has sent. */
    double largestUpload = 0;
    /** Number of announcements that all agents have sent. */
    double haveMessagesSent = 0;
    std::uint64_t maxAgentResidentBytes = 0;

    auto operator<=>(const RolloutResult &) const = default;
};

/** @returns the time in seconds */
double secondsOf(Duration duration);

/** @returns the JSON line of a case */
boost::json::object describe(const RolloutCase &rolloutCase, const RolloutResult &result);

} // namespace greengageseam
