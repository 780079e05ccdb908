/**
 * How long a request waits for a backend server before it is turned away.
 */
#pragma once

#include "core/common/time.h"
#include "core/fleet/requestpriority.h"

namespace greengageseam {

/** A request that needs a backend server. */
struct WaitingRequest
{
    /** Objective of its route for the time to the start of the response. */
    Duration latencyObjective {};
    /** Time until its caller's timeout. */
    Duration remaining {};
    /**
     * Whether its caller can still be told to come back: it has not done so already, and no backend
     * server may have begun the request.
     */
    bool mayReturn = true;

    auto operator<=>(const WaitingRequest &) const = default;
};

/** Limits of the wait for a backend server, by what it waits for. */
struct QueueWait
{
    /** For a free slot, while the response can still meet its objective. */
    Duration slot {};
    /** For a slot that is left over, once the objective is missed. */
    Duration leftoverSlot {};
    /** For a usable backend server, while the service has none. @see serviceWait */
    Duration service {};

    auto operator<=>(const QueueWait &) const = default;
};

/** @returns how long a request may wait */
QueueWait queueWait(const WaitingRequest &request);

/**
 * @param isShedding whether more requests arrive than the backend servers can process
 * @returns how long a request may wait for a free slot. Less urgent requests are turned away
 *          earlier while requests are shed; the most urgent ones wait for as long as otherwise.
 */
Duration slotWait(const QueueWait &wait, const RequestPriority &priority, bool isShedding);

/**
 * @param outage time for which the service has had no usable backend server
 * @returns how long a request may wait for one. An outage that has lasted for longer than the
 *          request may wait is not expected to end meanwhile, so the request is turned away at
 * once.
 */
Duration serviceWait(const QueueWait &wait, Duration outage);

} // namespace greengageseam
