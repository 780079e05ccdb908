/**
 * Pace of weights over a link that live requests use as well.
 */
#pragma once

#include "core/routing/tokenbucket.h"

#include <cstdint>

namespace greengageseam {

/** Says when bytes of weights may be sent or asked for; a step makes a new pace. */
class LinkRateLimiter
{
public:
    /** @param bytesPerSecond rate of the link's share for weights; 0 is without limit */
    LinkRateLimiter(std::uint64_t bytesPerSecond, Instant now);

    /** @returns the pace while live requests are many or, again, few: many halve the rate */
    LinkRateLimiter throttled(bool isThrottled) const;
    /** @returns the pace at a later time */
    LinkRateLimiter at(Instant now) const;
    /** @returns the pace after @p bytes; they may go beyond what is free, and delay what follows */
    LinkRateLimiter consumed(std::uint64_t bytes) const;
    /** @returns the pace after @p bytes that were taken did not come */
    LinkRateLimiter refunded(std::uint64_t bytes) const;
    /** @returns how long until something may be sent */
    Duration waitTime() const;

    auto operator<=>(const LinkRateLimiter &) const = default;

private:
    bool m_isLimited;
    bool m_isThrottled = false;
    TokenBucket m_bucket;
};

} // namespace greengageseam
