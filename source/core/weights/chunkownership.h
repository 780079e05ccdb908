/**
 * Ownership of chunks: which agent is responsible for bringing a chunk into its zone. Rendezvous
 * hashing selects the owner and the order of failover.
 */
#pragma once

#include "core/weights/manifest.h"

#include <vector>

namespace greengageseam {

/** The agents and zones in which a version is placed. */
struct VersionPlacement
{
    /**
     * Members of the local zone that share the work of bringing the version into it, sorted by
     * name. Agents that are not members rank after all members.
     */
    std::vector<InstanceId> members;
    /** Zones that have replicas and are reachable from here, including the local zone. */
    std::vector<ZoneName> zones;
    /**
     * The zone of the origin. Its agents read all chunks from the origin. If it is empty, reads
     * from the origin are spread over all zones.
     */
    ZoneName originZone;
    /** Versions with a lower value are fetched first. */
    std::uint64_t fetchOrder = 0;

    auto operator<=>(const VersionPlacement &) const = default;
};

/** The responsibility of one agent for one chunk. */
struct ChunkAssignment
{
    /**
     * Rank of the agent among the members of its zone: 0 for the owner of the chunk, 1 for the
     * agent that takes over if the owner stalls, and so on.
     */
    std::uint32_t rank = 0;
    /** The zone that reads the chunk from the origin. */
    ZoneName seedZone;
    /** The zone that reads the chunk from the seed zone and relays it to the remaining zones. */
    ZoneName relayZone;

    auto operator<=>(const ChunkAssignment &) const = default;
};

/** The responsibilities of one agent for all chunks of a version. */
struct ChunkAssignments
{
    /** One assignment per chunk, in the order of the manifest. */
    std::vector<ChunkAssignment> chunks;
    /** Number of chunks that the agent owns. */
    std::size_t ownedChunks = 0;
    /** Number of chunks of the member that owns the most. */
    std::size_t maxOwnedChunks = 0;

    auto operator<=>(const ChunkAssignments &) const = default;
};

/**
 * Computes the responsibilities of an agent for a version.
 *
 * @param manifest the chunks of the version
 * @param placement the agents and zones in which the version is placed
 * @param self the agent
 * @param storeZone the zone of the weight store, which becomes the seed zone of all chunks; if no
 *                  replica is placed there, the seed zones are spread over all zones
 */
ChunkAssignments assignChunks(const Manifest &manifest, const VersionPlacement &placement,
                              const InstanceId &self, const ZoneName &storeZone);

/** The allowed reads from the origin per chunk, and how far failover has progressed. */
struct FailoverState
{
    std::uint32_t originCopies = 1;
    /** Number of owners, in order of rank, that have timed out. */
    std::uint32_t skippedOwners = 0;

    auto operator<=>(const FailoverState &) const = default;
};

/**
 * Returns whether an agent may read a chunk from the origin.
 *
 * In the seed zone, as many agents may read it as copies are allowed, in order of rank; if several
 * copies are allowed, one of them is reserved for the owner in the relay zone. Each owner that
 * times out allows one more agent. In all other zones an agent of rank n may read it only after
 * n + 2 owners have timed out.
 *
 * @param assignment the agent's responsibility for the chunk
 * @param zone the zone of the agent
 * @param state the number of allowed copies, and the number of owners that have timed out
 */
bool mayReadOrigin(const ChunkAssignment &assignment, const ZoneName &zone,
                   const FailoverState &state);

/**
 * Returns whether an agent may read a chunk from another zone.
 *
 * Until an owner times out, only the owner in each zone may do so, along a fixed path: the relay
 * zone reads from the seed zone, and all remaining zones read from the relay zone. After n owners
 * have timed out, agents up to rank n may read it, and from any zone.
 *
 * @param assignment the agent's responsibility for the chunk
 * @param zone the zone of the agent
 * @param sourceZone the zone to read from
 * @param state the number of owners that have timed out
 */
bool mayReadZone(const ChunkAssignment &assignment, const ZoneName &zone,
                 const ZoneName &sourceZone, const FailoverState &state);

/**
 * Selects the candidates with the highest rendezvous scores for a name. If each agent selects its
 * peers in this way, the links form a random graph.
 *
 * @param self the name to hash with; it is never selected itself
 * @param candidates the names to select from
 * @param maxCount the maximum number of names to select
 * @returns the selected names, highest score first
 */
std::vector<InstanceId> selectByRendezvous(const InstanceId &self,
                                           const std::vector<InstanceId> &candidates,
                                           std::size_t maxCount);

} // namespace greengageseam
