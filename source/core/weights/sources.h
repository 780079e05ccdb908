/**
 * Sources of chunks: the candidates, and the policy that chooses between them.
 */
#pragma once

#include "core/common/common.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace greengageseam {

/** A peer from which weights can be fetched. */
struct WeightPeer
{
    InstanceId instance;
    ZoneName zone;
    Address address;

    auto operator<=>(const WeightPeer &) const = default;
};

/** The source of a fetch: a peer, or the origin if the peer's name is empty. */
struct ChunkSource
{
    InstanceId peer;

    auto operator<=>(const ChunkSource &) const = default;

    /** @returns whether the source is the origin */
    bool isOrigin() const { return peer.isEmpty(); }
};

/** A peer that has a chunk and can accept a request for it now. */
struct SourceCandidate
{
    InstanceId peer;
    /** Whether the peer is in another zone than this agent. */
    bool isOtherZone = false;
    /** Number of fetches from the peer that are in progress. */
    std::uint32_t outstanding = 0;
    /**
     * Total time spent on fetches from the peer, in coarse steps, so that slow peers get fewer
     * requests.
     */
    std::uint64_t fetchTimeSteps = 0;
    /** Pseudo-random value that spreads load over otherwise equal peers. */
    std::uint64_t tieBreak = 0;

    auto operator<=>(const SourceCandidate &) const = default;
};

/** The input of a source policy. */
struct SourceQuery
{
    InstanceId self;
    /**
     * Agents of the local zone that need the version, including this one, sorted by name.
     */
    const std::vector<InstanceId> &members;
    /**
     * Peers that have the chunk. Peers in other zones are listed only if this agent is responsible
     * for bringing the chunk into its zone.
     */
    std::vector<SourceCandidate> candidates;
    /** Whether this agent is responsible for reading the chunk from the origin. */
    bool isOriginAllowed = false;
    /** Whether the origin can accept a request now. */
    bool isOriginAvailable = false;
};

/** Hook that chooses a source. @returns an empty optional if the chunk has to wait */
using ChooseSource = std::function<std::optional<ChunkSource>(const SourceQuery &query)>;

/** The replaceable parts of a distribution strategy. */
struct TransferPolicy
{
    ChooseSource chooseSource;
    /** Number of peers in the local zone to stay linked to while chunks are missing. */
    std::size_t sameZonePeers = 8;
};

/**
 * Chooses the least loaded peer, and prefers peers in the local zone. Falls back to the origin only
 * if no peer is available and this agent is responsible for reading the chunk from there.
 */
std::optional<ChunkSource> chooseSwarmSource(const SourceQuery &query);

/** @returns the default policy, which uses chooseSwarmSource() */
TransferPolicy swarmPolicy();

} // namespace greengageseam
