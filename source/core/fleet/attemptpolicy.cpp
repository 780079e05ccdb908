#include "core/fleet/attemptpolicy.h"

#include "core/fleet/upstreamoutcome.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Time without an event after which a stream is asked for at another backend server. */
constexpr auto streamSilence = std::chrono::milliseconds(1500);
/** Callers wait for an event at least this long, and for multiples of the objectives. */
constexpr auto minCallerPatience = std::chrono::seconds(2);
constexpr int patienceInLatencyObjectives = 4;
constexpr int patienceInEventObjectives = 8;
/** Share of the remaining time for which the response to another request is awaited. */
constexpr double silenceShare = 0.4;

} // namespace

bool allowsFurtherAttempt(const Route &route, const AttemptProgress &progress)
{
    const bool isResumable = !progress.hasStarted || progress.hasEventId;
    return isResumable && progress.sent < route.maxAttempts && progress.remaining > minAttemptTime;
}

bool allowsHedge(const Route &route, const AttemptProgress &progress)
{
    return isIdempotent(route.kind, route.canResume) && progress.inProgress == 1
            && allowsFurtherAttempt(route, progress);
}

Duration callerPatience(const Route &route)
{
    const Duration objectives = std::max(route.latencyObjective * patienceInLatencyObjectives,
                                         route.interEventObjective * patienceInEventObjectives);
    return std::max<Duration>(minCallerPatience, objectives);
}

Duration silenceTimeout(RouteKind kind, Duration remaining)
{
    if (kind == RouteKind::Streaming) {
        return std::min<Duration>(remaining, streamSilence);
    }
    return std::chrono::duration_cast<Duration>(remaining * silenceShare);
}

} // namespace greengageseam
