/**
 * Decides when a request is sent to a further backend server, beside an attempt that goes on or
 * after one that has failed.
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
    /** Attempts of which a backend server may have received something. */
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
 * Decides whether a further attempt may run beside one that is silent. The silent one goes on until
 * the other has brought something, because its backend server may only be slow.
 */
bool allowsAttemptBeside(const Route &route, const AttemptProgress &progress);

/**
 * @param remaining time until the request times out
 * @returns the time without news of an attempt after which another backend server is asked too
 */
Duration silenceTimeout(RouteKind kind, Duration remaining);

} // namespace greengageseam
