/**
 * An order to load weights whose outcome is not known.
 */
#pragma once

#include "core/fleet/replica.h"

namespace greengageseam {

/**
 * An order to load that was sent and not answered. The backend server may still accept it, and
 * loads the pieces that are staged at that moment, so they must remain those of its version until
 * the order is settled.
 */
struct PendingOrder
{
    std::uint64_t version = 0;
    /** The incarnation of the backend server to which the order was sent. */
    std::uint64_t startedAtMs = 0;
    /** Number of orders that this incarnation had accepted before, as far as is known. */
    std::uint64_t acceptedOrders = 0;

    /** @returns true if the report shows that the order was accepted or can no longer be */
    bool isSettledBy(const ReplicaReport &report) const;

    auto operator<=>(const PendingOrder &) const = default;
};

} // namespace greengageseam
