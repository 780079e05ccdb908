/**
 * Position in a topic of the platform's store. After a loss of records the store begins another
 * era, in which it gives out offsets again, so that an offset alone does not tell what was read.
 */
#pragma once

#include <compare>
#include <cstdint>

namespace greengageseam {

/** An offset in the history of one era. Positions of a later era come after all of an earlier one.
 */
struct TopicPosition
{
    /** Offset of a record, or of the one after the last record. */
    std::uint64_t offset = 0;
    /** Era of the store; 0 if the store names none. */
    std::uint64_t era = 0;

    bool operator==(const TopicPosition &) const = default;
    std::strong_ordering operator<=>(const TopicPosition &other) const
    {
        const auto byEra = era <=> other.era;
        return byEra != 0 ? byEra : offset <=> other.offset;
    }
};

} // namespace greengageseam
