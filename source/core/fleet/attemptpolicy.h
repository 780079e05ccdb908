/**
 * Decides when a request is sent to a further backend server, after an attempt that has failed or
 * as a hedge beside one that is silent.
 */
#pragma once

#include "core/common/time.h"
#include "core/fleet/fleetconfig.h"

#include <cstdint>

namespace greengageseam {

/** No attempt is made with less time remaining, because it could not be answered in time. */
constexpr auto minAttemptTime = std::chrono::milliseconds(15);

/** How far a request has come. */
struct AttemptProgress
{
    /** Attempts of which a backend server may have received something, or still may. */
    std::uint32_t sent = 0;
    /** Attempts that have neither ended nor been given up. */
    std::uint32_t inProgress = 0;
    /** Whether the caller has received the start of a response. */
    bool hasStarted = false;
    /** Whether the events that the caller has received have ids, after which a stream can resume.
     */
    bool hasEventId = false;
    /** Time until the request times out. */
    Duration remaining {};

    auto operator<=>(const AttemptProgress &) const = default;
};

/** @returns whether the limits of the route and the time allow a further attempt */
bool allowsFurtherAttempt(const Route &route, const AttemptProgress &progress);

/**
 * Decides whether a request may be hedged: sent to a further backend server while one attempt is
 * silent. The silent one goes on until a response to the other begins, because its backend server
 * may only be slow.
 */
bool allowsHedge(const Route &route, const AttemptProgress &progress);

/**
 * @returns the time without an event of a stream, before its first one as well, after which callers
 *          abandon it
 */
Duration callerPatience(const Route &route);

/**
 * @param remaining time until the request times out
 * @returns the time without a part of a response after which a request is hedged
 */
Duration silenceTimeout(RouteKind kind, Duration remaining);

} // namespace greengageseam
