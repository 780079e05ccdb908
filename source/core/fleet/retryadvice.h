/**
 * Advice on when a caller whose request was turned away should come back.
 */
#pragma once

#include "core/common/time.h"

#include <cstdint>

namespace greengageseam {

/** What the advice is based on. */
struct RetryConditions
{
    /** Mean time between two releases of a slot of the service. */
    Duration slotRelease {};
    /** Requests that wait for a slot of the service, as far as they are known. */
    std::uint64_t backlog = 0;
    /** Time until the first backend server takes requests again, if all have asked for a pause. */
    Duration pauseLeft {};
    /** Time that the caller has left. */
    Duration remaining {};
    /** Whether the service has backend servers that take requests. */
    bool hasServers = true;
    /** Whether more requests arrive than the backend servers can process. */
    bool isSaturated = false;
    /** Position within the range of times over which callers are spread, from 0 to 1. */
    double spread = 0;

    auto operator<=>(const RetryConditions &) const = default;
};

/** @returns the longest time that a caller with this much time left is told to wait */
Duration longestRetryAfter(Duration remaining);

/**
 * @returns the time after which the caller should come back. Without servers it is as long as the
 *          caller can wait. Under saturation callers are spread over the second half of that time:
 *          their requests would be turned away again before, and they should not return together.
 */
Duration retryAfter(const RetryConditions &conditions);

} // namespace greengageseam
