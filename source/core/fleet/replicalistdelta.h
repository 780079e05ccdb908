/**
 * Delta of the list of backend servers. The entry that reads the list from the platform's store
 * forwards deltas to the other entries of its zone.
 */
#pragma once

#include "core/common/time.h"
#include "core/fleet/replica.h"
#include "core/fleet/topicposition.h"

#include <vector>

namespace greengageseam {

/** Changes to the list between two positions of the store's topic, which are of the same era. */
struct ReplicaListDelta
{
    /**
     * Position of the first record that the delta covers. A receiver whose own position is at least
     * this one misses no record.
     */
    TopicPosition from;
    TopicPosition next;
    std::vector<ReplicaEntry> changed;
    std::vector<ReplicaId> removed;
    /** Age of the reader's view when it sent the delta: how long ago the list ended there. */
    Duration viewAge {};
    /** Number of this part, from 0, of a delta that is sent in parts. Invariant: below partCount.
     */
    std::uint32_t part = 0;
    std::uint32_t partCount = 1;

    /** @returns the delta with an entry that was written after all changes in it */
    ReplicaListDelta withChanged(const ReplicaEntry &entry) &&;
    /** @returns the delta with an entry that was removed after all changes in it */
    ReplicaListDelta withRemoved(const ReplicaId &id) &&;

    auto operator<=>(const ReplicaListDelta &) const = default;

private:
    ReplicaListDelta without(const ReplicaId &id) &&;
};

} // namespace greengageseam
