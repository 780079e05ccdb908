/**
 * Gossip between entries. Within a zone, each entry sends a digest of the agents from which it
 * receives heartbeats. Between zones, one entry sends a summary of bounded size.
 */
#pragma once

#include "core/membership/memberchangelog.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace greengageseam {

/** Version of the configuration that an agent has in force. */
struct ConfigVersion
{
    Offset applied;
    Digest table;

    auto operator<=>(const ConfigVersion &) const = default;
};

/** Compact heartbeat of one agent: only the fields that change frequently. */
struct HeartbeatUpdate
{
    /** Short hash of the instance and the start of its process; identifies the agent. */
    std::uint32_t tag = 0;
    std::uint64_t sequence = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    /** Index of the agent's configuration in ZoneDigest::configs. */
    std::uint32_t configIndex = 0;
    /** Bytes read from the origin, in units of 64 KiB. */
    std::uint32_t originUnits = 0;
    /** The agent's monotonic clock at the time of sending. */
    Instant clock;

    auto operator<=>(const HeartbeatUpdate &) const = default;
};

/** Message of one entry to the other entries of its zone. */
struct ZoneDigest
{
    MemberChanges changes;
    std::vector<ConfigVersion> configs;
    std::vector<HeartbeatUpdate> heartbeatUpdates;
    std::vector<DrainOrder> drainOrders;
    std::vector<LeavingInstance> leaving;

    auto operator<=>(const ZoneDigest &) const = default;
};

/**
 * Creates the digest that an entry sends to the other entries of its zone.
 * @param changes the member states that the receivers do not have yet
 * @param heartbeats the heartbeats that were received since the last digest
 * @param drainOrders all drain orders known here
 */
ZoneDigest makeZoneDigest(MemberChanges changes, const std::vector<Heartbeat> &heartbeats,
                          const std::map<InstanceId, DrainOrder> &drainOrders);

/**
 * Reconstructs full heartbeats from a digest.
 * @param members the members that the sender of the digest reported; updates of others are skipped
 */
std::vector<Heartbeat> expandHeartbeats(const ZoneDigest &digest, const RemoteMembers &members);

/** Capacity and load of one version or plain service within a zone. */
struct ZoneCapacity
{
    /** Manifest of the version; empty for a plain service. */
    Digest manifest;
    /** Plain service; empty for a version. */
    ServiceName service;
    std::uint32_t usable = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;

    auto operator<=>(const ZoneCapacity &) const = default;
};

/** Message of one zone to another; its size does not depend on the number of replicas. */
struct ZoneSummary
{
    ZoneName zone;
    /** Creation time by the calendar clock of the sender; increases with each summary. */
    WallTime createdAt;
    std::vector<ZoneCapacity> capacities;

    auto operator<=>(const ZoneSummary &) const = default;
};

/** Maximum number of capacities in a summary; those with the most replicas are kept. */
constexpr std::size_t maxSummaryRows = 64;

/** @returns the summary of a zone; counts only usable members */
ZoneSummary summarize(const ZoneName &zone, const std::map<InstanceId, Member> &members,
                      WallTime now);

/** @returns whether two summaries have the same replica counts, regardless of load */
bool haveEqualUsableCounts(const ZoneSummary &left, const ZoneSummary &right);

/**
 * Completes the manifests of a received summary, which carries only the first digits of each
 * digest.
 * @param known all known manifests
 * @returns the summary with full digests; capacities with an unknown manifest are omitted
 */
ZoneSummary expandManifestPrefixes(const ZoneSummary &summary, const std::set<Digest> &known);

/** @returns the entry, chosen by rendezvous hashing, that sends the summary to the zone @p to */
InstanceId summarySender(const ZoneName &to, const std::vector<InstanceId> &entries);

} // namespace greengageseam
