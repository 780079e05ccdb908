/**
 * Chooses from which process to read a topic of the platform's store. One entry of each zone reads
 * the store; the others read from entries, to keep the load on the store and the links to it low.
 */
#pragma once

#include "core/common/ids.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace greengageseam {

/** The input of chooseTopicSource(). */
struct TopicSourceQuery
{
    /** The process that wants to read the topic. */
    InstanceId self;
    /** The running entries of its zone, in the order of zoneReaderOrder(). */
    std::vector<InstanceId> entries;
    /** Number of sources that have failed since the entries last changed. */
    std::uint32_t failures = 0;

    auto operator<=>(const TopicSourceQuery &) const = default;
};

/** A choice of chooseTopicSource(). */
struct TopicSource
{
    /** The entry to read from; empty for the store. */
    std::optional<InstanceId> entry;
    /** Whether the next source should be tried at once if this one fails. */
    bool hasUntriedAlternative = false;

    auto operator<=>(const TopicSource &) const = default;
};

/**
 * Chooses the source of a topic.
 *
 * The first entry in the order reads the store. The others form a tree below it, and each reads
 * from its parent, then from the first entry, then from the store. A process that is not an entry
 * reads from a few entries that a hash of its name selects, then from the store. When all of them
 * have failed, it tries the entries several times for each time that it tries the store, so that a
 * store that returns from an outage is not read by every process at once.
 */
TopicSource chooseTopicSource(const TopicSourceQuery &query);

} // namespace greengageseam
