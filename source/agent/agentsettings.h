/**
 * Settings of an agent.
 */
#pragma once

#include "core/common/common.h"
#include "core/membership/roster.h"

#include <string>
#include <vector>

namespace greengageseam {

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
    std::vector<Address> entries;
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
    /** Time between two heartbeats. */
    Duration heartbeatEvery = std::chrono::seconds(1);
    /** Time between two looks at the engine's state. */
    Duration engineEvery = std::chrono::milliseconds(250);
    /** Longest time that a graceful shutdown waits for requests in progress. */
    Duration drainLimit = std::chrono::seconds(600);

    auto operator<=>(const AgentSettings &) const = default;
};

} // namespace greengageseam
