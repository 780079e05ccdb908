#include "core/fleet/compactedtopic.h"

#include <algorithm>
#include <set>

namespace greengageseam {

namespace {

/** @returns the offset of the last record before an end */
std::uint64_t lastBefore(TopicPosition end)
{
    return end.offset == 0 ? 0 : end.offset - 1;
}

/** @returns whether a known value stays in force against what the store has */
bool mayKeep(const KeepsRecord &keeps, const std::string &key,
             const std::optional<std::string> &known, const std::optional<std::string> &stored)
{
    return keeps && known && known != stored && keeps(key, *known, stored);
}

} // namespace

CompactedTopic::CompactedTopic(const KeyedSnapshot &snapshot)
    : m_firstOffset(snapshot.end.offset), m_end(snapshot.end)
{
    for (const KeyedRecord &record : snapshot.records) {
        m_entries[record.key] = {record.value, lastBefore(snapshot.end)};
    }
}

CompactedTopic CompactedTopic::withSnapshot(const KeyedSnapshot &snapshot,
                                            const KeepsRecord &keeps) const
{
    if (snapshot.end <= m_end) {
        return *this;
    }
    if (snapshot.end.era > m_end.era) {
        return withLaterEra(snapshot, keeps);
    }
    const KeepsRecord keepsInEra = m_end.era > 0 ? keeps : nullptr;
    CompactedTopic next = *this;
    next.m_end = snapshot.end;
    const std::uint64_t last = lastBefore(snapshot.end);
    std::set<std::string> present;
    for (const KeyedRecord &record : snapshot.records) {
        present.insert(record.key);
        Entry &entry = next.m_entries[record.key];
        const bool stays = mayKeep(keepsInEra, record.key, entry.value, record.value);
        if (entry.value != record.value && !stays) {
            entry = {record.value, last};
        }
    }
    for (auto &[key, entry] : next.m_entries) {
        const bool isGone = entry.value && !present.contains(key);
        if (isGone && !mayKeep(keepsInEra, key, entry.value, std::nullopt)) {
            entry = {std::nullopt, last};
        }
    }
    return next;
}

/** @returns the topic of a snapshot of a later era, with the known records that stay in force */
CompactedTopic CompactedTopic::withLaterEra(const KeyedSnapshot &snapshot,
                                            const KeepsRecord &keeps) const
{
    CompactedTopic next(snapshot);
    for (const auto &[key, entry] : m_entries) {
        const auto it = next.m_entries.find(key);
        const std::optional<std::string> stored =
                it == next.m_entries.end() ? std::nullopt : it->second.value;
        if (mayKeep(keeps, key, entry.value, stored)) {
            next.m_entries[key] = {entry.value, lastBefore(snapshot.end)};
        }
    }
    return next;
}

CompactedTopic CompactedTopic::withTail(TopicPosition from, const KeyedBatch &tail,
                                        const KeepsRecord &keeps) const
{
    const bool isOfThisEra = from.era == m_end.era && tail.next.era == m_end.era;
    if (!isOfThisEra || from > m_end || tail.next <= m_end) {
        return *this;
    }
    const KeepsRecord keepsInEra = m_end.era > 0 ? keeps : nullptr;
    CompactedTopic next = *this;
    next.m_end = tail.next;
    std::uint64_t offset = from.offset;
    for (const KeyedRecord &record : tail.records) {
        Entry &entry = next.m_entries[record.key];
        if (!mayKeep(keepsInEra, record.key, entry.value, record.value)) {
            entry = {record.value, tail.isCompacted ? lastBefore(tail.next) : offset};
        }
        ++offset;
    }
    return next;
}

CompactedTopic CompactedTopic::withChanges(TopicPosition from, const TopicChanges &changes) const
{
    return changes.isWhole ? withSnapshot({changes.records, changes.end})
                           : withTail(from, {changes.records, changes.end, true});
}

KeyedSnapshot CompactedTopic::snapshot() const
{
    KeyedSnapshot snapshot;
    snapshot.end = m_end;
    for (const auto &[key, entry] : m_entries) {
        if (entry.value) {
            snapshot.records.push_back({key, entry.value});
        }
    }
    return snapshot;
}

TopicChanges CompactedTopic::changesSince(TopicPosition from) const
{
    if (from >= m_end) {
        return {{}, false, m_end};
    }
    if (from.era < m_end.era || from.offset < m_firstOffset) {
        return {snapshot().records, true, m_end};
    }
    TopicChanges changes {{}, false, m_end};
    for (const auto &[key, entry] : m_entries) {
        if (entry.changedAt >= from.offset) {
            changes.records.push_back({key, entry.value});
        }
    }
    return changes;
}

} // namespace greengageseam
