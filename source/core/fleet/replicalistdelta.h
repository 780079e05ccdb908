/**
 * What a read of the list of backend servers brought, for those that did not read it themselves.
 */
#pragma once

#include "core/fleet/replica.h"

#include <vector>

namespace greengageseam {

/** Changes of the list between two offsets. */
struct ReplicaListDelta
{
    /** Whoever has read up to here or further has missed nothing. */
    std::uint64_t fromOffset = 0;
    std::uint64_t nextOffset = 0;
    std::vector<ReplicaEntry> changed;
    std::vector<ReplicaId> removed;

    /** @returns the news with an entry that was written after all that they hold */
    ReplicaListDelta withChanged(const ReplicaEntry &entry) &&;
    /** @returns the news with an entry that was removed after all that they hold */
    ReplicaListDelta withRemoved(const ReplicaId &id) &&;

    auto operator<=>(const ReplicaListDelta &) const = default;

private:
    ReplicaListDelta without(const ReplicaId &id) &&;
};

} // namespace greengageseam
