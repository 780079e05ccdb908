/**
 * What a process knows of a topic, and as of when that is complete. The time passes from the store
 * through every process that relays the topic, and each step can only make it earlier. A process
 * therefore knows how old its view may be, however many steps it is away from the store.
 */
#pragma once

#include "core/fleet/compactedtopic.h"

namespace greengageseam {

/** A compacted topic, with the time as of which it is complete. */
class TopicView
{
public:
    TopicView() : m_topic(std::make_shared<const CompactedTopic>()) { }
    explicit TopicView(const KeyedSnapshot &snapshot);

    /**
     * @param keeps if empty, no record is kept
     * @returns a view that is brought up to date; an older snapshot changes and confirms nothing
     */
    TopicView withSnapshot(const KeyedSnapshot &snapshot, const KeepsRecord &keeps = {}) const;
    /** @returns a view with further records; unchanged if records before them are missing */
    TopicView withTail(TopicPosition from, const KeyedBatch &tail,
                       const KeepsRecord &keeps = {}) const;
    /** @returns a view that is brought up to date with what another process knows */
    TopicView withChanges(TopicPosition from, const TopicChanges &changes,
                          const KeepsRecord &keeps = {}) const;

    /** @returns the position after the last record */
    TopicPosition end() const { return m_topic->end(); }
    /** @returns the time before which every accepted change is contained */
    Instant completeAsOf() const { return m_completeAsOf; }
    /** @returns the newest record of each key that is not deleted */
    KeyedSnapshot snapshot() const;
    /** @returns the newest record of each key that has changed at or after a position */
    TopicChanges changesSince(TopicPosition from) const;

    auto operator<=>(const TopicView &) const = default;

private:
    /** Shared by all views that know the same records. Never null. */
    CompactedTopicPtr m_topic;
    /** Never decreases from one view to the next of the same era. */
    Instant m_completeAsOf;
};

} // namespace greengageseam
