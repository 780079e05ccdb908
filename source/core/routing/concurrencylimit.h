/**
 * Adaptive concurrency limit of a backend server, learnt from its rejections.
 */
#pragma once

#include <compare>
#include <cstdint>

namespace greengageseam {

/** Immutable limit with additive increase and multiplicative decrease (AIMD). */
class ConcurrencyLimit
{
public:
    /** @returns the limit in whole requests, at least 1 */
    std::uint32_t current() const { return static_cast<std::uint32_t>(m_current); }
    /** @returns the limit after a request got a response while @p inFlight were in flight */
    ConcurrencyLimit answered(std::uint32_t inFlight) const;
    /** @returns the limit after a request was rejected while @p inFlight were in flight */
    ConcurrencyLimit rejected(std::uint32_t inFlight) const;

    auto operator<=>(const ConcurrencyLimit &) const = default;

private:
    double m_current = 16;
    /** Until the first rejection the limit grows exponentially instead of linearly. */
    bool m_isSlowStart = true;
};

} // namespace greengageseam
