/**
 * What entries tell each other: of the agents that they hear themselves to the entries of their
 * zone, and one bounded summary of the zone to each other zone.
 */
#pragma once

#include "core/membership/memberchangelog.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace greengageseam {

/** A configuration that some agents have in force. */
struct ConfigVersion
{
    Offset applied;
    Digest table;

    auto operator<=>(const ConfigVersion &) const = default;
};

/** Sign of life of one agent, with what changes all the time. */
struct HeartbeatUpdate
{
    /** Short hash of the instance and the start of its process. */
    std::uint32_t tag = 0;
    std::uint64_t sequence = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    /** Position of the agent's configuration in the digest's list. */
    std::uint32_t configIndex = 0;
    /** Bytes read from the origin, in units of 64 KiB. */
    std::uint32_t originUnits = 0;
    /** The agent's monotonic clock when it sent the heartbeat. */
    Instant clock;

    auto operator<=>(const HeartbeatUpdate &) const = default;
};

/** What one entry tells the others of its zone. */
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
 * @param changes the reported parts that the receivers lack
 * @param heard the agents that were heard since the last digest
 */
ZoneDigest makeZoneDigest(MemberChanges changes, const std::vector<Heartbeat> &heartbeats,
                          const std::map<InstanceId, DrainOrder> &drainOrders);

/** @returns the heartbeats that a digest stands for, by what its sender told before */
std::vector<Heartbeat> expandHeartbeats(const ZoneDigest &digest, const RemoteMembers &members);

/** How much of something a zone has. */
struct ZoneCapacity
{
    /** Version that is served; empty for a plain service. */
    Digest manifest;
    /** Empty for a version. */
    ServiceName service;
    std::uint32_t usable = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;

    auto operator<=>(const ZoneCapacity &) const = default;
};

/** What one zone tells another: its size does not depend on the number of replicas. */
struct ZoneSummary
{
    ZoneName zone;
    /** Rises with each summary of the zone, by the calendar of its sender. */
    WallTime createdAt;
    std::vector<ZoneCapacity> capacities;

    auto operator<=>(const ZoneSummary &) const = default;
};

/** Most rows of a summary; those with the most replicas are kept. */
constexpr std::size_t maxSummaryRows = 64;

/** @returns the summary of a zone */
ZoneSummary summarize(const ZoneName &zone, const std::map<InstanceId, Member> &members,
                      WallTime now);

/** @returns whether two summaries count the same replicas, whatever their load */
bool haveEqualUsableCounts(const ZoneSummary &left, const ZoneSummary &right);

/**
 * Manifests travel as the first digits of their digests.
 * @returns the summary with the whole digests; rows whose manifest is not known are left out
 */
ZoneSummary expandManifestPrefixes(const ZoneSummary &summary, const std::set<Digest> &known);

/** @returns which of the zone's entries sends the summary to another zone */
InstanceId summarySender(const ZoneName &to, const std::vector<InstanceId> &entries);

} // namespace greengageseam
