/**
 * Chooses the process from which to request the list of a version's pieces. Most requests go to
 * entries, to keep the load on the origin low.
 */
#pragma once

#include "core/common/time.h"
#include "core/weights/sources.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace greengageseam {

/** The input of chooseListSource(). */
struct ListSourceQuery
{
    InstanceId self;
    /** The live entries of the local zone. */
    std::vector<InstanceId> entries;
    std::uint64_t version = 0;
    /** Time since this process first needed the list. */
    Duration missingFor {};
    /** Number of previous requests for this list. */
    std::uint32_t attempts = 0;

    auto operator<=>(const ListSourceQuery &) const = default;
};

/**
 * Chooses the source of a piece list.
 *
 * Rendezvous hashing ranks the entries of each zone. The first entry requests the list from the
 * origin immediately and the next ones after staggered delays; until then each of them requests it
 * from the entries that rank before it. A process that is not an entry requests the list from the
 * entries, and from the origin only after a longer delay.
 *
 * @returns the source to request the list from, or an empty optional if it is too early for any
 */
std::optional<ChunkSource> chooseListSource(const ListSourceQuery &query);

} // namespace greengageseam
