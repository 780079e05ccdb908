/**
 * Records of a keyed topic of the platform's store, and the hooks that read them.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace greengageseam {

/** A record. */
struct KeyedRecord
{
    std::string key;
    /** Nothing if the key was dropped. */
    std::optional<std::string> value;

    auto operator<=>(const KeyedRecord &) const = default;
};

/** The newest record of each key. */
struct KeyedSnapshot
{
    std::vector<KeyedRecord> records;
    /** Offset from which on later records stand. */
    std::uint64_t endOffset = 0;

    auto operator<=>(const KeyedSnapshot &) const = default;
};

/** Records in the order in which they were written. */
struct KeyedBatch
{
    std::vector<KeyedRecord> records;
    /** Offset after the last of them. */
    std::uint64_t nextOffset = 0;

    auto operator<=>(const KeyedBatch &) const = default;
};

} // namespace greengageseam
