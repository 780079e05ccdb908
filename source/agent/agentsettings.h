/**
 * Settings of an agent.
 */
#pragma once

#include "core/common/common.h"
#include "core/membership/membertable.h"
#include "core/weights/sources.h"

#include <string>
#include <vector>

namespace greengageseam {

/** What an agent is told of the transfer of weights. */
struct WeightSettings
{
    /** Bytes a second of the machine's link that weights may use each way; 0 is without limit. */
    std::uint64_t linkBytesPerSecond = 0;
    /** Bytes a second that this agent may read from other zones; 0 is without limit. */
    std::uint64_t zoneLinkBytesPerSecond = 0;
    /** Bytes of weights that are held at most; 0 is without limit. */
    std::uint64_t memoryBytes = 0;
    /** Zone of the weight store; empty if none is nearer than the others. */
    ZoneName storeZone;
    /** Agents of other zones that weights may be read from. */
    std::vector<WeightPeer> otherZonePeers;
    /** Live requests in progress beyond which weights give way. */
    std::uint32_t throttleThreshold = 32;

    auto operator<=>(const WeightSettings &) const = default;
};

/** Everything that an agent is told at its start. */
struct AgentSettings
{
    InstanceId instance;
    ZoneName zone;
    /** Where the engine and operators reach the agent by HTTP. */
    Address httpAddress;
    /** Where other processes of the system reach the agent. */
    Address peerAddress;
    /** Entries of the zone that are known from the start. */
    std::vector<Address> seedEntries;
    /** The platform's list of instances; empty if it is not asked. */
    Address listAddress;
    Address logAddress;
    Address storeAddress;
    /** The backend server beside the agent. */
    Address backendAddress;
    BackendKind backendKind = BackendKind::Engine;
    /** The plain service behind the agent; empty for an engine. */
    ServiceName service;
    std::string secret;
    /** Start of the process, which tells it from a predecessor of the same name. */
    WallTime startedAt;
    WeightSettings weights;
    /** Time between two heartbeats. */
    Duration heartbeatInterval = std::chrono::seconds(1);
    /** Time between two looks at the engine's state. */
    Duration enginePollInterval = std::chrono::milliseconds(250);
    /** Longest time that a graceful shutdown waits for requests in progress. */
    Duration drainTimeout = std::chrono::seconds(600);

    auto operator<=>(const AgentSettings &) const = default;
};

} // namespace greengageseam
