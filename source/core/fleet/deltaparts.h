/**
 * Parts of a delta of the list of backend servers: a delta that is too large for one message is
 * split by its sender and assembled again by its receiver.
 */
#pragma once

#include "core/fleet/replicalistdelta.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengageseam {

/** Maximum number of parts of a delta; more would not fit into the buffer of a socket at once. */
constexpr std::uint32_t maxDeltaParts = 16;

/**
 * Splits a delta into parts of the same positions.
 * @param count number of parts, from 1 to maxDeltaParts
 */
std::vector<ReplicaListDelta> splitDelta(const ReplicaListDelta &delta, std::uint32_t count);

/**
 * Collects the parts of deltas. A delta of which a part is lost is dropped when the next one of the
 * same sender begins, after which late parts of it are ignored; its receiver reads the list itself.
 *
 * It is modified in place, since it is fed message by message.
 */
class DeltaAssembler
{
public:
    /**
     * Adds a part.
     * @param sender address of the process that sent it
     * @returns the whole delta once all of its parts have arrived
     */
    std::optional<ReplicaListDelta> add(const std::string &sender, const ReplicaListDelta &part,
                                        Instant now);

private:
    /** The parts of one delta that have arrived. */
    struct Collection
    {
        std::map<std::uint32_t, ReplicaListDelta> parts;
        /** When the oldest of the views that the parts tell of was complete. */
        Instant completeAsOf = Instant::max();
    };

    /** Invariant: all parts of a collection belong to the same delta. */
    std::map<std::string, Collection> m_collections;
};

} // namespace greengageseam
