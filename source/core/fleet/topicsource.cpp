#include "core/fleet/topicsource.h"

#include "core/common/hashing.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Number of entries that read from the same entry. */
constexpr std::size_t fanOut = 4;
/** Number of entries that a process that is not an entry tries before the store. */
constexpr std::size_t maxEntriesTried = 3;
/** Number of attempts to read from entries after the store has failed, before it is read again. */
constexpr std::size_t entryAttemptsAfterStore = 5;

/** @returns the entries to read from, the preferred one first; empty if only the store is left */
std::vector<InstanceId> entriesToTry(const TopicSourceQuery &query)
{
    const std::vector<InstanceId> &order = query.entries;
    const auto self = std::find(order.begin(), order.end(), query.self);
    if (self == order.begin()) {
        return {};
    }
    std::vector<InstanceId> entries;
    if (self != order.end()) {
        const auto rank = static_cast<std::size_t>(self - order.begin());
        const std::size_t parent = (rank - 1) / fanOut;
        entries.push_back(order[parent]);
        if (parent != 0) {
            entries.push_back(order.front());
        }
        return entries;
    }
    const std::size_t first = checksumOf("topic/" + query.self.text(), 0) % order.size();
    for (std::size_t i = 0; i < std::min(maxEntriesTried, order.size()); ++i) {
        entries.push_back(order[(first + i) % order.size()]);
    }
    return entries;
}

} // namespace

TopicSource chooseTopicSource(const TopicSourceQuery &query)
{
    if (query.entries.empty()) {
        return {};
    }
    const std::vector<InstanceId> entries = entriesToTry(query);
    if (entries.empty()) {
        return {};
    }
    const std::size_t n = entries.size();
    const std::size_t position = query.failures % (n + 1 + entryAttemptsAfterStore);
    if (position == n) {
        return {};
    }
    const std::size_t index = position < n ? position : (position - n - 1) % n;
    return {entries[index], query.failures < n};
}

} // namespace greengageseam
