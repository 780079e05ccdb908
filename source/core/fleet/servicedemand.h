/**
 * Demand for a service as one entry sees it: how many requests callers make, and how many of them
 * the entry turns away because it finds no backend server in time.
 */
#pragma once

#include "core/common/ids.h"
#include "core/common/time.h"

#include <cstdint>
#include <deque>

namespace greengageseam {

/** Requests of callers for one service in the last second. */
struct ServiceDemand
{
    ServiceName service;
    std::uint32_t arrivals = 0;
    /** Those that were turned away, with an answer that lets the caller come back. */
    std::uint32_t turnedAway = 0;

    /** @returns the fraction of the requests that was turned away, from 0 to 1 */
    double turnedAwayShare() const;
    auto operator<=>(const ServiceDemand &) const = default;
};

/** @returns whether callers ask for clearly more than the backend servers of the service can do */
bool isSaturated(const ServiceDemand &demand);

/**
 * Counts the requests for one service over the last second.
 *
 * It is modified in place, because it is on the path of each request.
 */
class DemandMeter
{
public:
    /** Records a request of a caller. */
    void recordArrival(Instant now);
    /** Records that a request was turned away. */
    void recordTurnedAway(Instant now);
    /** @returns what was recorded in the second before @p now */
    ServiceDemand demand(const ServiceName &service, Instant now) const;

private:
    /** Counts of a tenth of a second. */
    struct Slice
    {
        std::int64_t number = 0;
        std::uint32_t arrivals = 0;
        std::uint32_t turnedAway = 0;
    };

    Slice &slice(Instant now);

    /** Oldest first; at most as many as make up a second, and the one in progress. */
    std::deque<Slice> m_slices;
};

} // namespace greengageseam
