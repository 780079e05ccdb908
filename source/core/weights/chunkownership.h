/**
 * Whose turn it is to bring a chunk into a zone: owners by rendezvous hashing.
 */
#pragma once

#include "core/weights/manifest.h"

#include <vector>

namespace greengageseam {

/** Where a version belongs. */
struct VersionPlacement
{
    /** Those of the own zone that bring the version into it, by name. Others come after them. */
    std::vector<InstanceId> members;
    /** Zones that have replicas and that can be reached from here, the own one among them. */
    std::vector<ZoneName> zones;
    /** Zone of the origin, which reads everything from it; empty to spread that over all zones. */
    ZoneName originZone;
    /** Versions with a lower one are read first. */
    std::uint64_t fetchOrder = 0;

    auto operator<=>(const VersionPlacement &) const = default;
};

/** The turn of one agent at one chunk. */
struct ChunkAssignment
{
    /** 0 for the zone's owner of the chunk, 1 for the one who comes next if that one stalls. */
    std::uint32_t rank = 0;
    /** The zone that reads the chunk from the origin. */
    ZoneName seedZone;
    /** The far zone that reads the chunk from the home zone and passes it on to the others. */
    ZoneName relayZone;

    auto operator<=>(const ChunkAssignment &) const = default;
};

/** All turns of one agent at one version. */
struct ChunkAssignments
{
    /** One for each chunk of the manifest. */
    std::vector<ChunkAssignment> chunks;
    /** How many chunks the agent owns. */
    std::size_t ownedChunks = 0;
    /** How many chunks the agent with the most owns. */
    std::size_t maxOwnedChunks = 0;

    auto operator<=>(const ChunkAssignments &) const = default;
};

/** @param storeZone zone of the weight store; empty spreads the chunks' home over all zones */
ChunkAssignments assignChunks(const Manifest &manifest, const VersionPlacement &placement,
                              const InstanceId &self, const ZoneName &storeZone);

/** How much of the origin may be read for each chunk, and how far owners have been passed over. */
struct FailoverState
{
    std::uint32_t originCopies = 1;
    /** How many owners are passed over by now. */
    std::uint32_t skippedOwners = 0;

    auto operator<=>(const FailoverState &) const = default;
};

/** @returns whether an agent of @p zone with this turn reads the chunk from the origin */
bool mayReadOrigin(const ChunkAssignment &assignment, const ZoneName &zone,
                   const FailoverState &state);

/** @returns whether an agent of @p zone with this turn reads the chunk from zone @p other */
bool mayReadZone(const ChunkAssignment &assignment, const ZoneName &zone,
                 const ZoneName &sourceZone, const FailoverState &state);

/**
 * The peers that an agent keeps links to: a few of its zone and of each other zone, chosen by
 * rendezvous hashing, so that the links make a random graph.
 */
std::vector<InstanceId> selectByRendezvous(const InstanceId &self,
                                           const std::vector<InstanceId> &candidates,
                                           std::size_t maxCount);

} // namespace greengageseam
