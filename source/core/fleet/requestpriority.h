/**
 * Priority of a request among the requests for the same service.
 */
#pragma once

#include <compare>
#include <cstdint>

namespace greengageseam {

/** Place of a request's priority among the priorities that requests for its service may have. */
struct RequestPriority
{
    /** Priority of the client account, or else of the route; 0 is the highest. */
    std::uint32_t effective = 0;
    /** Number of higher priorities that the configuration has for the service. */
    std::uint32_t level = 0;
    /** Number of different priorities that the configuration has for the service; at least 1. */
    std::uint32_t levels = 1;

    /** @returns whether requests for the service differ in priority, so that it is considered */
    bool isRanked() const { return levels > 1; }
    auto operator<=>(const RequestPriority &) const = default;
};

/** @returns the urgency to tell a backend server, from 0 (first) to 6; only for a ranked request */
std::uint32_t upstreamUrgency(const RequestPriority &priority);

} // namespace greengageseam
