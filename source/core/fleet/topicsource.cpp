#include "core/fleet/topicsource.h"

#include "core/common/hashing.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Number of entries that read from the same entry. */
constexpr std::size_t fanOut = 4;
/** Number of entries that a process that is not an entry tries before the store. */
constexpr std::size_t maxEntriesTried = 3;
/** Number of further entries that are tried at once before a process waits for its next attempt. */
constexpr std::size_t entriesPerAttempt = 3;
/** Number of such attempts for each attempt to read the store. */
constexpr std::size_t extraAttempts = 5;
/** Number of entries of a zone that read the store if those before them cannot. */
constexpr std::size_t maxZoneReaders = 3;

/** @returns the entries that an entry other than the first reads from, the preferred one first */
std::vector<InstanceId> entriesBefore(const std::vector<InstanceId> &order, std::size_t rank)
{
    std::vector<InstanceId> entries {order[(rank - 1) / fanOut]};
    for (std::size_t i = 0; i < std::min(rank, maxZoneReaders); ++i) {
        if (order[i] != entries.front()) {
            entries.push_back(order[i]);
        }
    }
    return entries;
}

/** @returns the entries that a process that is not an entry reads from, the preferred one first */
std::vector<InstanceId> entriesByHash(const TopicSourceQuery &query)
{
    const std::vector<InstanceId> &order = query.entries;
    const std::size_t first = checksumOf("topic/" + query.self.text(), 0) % order.size();
    std::vector<InstanceId> entries;
    for (std::size_t i = 0; i < std::min(maxEntriesTried, order.size()); ++i) {
        entries.push_back(order[(first + i) % order.size()]);
    }
    return entries;
}

/** @returns the entries of the zone that can be asked, in their order */
std::vector<InstanceId> otherEntries(const TopicSourceQuery &query)
{
    std::vector<InstanceId> others = query.entries;
    std::erase_if(others, [&](const InstanceId &it) {
        return it == query.self || query.silent.contains(it);
    });
    return others;
}

/** Chooses for the first entry of the zone, which prefers the store. */
TopicSource chooseForFirstEntry(const TopicSourceQuery &query)
{
    const std::vector<InstanceId> others = otherEntries(query);
    const std::size_t attempts = std::min(others.size(), entriesPerAttempt);
    const std::size_t position = query.failures % (attempts + 1);
    if (position == 0) {
        return {std::nullopt, attempts > 0};
    }
    const std::size_t round = query.failures / (attempts + 1);
    return {others[(round * attempts + position - 1) % others.size()], position < attempts};
}

} // namespace

TopicSource chooseTopicSource(const TopicSourceQuery &query)
{
    if (query.entries.empty()) {
        return {};
    }
    const auto self = std::find(query.entries.begin(), query.entries.end(), query.self);
    if (self == query.entries.begin()) {
        return chooseForFirstEntry(query);
    }
    const bool isEntry = self != query.entries.end();
    const auto rank = static_cast<std::size_t>(self - query.entries.begin());
    std::vector<InstanceId> entries =
            isEntry ? entriesBefore(query.entries, rank) : entriesByHash(query);
    std::erase_if(entries, [&](const InstanceId &it) { return query.silent.contains(it); });
    if (entries.empty()) {
        return {};
    }
    const std::size_t n = entries.size();
    const std::size_t attemptsBeforeStore = isEntry ? std::min(rank - 1, extraAttempts - 1) : 0;
    const std::size_t position = query.failures % (n + 1 + extraAttempts * entriesPerAttempt);
    if (position < n) {
        return {entries[position], true};
    }
    if (position == n + attemptsBeforeStore * entriesPerAttempt) {
        return {};
    }
    // Any entry may have read the topic before it was cut off, so all of them are asked in turn.
    const std::vector<InstanceId> others = otherEntries(query);
    const std::size_t next = (rank + query.failures + 1) % others.size();
    const bool isLastOfAttempt = (position - n) % entriesPerAttempt == entriesPerAttempt - 1;
    return {others[next], !isLastOfAttempt};
}

} // namespace greengageseam
