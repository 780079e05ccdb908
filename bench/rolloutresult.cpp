#include "rolloutresult.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr std::size_t minLatencySamples = 20;
constexpr double microseconds = 1e6;

/** @returns the 95th percentile; 0 if there are too few values */
double percentile95(std::vector<double> values)
{
    if (values.size() < minLatencySamples) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[values.size() * 95 / 100];
}

/**
 * @returns the lower bound of the rollout's time in seconds: one copy over a machine's link, or
 *          over the links from all other zones together, whichever takes longer
 */
double lowerBoundOf(const RolloutCase &rolloutCase)
{
    const auto bytes = static_cast<double>(rolloutCase.bytes);
    const double machine = bytes / static_cast<double>(rolloutCase.linkRate);
    if (rolloutCase.zones == 1) {
        return machine;
    }
    const auto otherZones = static_cast<double>(rolloutCase.zones - 1);
    return std::max(machine, bytes / otherZones / rolloutCase.zoneLink.bytesPerSecond);
}

} // namespace

double secondsOf(Duration duration)
{
    return static_cast<double>(duration.count()) / microseconds;
}

boost::json::object describe(const RolloutCase &rolloutCase, const RolloutResult &result)
{
    const auto bytes = static_cast<double>(rolloutCase.bytes);
    const double baseline = percentile95(result.latenciesBefore);
    const double moved = bytes * static_cast<double>(rolloutCase.replicas);
    const std::uint64_t chunkCount = rolloutCase.bytes / rolloutCase.chunkBytes;
    const auto chunks = static_cast<double>(chunkCount);
    return {{"policy", rolloutCase.policy},
            {"origin_copies_allowed", rolloutCase.originCopies},
            {"replicas", rolloutCase.replicas},
            {"zones", rolloutCase.zones},
            {"bytes", rolloutCase.bytes},
            {"chunk_bytes", rolloutCase.chunkBytes},
            {"seconds_to_half", result.secondsToHalf},
            {"seconds_to_all", result.secondsToAll},
            {"origin_copies", result.originBytes / bytes},
            {"max_upload_copies", result.largestUpload / bytes},
            {"lower_bound_seconds", lowerBoundOf(rolloutCase)},
            {"ratio_to_bound", result.secondsToAll / lowerBoundOf(rolloutCase)},
            {"live_p95_ratio", baseline > 0 ? percentile95(result.latenciesDuring) / baseline : 0},
            {"live_p95_ms", baseline * 1000},
            {"live_failed", result.failedRequests},
            {"agent_cpu_seconds_per_gb", result.agentCpuSeconds / moved * 1e9},
            {"largest_agent_bytes", result.maxAgentResidentBytes},
            {"have_messages_per_chunk_and_agent",
             result.haveMessagesSent / static_cast<double>(rolloutCase.replicas) / chunks}};
}

} // namespace greengageseam
