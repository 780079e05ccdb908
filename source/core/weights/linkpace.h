/**
 * Rate limit for weight transfers over a link that is shared with live requests.
 */
#pragma once

#include "core/routing/tokenbucket.h"

#include <cstdint>

namespace greengageseam {

/** An immutable token-bucket rate limiter, counted in bytes of weights sent or requested. */
class LinkPace
{
public:
    /**
     * @param bytesPerSecond the share of the link's bandwidth that weights may use; 0 for no limit
     * @param now the time at which the limiter starts
     */
    LinkPace(std::uint64_t bytesPerSecond, Instant now);

    /**
     * @returns a copy that runs at half the rate if @p isThrottled is true, or at the full rate;
     *          weights are throttled while many live requests are in progress
     */
    LinkPace yielding(bool yields) const;
    /** @returns a copy that has advanced to a later time */
    LinkPace at(Instant now) const;
    /**
     * @returns a copy after @p bytes were consumed; the amount may exceed the available tokens, in
     *          which case later transfers wait until the deficit is paid off
     */
    LinkPace taken(std::uint64_t bytes) const;
    /** @returns a copy after @p bytes that were consumed but not transferred were refunded */
    LinkPace returned(std::uint64_t bytes) const;
    /** @returns the time until the next transfer may start; zero if it may start now */
    Duration wait() const;

    auto operator<=>(const LinkPace &) const = default;

private:
    bool m_isLimited;
    bool m_yields = false;
    TokenBucket m_bucket;
};

} // namespace greengageseam
