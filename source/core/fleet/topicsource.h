/**
 * Chooses from which process to read a topic of the platform's store. One entry of each zone reads
 * the store; the others read from entries, to keep the load on the store and the links to it low.
 */
#pragma once

#include "core/common/ids.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace greengageseam {

/** The input of chooseTopicSource(). */
struct TopicSourceQuery
{
    /** The process that wants to read the topic. */
    InstanceId self;
    /** The running entries of its zone, in the order of zoneReaderOrder(). */
    std::vector<InstanceId> entries;
    /** Number of sources that have failed or declined since a read last succeeded. */
    std::uint32_t failures = 0;
    /** Entries that have lately not answered at all, and are passed over. */
    std::set<InstanceId> silent;

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
 * The first entry in the order reads the store; if that fails, it tries the other entries, of which
 * the next two read the store in its place. The others form a tree below it, and each reads from
 * its parent, then from the first three entries, then from the store. A process that is not an
 * entry reads from a few entries that a hash of its name selects, then from the store.
 *
 * All entries of a zone lose the first one at the same moment. They turn to the store one after the
 * other: the later an entry is in the order, the more often it tries the entries first, by which
 * time one of those before it passes the topic on. When all sources have failed, the entries are
 * tried several times for each time that the store is, so that a store that returns from an outage
 * is not read by every process at once.
 */
TopicSource chooseTopicSource(const TopicSourceQuery &query);

} // namespace greengageseam
