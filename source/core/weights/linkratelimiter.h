/**
 * Rate limit for weight transfers over a link that is shared with live requests.
 */
#pragma once

#include "core/routing/tokenbucket.h"

#include <cstdint>

namespace greengageseam {

/** An immutable token-bucket rate limiter, counted in bytes of weights sent or requested. */
class LinkRateLimiter
{
public:
    /**
     * @param bytesPerSecond the share of the link's bandwidth that weights may use; 0 for no limit
     * @param now the time at which the limiter starts
     */
    LinkRateLimiter(std::uint64_t bytesPerSecond, Instant now);

    /**
     * @returns a copy that runs at half the rate if @p isThrottled is true, or at the full rate;
     *          weights are throttled while many live requests are in progress
     */
    LinkRateLimiter throttled(bool isThrottled) const;
    /** @returns a copy that has advanced to a later time */
    LinkRateLimiter at(Instant now) const;
    /**
     * @returns a copy after @p bytes were consumed; the amount may exceed the available tokens, in
     *          which case later transfers wait until the deficit is paid off
     */
    LinkRateLimiter consumed(std::uint64_t bytes) const;
    /** @returns a copy after @p bytes that were consumed but not transferred were refunded */
    LinkRateLimiter refunded(std::uint64_t bytes) const;
    /** @returns the time until the next transfer may start; zero if it may start now */
    Duration waitTime() const;

    auto operator<=>(const LinkRateLimiter &) const = default;

private:
    bool m_isLimited;
    bool m_isThrottled = false;
    TokenBucket m_bucket;
};

} // namespace greengageseam
