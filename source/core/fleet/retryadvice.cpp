#include "core/fleet/retryadvice.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr Duration minRetryAfter = std::chrono::milliseconds(150);
/** Callers wait at most this fraction of their remaining time. */
constexpr int remainingTimeDivisor = 3;
/** Slots have to become free twice as often as the backlog needs, as new requests take some. */
constexpr int backlogFactor = 2;
/** Fraction of the time that all callers wait; the rest differs from caller to caller. */
constexpr double commonShare = 0.5;

} // namespace

Duration longestRetryAfter(Duration remaining)
{
    return std::max<Duration>(minRetryAfter, remaining / remainingTimeDivisor);
}

Duration retryAfter(const RetryConditions &conditions)
{
    const Duration longest = longestRetryAfter(conditions.remaining);
    if (!conditions.hasServers) {
        return longest;
    }
    const auto backlog = static_cast<std::int64_t>(conditions.backlog);
    const Duration wait = std::max<Duration>(conditions.slotRelease * backlog * backlogFactor,
                                             conditions.pauseLeft);
    const Duration base = conditions.isSaturated ? longest : std::min(wait, longest);
    const double share = commonShare + (1 - commonShare) * std::clamp(conditions.spread, 0.0, 1.0);
    const Duration spread = std::chrono::duration_cast<Duration>(base * share);
    return std::clamp(std::max(spread, conditions.pauseLeft), minRetryAfter, longest);
}

} // namespace greengageseam
