/**
 * How many requests a backend server takes at a time, learnt from what it refuses.
 */
#pragma once

#include <compare>
#include <cstdint>

namespace greengageseam {

/** Additive increase, multiplicative decrease; a step makes a new value. */
class ConcurrencyLimit
{
public:
    /** @returns the limit in whole requests, at least 1 */
    std::uint32_t current() const { return static_cast<std::uint32_t>(m_current); }
    /** @returns the limit after an answered request that ended with @p inFlight in progress */
    ConcurrencyLimit answered(std::uint32_t inFlight) const;
    /** @returns the limit after the backend server refused with @p inFlight in progress */
    ConcurrencyLimit rejected(std::uint32_t inFlight) const;

    auto operator<=>(const ConcurrencyLimit &) const = default;

private:
    double m_current = 16;
    /** Until the first refusal the limit doubles instead of creeping up. */
    bool m_isSlowStart = true;
};

} // namespace greengageseam
