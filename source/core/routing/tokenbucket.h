/**
 * Token bucket: limits a rate and its bursts.
 */
#pragma once

#include "core/common/time.h"

#include <cstdint>

namespace greengageseam {

/** Immutable token bucket. Each step returns a new one. */
class TokenBucket
{
public:
    /**
     * @param perSecond number of tokens added per second
     * @param burst capacity in tokens; the bucket starts full
     * @param now start time
     */
    TokenBucket(double perSecond, double burst, Instant now);

    /** @returns the bucket at a later time, refilled at its rate */
    TokenBucket at(Instant now) const;
    /** @returns whether the bucket holds at least @p amount */
    bool has(double amount) const { return m_level >= amount; }
    /** @returns the bucket after @p amount was taken; the level may become negative */
    TokenBucket taken(double amount) const;
    /** @returns the bucket with another rate and capacity; the level is kept up to the capacity */
    TokenBucket withRate(double perSecond, double burst) const;
    /**
     * @returns whether the bucket holds at least @p amount, or is full, so that waiting would not
     * help a request for more than its capacity
     */
    bool hasOrIsFull(double amount) const { return m_level >= amount || m_level >= m_burst; }
    /** @returns the time until the bucket holds @p amount; Duration::max() if it never will */
    Duration waitFor(double amount) const;

    auto operator<=>(const TokenBucket &) const = default;

private:
    double m_perSecond;
    double m_burst;
    /** Invariant: at most m_burst. */
    double m_level;
    Instant m_at;
};

} // namespace greengageseam
