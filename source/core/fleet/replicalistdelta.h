/**
 * What a read of the list of backend servers brought, for those that did not read it themselves.
 */
#pragma once

#include "core/fleet/replica.h"

#include <vector>

namespace greengageseam {

/** Changes of the list between two offsets. */
struct ListNews
{
    /** Whoever has read up to here or further has missed nothing. */
    std::uint64_t from = 0;
    std::uint64_t next = 0;
    std::vector<ReplicaEntry> changed;
    std::vector<ReplicaId> removed;

    /** @returns the news with an entry that was written after all that they hold */
    ListNews withChanged(const ReplicaEntry &entry) &&;
    /** @returns the news with an entry that was removed after all that they hold */
    ListNews withRemoved(const ReplicaId &id) &&;

    auto operator<=>(const ListNews &) const = default;

private:
    ListNews without(const ReplicaId &id) &&;
};

} // namespace greengageseam
