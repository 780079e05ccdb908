/**
 * Records of a keyed topic of the platform's store. What was read says as of when it is complete,
 * so that a decision that rests on it can tell how old it is.
 */
#pragma once

#include "core/common/time.h"
#include "core/fleet/topicposition.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace greengageseam {

/** A record of a keyed topic. */
struct KeyedRecord
{
    std::string key;
    /** Empty if the record deletes the key (tombstone). */
    std::optional<std::string> value;

    auto operator<=>(const KeyedRecord &) const = default;
};

/** Snapshot of a topic: the latest record of each key. */
struct KeyedSnapshot
{
    std::vector<KeyedRecord> records;
    /** Position of the first record after the snapshot. */
    TopicPosition end;
    /** Every change that was accepted before this time is contained; the epoch if unknown. */
    Instant completeAsOf;

    auto operator<=>(const KeyedSnapshot &) const = default;
};

/** Consecutive records of a topic, in the order of their offsets. */
struct KeyedBatch
{
    std::vector<KeyedRecord> records;
    /** Position after the last record, in the era of the first one. */
    TopicPosition next;
    /** Whether only the newest record of each key is contained, so that offsets are unknown. */
    bool isCompacted = false;
    /**
     * Every change that was accepted before this time lies before next; the epoch if unknown,
     * or if further records exist.
     */
    Instant completeAsOf;

    auto operator<=>(const KeyedBatch &) const = default;
};

} // namespace greengageseam
