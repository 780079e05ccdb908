/**
 * Encodes the era of a position in the platform's store, which is absent if the store names none.
 */
#pragma once

#include "core/fleet/topicposition.h"

namespace greengageseam {

/** Sets the era of a wire struct. */
template <typename Wire>
void setEra(Wire &wire, std::uint64_t era)
{
    if (era > 0) {
        wire.__set_era(static_cast<std::int64_t>(era));
    }
}

/** @returns the position of an offset in the era of a wire struct */
template <typename Wire>
TopicPosition positionOf(const Wire &wire, std::int64_t offset)
{
    const std::int64_t era = wire.__isset.era ? wire.era : 0;
    return {static_cast<std::uint64_t>(offset), static_cast<std::uint64_t>(era)};
}

} // namespace greengageseam
