#include "core/fleet/compactedtopic.h"

#include <algorithm>
#include <set>

namespace greengageseam {

namespace {

/** @returns the offset of the last record before an end */
std::uint64_t lastBefore(std::uint64_t endOffset)
{
    return endOffset == 0 ? 0 : endOffset - 1;
}

} // namespace

CompactedTopic::CompactedTopic(const KeyedSnapshot &snapshot)
    : m_firstOffset(snapshot.endOffset), m_endOffset(snapshot.endOffset)
{
    for (const KeyedRecord &record : snapshot.records) {
        m_entries[record.key] = {record.value, lastBefore(snapshot.endOffset)};
    }
}

CompactedTopic CompactedTopic::withSnapshot(const KeyedSnapshot &snapshot) const
{
    if (snapshot.endOffset <= m_endOffset) {
        return *this;
    }
    CompactedTopic next = *this;
    next.m_endOffset = snapshot.endOffset;
    std::set<std::string> present;
    for (const KeyedRecord &record : snapshot.records) {
        present.insert(record.key);
        Entry &entry = next.m_entries[record.key];
        if (entry.value != record.value) {
            entry = {record.value, lastBefore(snapshot.endOffset)};
        }
    }
    for (auto &[key, entry] : next.m_entries) {
        if (entry.value && !present.contains(key)) {
            entry = {std::nullopt, lastBefore(snapshot.endOffset)};
        }
    }
    return next;
}

CompactedTopic CompactedTopic::withTail(std::uint64_t from, const KeyedBatch &tail) const
{
    if (from > m_endOffset || tail.nextOffset <= m_endOffset) {
        return *this;
    }
    CompactedTopic next = *this;
    next.m_endOffset = tail.nextOffset;
    std::uint64_t offset = from;
    for (const KeyedRecord &record : tail.records) {
        next.m_entries[record.key] = {record.value,
                                      tail.isCompacted ? lastBefore(tail.nextOffset) : offset};
        ++offset;
    }
    return next;
}

CompactedTopic CompactedTopic::withChanges(std::uint64_t from, const TopicChanges &changes) const
{
    return changes.isWhole ? withSnapshot({changes.records, changes.endOffset})
                           : withTail(from, {changes.records, changes.endOffset, true});
}

KeyedSnapshot CompactedTopic::snapshot() const
{
    KeyedSnapshot snapshot;
    snapshot.endOffset = m_endOffset;
    for (const auto &[key, entry] : m_entries) {
        if (entry.value) {
            snapshot.records.push_back({key, entry.value});
        }
    }
    return snapshot;
}

TopicChanges CompactedTopic::changesSince(std::uint64_t from) const
{
    if (from >= m_endOffset) {
        return {{}, false, m_endOffset};
    }
    if (from < m_firstOffset) {
        return {snapshot().records, true, m_endOffset};
    }
    TopicChanges changes {{}, false, m_endOffset};
    for (const auto &[key, entry] : m_entries) {
        if (entry.changedAt >= from) {
            changes.records.push_back({key, entry.value});
        }
    }
    return changes;
}

} // namespace greengageseam
