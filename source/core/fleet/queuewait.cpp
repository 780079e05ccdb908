#include "core/fleet/queuewait.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Share of the objective, and of the remaining time, for which a request waits for a slot. */
constexpr double slotShare = 0.3;
/**
 * Share of the objective for which a request waits for a usable backend server if its caller can
 * come back. It covers the moment in which the last one is replaced by another.
 */
constexpr double serviceShare = 0.125;
/** Share of its remaining time for which a request waits if its caller cannot come back. */
constexpr double lastChanceShare = 0.5;
/** Fraction of the usual wait for a slot after which the least urgent requests are shed. */
constexpr double shedShare = 0.25;
/** Agents report free slots every 50 ms, so each request sees at least one report. */
constexpr Duration minShedWait = std::chrono::milliseconds(60);
constexpr auto maxLeftoverWait = std::chrono::milliseconds(1200);
/** Callers abandon a stream that has not started after about 2 s. */
constexpr auto maxServiceWait = std::chrono::milliseconds(1900);

Duration scaled(Duration time, double ratio)
{
    return std::chrono::duration_cast<Duration>(time * ratio);
}

} // namespace

QueueWait queueWait(const WaitingRequest &request)
{
    QueueWait wait;
    wait.slot = scaled(std::min(request.latencyObjective, request.remaining), slotShare);
    if (request.mayReturn) {
        wait.leftoverSlot = wait.slot;
        wait.service = std::min(wait.slot, scaled(request.latencyObjective, serviceShare));
        return wait;
    }
    const Duration lastChance = scaled(request.remaining, lastChanceShare);
    wait.leftoverSlot = std::max(wait.slot, std::min<Duration>(maxLeftoverWait, lastChance));
    wait.service = std::max(wait.slot, std::min<Duration>(maxServiceWait, lastChance));
    return wait;
}

Duration slotWait(const QueueWait &wait, const RequestPriority &priority, bool isShedding)
{
    if (!isShedding || !priority.isRanked()) {
        return wait.slot;
    }
    const double place = static_cast<double>(priority.level) / (priority.levels - 1);
    const Duration shortened = scaled(wait.slot, 1 - (1 - shedShare) * std::min(1.0, place));
    return std::min(wait.slot, std::max(minShedWait, shortened));
}

Duration serviceWait(const QueueWait &wait, Duration outage)
{
    return outage < wait.service ? wait.service : Duration::zero();
}

} // namespace greengageseam
