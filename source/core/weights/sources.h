/**
 * Where a chunk is read from: the candidates, and the policies that choose between them.
 */
#pragma once

#include "core/common/common.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace greengageseam {

/** An agent that weights can be read from. */
struct WeightPeer
{
    InstanceId instance;
    ZoneName zone;
    Address address;

    auto operator<=>(const WeightPeer &) const = default;
};

/** Another agent, or the origin if no peer is named. */
struct ChunkSource
{
    InstanceId peer;

    auto operator<=>(const ChunkSource &) const = default;

    /** @returns whether this is the origin */
    bool isOrigin() const { return peer.isEmpty(); }
};

/** A peer that offers a chunk and can be asked now. */
struct SourceCandidate
{
    InstanceId peer;
    /** Whether the peer is in another zone. */
    bool isOtherZone = false;
    /** Chunks that are being read from the peer. */
    std::uint32_t outstanding = 0;
    /** How long chunks of it were waited for in all, in coarse steps; slow peers are asked less. */
    std::uint64_t fetchTimeSteps = 0;
    /** Spreads readers over peers that are alike. */
    std::uint64_t tieBreak = 0;

    auto operator<=>(const SourceCandidate &) const = default;
};

/** What the choice of a source rests on. */
struct SourceQuery
{
    InstanceId self;
    /** Agents of the zone that the version belongs on, this one among them, by name. */
    const std::vector<InstanceId> &members;
    /** Peers that offer the chunk, those in other zones only where it is this agent's turn. */
    std::vector<SourceCandidate> candidates;
    /** Whether it is this agent's turn to read the chunk from the origin. */
    bool isOriginAllowed = false;
    /** Whether the origin can be asked now. */
    bool isOriginAvailable = false;
};

/** Hook that chooses a source. @returns nothing to wait */
using ChooseSource = std::function<std::optional<ChunkSource>(const SourceQuery &query)>;

/** What varies between ways of distribution. */
struct TransferPolicy
{
    ChooseSource chooseSource;
    /** Agents of the zone that links are kept to while something is missing. */
    std::size_t sameZonePeers = 8;
};

/** Reads from the peer with the least to do, in the zone first; from the origin only in turn. */
std::optional<ChunkSource> chooseSwarmSource(const SourceQuery &query);

/** @returns the policy of the product */
TransferPolicy swarmPolicy();

} // namespace greengageseam
