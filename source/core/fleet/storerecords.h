/**
 * Records of a keyed topic of the platform's store.
 */
#pragma once

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
    /** Offset of the first record after the snapshot. */
    std::uint64_t endOffset = 0;

    auto operator<=>(const KeyedSnapshot &) const = default;
};

/** Consecutive records of a topic, in the order of their offsets. */
struct KeyedBatch
{
    std::vector<KeyedRecord> records;
    /** Offset after the last record. */
    std::uint64_t nextOffset = 0;
    /** Whether only the newest record of each key is contained, so that offsets are unknown. */
    bool isCompacted = false;

    auto operator<=>(const KeyedBatch &) const = default;
};

} // namespace greengageseam
