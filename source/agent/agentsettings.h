/**
 * Settings of an agent, read once when the process starts.
 */
#pragma once

#include "core/common/common.h"
#include "core/fleet/memorybudget.h"
#include "core/membership/membertable.h"
#include "core/weights/sources.h"

#include <string>
#include <vector>

namespace greengageseam {

/** Limits and peers for the transfer of weights. */
struct WeightSettings
{
    /**
     * Bytes per second of the machine's link that weights may use in each direction; 0 means
     * unlimited.
     */
    std::uint64_t linkBytesPerSecond = 0;
    /** Bytes per second that this agent may read from other zones; 0 means unlimited. */
    std::uint64_t zoneLinkBytesPerSecond = 0;
    /** Maximum number of bytes of weights to store; 0 means unlimited. */
    std::uint64_t memoryBytes = 0;
    /** Zone of the weight store; empty if it is equally close to all zones. */
    ZoneName storeZone;
    /** Agents of other zones from which weights may be read. */
    std::vector<WeightPeer> otherZonePeers;
    /** Number of live requests in progress above which weight transfers are throttled. */
    std::uint32_t throttleThreshold = 32;

    auto operator<=>(const WeightSettings &) const = default;
};

/** All settings of an agent. */
struct AgentSettings
{
    InstanceId instance;
    ZoneName zone;
    /** HTTP address for the engine and for operators. */
    Address httpAddress;
    /** Address for links from entries and other agents. */
    Address peerAddress;
    /** Addresses of entries of the zone to dial before the instance list has been read. */
    std::vector<Address> seedEntries;
    /** Address of the platform's instance list; empty if the list is not used. */
    Address listAddress;
    Address logAddress;
    Address storeAddress;
    /** Address of the backend server that this agent is responsible for. */
    Address backendAddress;
    BackendKind backendKind = BackendKind::Engine;
    /** Service that the backend server belongs to; empty for an engine. */
    ServiceName service;
    std::string secret;
    /** Start time of the process, which distinguishes it from a predecessor of the same name. */
    WallTime startedAt;
    ProcessLimits limits;
    WeightSettings weights;
    /** Interval between heartbeats. */
    Duration heartbeatInterval = std::chrono::seconds(1);
    /** Interval between reads of the engine's state. */
    Duration enginePollInterval = std::chrono::milliseconds(250);
    /** Maximum time that a graceful shutdown waits for requests in progress. */
    Duration drainTimeout = std::chrono::seconds(600);

    auto operator<=>(const AgentSettings &) const = default;
};

} // namespace greengageseam
