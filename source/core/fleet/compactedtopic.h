/**
 * What is known of a compacted topic: the newest record of each key.
 */
#pragma once

#include "core/fleet/storerecords.h"

#include <functional>
#include <map>
#include <memory>

namespace greengageseam {

/** What has changed in a compacted topic since a position. */
struct TopicChanges
{
    /** The newest record of each key that has changed, or of all keys. */
    std::vector<KeyedRecord> records;
    /** Whether the records are the whole topic, so that keys without a record are gone. */
    bool isWhole = false;
    /** Position after the last record of the topic. */
    TopicPosition end;
    /** Every change that was accepted before this time lies before the end. */
    Instant completeAsOf;

    auto operator<=>(const TopicChanges &) const = default;
};

/**
 * Hook that decides whether a known record stays in force although the store has an older one for
 * its key or none, because it has lost the known one. It is asked only if the store names eras.
 * @param known the value that is known
 * @param stored the value that the store has; empty if it has none
 */
using KeepsRecord = std::function<bool(const std::string &key, const std::string &known,
                                       const std::optional<std::string> &stored)>;

/**
 * The newest record of each key of a topic, with the offset of its last change. A key that was
 * deleted is kept, so that its deletion can be passed on.
 */
class CompactedTopic
{
public:
    CompactedTopic() = default;
    explicit CompactedTopic(const KeyedSnapshot &snapshot);

    /**
     * @param keeps if empty, no record is kept
     * @returns a copy that is brought up to date; an older snapshot changes nothing
     */
    CompactedTopic withSnapshot(const KeyedSnapshot &snapshot, const KeepsRecord &keeps = {}) const;
    /**
     * @param from position at which the records begin; they may be fewer than the offsets that they
     *     cover, if only the newest one of each key is known
     * @param keeps if empty, no record is kept
     * @returns a copy with further records; unchanged if records before them are missing
     */
    CompactedTopic withTail(TopicPosition from, const KeyedBatch &tail,
                            const KeepsRecord &keeps = {}) const;
    /** @returns a copy that is brought up to date with what another process knows */
    CompactedTopic withChanges(TopicPosition from, const TopicChanges &changes) const;

    /** @returns the position after the last record */
    TopicPosition end() const { return m_end; }
    /** @returns the newest record of each key that is not deleted */
    KeyedSnapshot snapshot() const;
    /**
     * @returns the newest record of each key that has changed at or after a position; the whole
     *     topic if the position is of an earlier era; nothing if it is of a later one
     */
    TopicChanges changesSince(TopicPosition from) const;

    auto operator<=>(const CompactedTopic &) const = default;

private:
    struct Entry
    {
        std::optional<std::string> value;
        /** Offset of the last change, or a later one if it is not known exactly. */
        std::uint64_t changedAt = 0;

        auto operator<=>(const Entry &) const = default;
    };

    CompactedTopic withLaterEra(const KeyedSnapshot &snapshot, const KeepsRecord &keeps) const;

    std::map<std::string, Entry> m_entries;
    /** Deletions before this offset are not known. */
    std::uint64_t m_firstOffset = 0;
    TopicPosition m_end;
};

/** Shared by the tasks that read and that relay the topic. */
using CompactedTopicPtr = std::shared_ptr<const CompactedTopic>;

} // namespace greengageseam
