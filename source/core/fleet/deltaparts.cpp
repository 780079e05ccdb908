#include "core/fleet/deltaparts.h"

#include <algorithm>

namespace greengageseam {

namespace {

bool isSameDelta(const ReplicaListDelta &a, const ReplicaListDelta &b)
{
    return a.from == b.from && a.next == b.next && a.partCount == b.partCount;
}

/** @returns the elements of one of @p count parts of about the same size */
template <typename T>
std::vector<T> slice(const std::vector<T> &all, std::uint32_t part, std::uint32_t count)
{
    const std::size_t begin = all.size() * part / count;
    const std::size_t end = all.size() * (part + 1) / count;
    return {all.begin() + static_cast<std::ptrdiff_t>(begin),
            all.begin() + static_cast<std::ptrdiff_t>(end)};
}

} // namespace

std::vector<ReplicaListDelta> splitDelta(const ReplicaListDelta &delta, std::uint32_t count)
{
    std::vector<ReplicaListDelta> parts;
    for (std::uint32_t n = 0; n < count; ++n) {
        ReplicaListDelta part {delta.from, delta.next, slice(delta.changed, n, count),
                               slice(delta.removed, n, count), delta.viewAge};
        part.part = n;
        part.partCount = count;
        parts.push_back(std::move(part));
    }
    return parts;
}

std::optional<ReplicaListDelta> DeltaAssembler::add(const std::string &sender,
                                                    const ReplicaListDelta &part, Instant now)
{
    if (part.partCount == 1) {
        return part;
    }
    Collection &collection = m_collections[sender];
    const bool isLate =
            !collection.parts.empty() && part.next < collection.parts.begin()->second.next;
    if (isLate) {
        return std::nullopt;
    }
    if (!collection.parts.empty() && !isSameDelta(collection.parts.begin()->second, part)) {
        collection = {};
    }
    collection.completeAsOf = std::min(collection.completeAsOf, now - part.viewAge);
    collection.parts.insert_or_assign(part.part, part);
    if (collection.parts.size() < part.partCount) {
        return std::nullopt;
    }
    ReplicaListDelta whole {part.from, part.next, {}, {}, now - collection.completeAsOf};
    for (const auto &[number, one] : collection.parts) {
        whole.changed.insert(whole.changed.end(), one.changed.begin(), one.changed.end());
        whole.removed.insert(whole.removed.end(), one.removed.begin(), one.removed.end());
    }
    m_collections.erase(sender);
    return whole;
}

} // namespace greengageseam
