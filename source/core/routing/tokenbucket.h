/**
 * Token bucket: bounds a rate and its bursts.
 */
#pragma once

#include "core/common/time.h"

#include <cstdint>

namespace greengageseam {

/** A rate with a burst; a step makes a new bucket. */
class TokenBucket
{
public:
    /**
     * @param perSecond how many tokens come in each second
     * @param burst how many tokens the bucket holds at most; it starts full
     * @param now the time at which it starts
     */
    TokenBucket(double perSecond, double burst, Instant now);

    /** @returns the bucket at a later time */
    TokenBucket at(Instant now) const;
    /** @returns whether @p amount can be taken now */
    bool has(double amount) const { return m_level >= amount; }
    /** @returns the bucket after @p amount was taken; it may go below zero */
    TokenBucket taken(double amount) const;
    /** @returns the bucket with another rate and burst; what is in it stays, as far as it fits */
    TokenBucket withRate(double perSecond, double burst) const;
    /** @returns whether @p amount can be taken, or the bucket is full and can never hold so much */
    bool hasOrIsFull(double amount) const { return m_level >= amount || m_level >= m_burst; }
    /** @returns how long until @p amount can be taken */
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
