/**
 * What is known of a compacted topic: the newest record of each key.
 */
#pragma once

#include "core/fleet/storerecords.h"

#include <map>
#include <memory>

namespace greengageseam {

/** What has changed in a compacted topic since an offset. */
struct TopicChanges
{
    /** The newest record of each key that has changed, or of all keys. */
    std::vector<KeyedRecord> records;
    /** Whether the records are the whole topic, so that keys without a record are gone. */
    bool isWhole = false;
    /** Offset after the last record of the topic. */
    std::uint64_t endOffset = 0;
    /** Every change that was accepted before this time lies before endOffset. */
    Instant completeAsOf;

    auto operator<=>(const TopicChanges &) const = default;
};

/**
 * The newest record of each key of a topic, with the offset of its last change. A key that was
 * deleted is kept, so that its deletion can be passed on.
 */
class CompactedTopic
{
public:
    CompactedTopic() = default;
    explicit CompactedTopic(const KeyedSnapshot &snapshot);

    /** @returns a copy that is brought up to date; an older snapshot changes nothing */
    CompactedTopic withSnapshot(const KeyedSnapshot &snapshot) const;
    /**
     * @param from offset at which the records begin; they may be fewer than the offsets that they
     *     cover, if only the newest one of each key is known
     * @returns a copy with further records; unchanged if records before them are missing
     */
    CompactedTopic withTail(std::uint64_t from, const KeyedBatch &tail) const;
    /** @returns a copy that is brought up to date with what another process knows */
    CompactedTopic withChanges(std::uint64_t from, const TopicChanges &changes) const;

    /** @returns the offset after the last record */
    std::uint64_t endOffset() const { return m_endOffset; }
    /** @returns the newest record of each key that is not deleted */
    KeyedSnapshot snapshot() const;
    /** @returns the newest record of each key that has changed at or after an offset */
    TopicChanges changesSince(std::uint64_t from) const;

    auto operator<=>(const CompactedTopic &) const = default;

private:
    struct Entry
    {
        std::optional<std::string> value;
        /** Offset of the last change, or a later one if it is not known exactly. */
        std::uint64_t changedAt = 0;

        auto operator<=>(const Entry &) const = default;
    };

    std::map<std::string, Entry> m_entries;
    /** Deletions before this offset are not known. */
    std::uint64_t m_firstOffset = 0;
    std::uint64_t m_endOffset = 0;
};

/** Shared by the tasks that read and that relay the topic. */
using CompactedTopicPtr = std::shared_ptr<const CompactedTopic>;

} // namespace greengageseam
