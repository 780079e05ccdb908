/**
 * Pace of weights over a link that live requests use as well.
 */
#pragma once

#include "core/routing/tokenbucket.h"

#include <cstdint>

namespace greengageseam {

/** Says when bytes of weights may be sent or asked for; a step makes a new pace. */
class LinkPace
{
public:
    /** @param bytesPerSecond rate of the link's share for weights; 0 is without limit */
    LinkPace(std::uint64_t bytesPerSecond, Instant now);

    /** @returns the pace while live requests are many or, again, few: many halve the rate */
    LinkPace yielding(bool yields) const;
    /** @returns the pace at a later time */
    LinkPace at(Instant now) const;
    /** @returns the pace after @p bytes; they may go beyond what is free, and delay what follows */
    LinkPace taken(std::uint64_t bytes) const;
    /** @returns the pace after @p bytes that were taken did not come */
    LinkPace returned(std::uint64_t bytes) const;
    /** @returns how long until something may be sent */
    Duration wait() const;

    auto operator<=>(const LinkPace &) const = default;

private:
    bool m_isLimited;
    bool m_yields = false;
    TokenBucket m_bucket;
};

} // namespace greengageseam
