/**
 * Settings that the platform gives a process: its machine, its addresses and its service limits.
 */
#pragma once

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/fleet/fleetconfig.h"

#include <map>

namespace greengageseam {

/** Service limits that the system must keep. */
struct FleetBounds
{
    /** Maximum time after the list marks a backend server as draining until its last request. */
    Duration drain = std::chrono::seconds(2);
    /** Time after a process was disconnected from which the limits hold for it again. */
    Duration reconnect = std::chrono::seconds(3);
    /** Time from SIGTERM to SIGKILL. */
    Duration grace = std::chrono::seconds(8);
    /** Maximum time until a new configuration is in force at all entries. */
    Duration configApply = std::chrono::seconds(2);
    /**
     * Maximum time after a target version is announced until all new requests run on weights of
     * that version.
     */
    Duration weightsApply = std::chrono::seconds(8);
    /** Retries per request that the whole fleet may send in a window. */
    double retryRatio = 0.2;
    /** Retries of the whole fleet in a window in addition to the ratio. */
    double retrySlack = 100;
    Duration retryWindow = std::chrono::seconds(10);
    /** Maximum time after a zone is evacuated until the last request reaches it. */
    Duration evacuate = std::chrono::seconds(5);
    /** Factor by which requests to a cold backend server may exceed the rate that it tolerates. */
    double coldOvershoot = 1;
    /** Requests in a second to a cold backend server beyond that. */
    double coldSlack = 0;

    auto operator<=>(const FleetBounds &) const = default;
};

/** Settings of one process. */
struct NodeSettings
{
    InstanceId instance;
    ZoneName zone;
    RegionName region;
    std::map<ZoneName, RegionName> zoneRegions;
    /** IP address of the machine. */
    std::string ip;
    /** Listening address for callers; empty on an agent. */
    Address frontAddress;
    /** Listening address for the platform's readiness probe; empty on an agent. */
    Address readyAddress;
    /** Listening address for reports and metrics; empty on an agent. */
    Address controlAddress;
    /** First and last port of the range for traffic between the system's processes. */
    std::uint16_t firstPort = 0;
    std::uint16_t lastPort = 0;
    Address storeAddress;
    /** Address of the backend server on an agent's machine; empty on an entry. */
    Address backendAddress;
    ServiceName backendService;
    /** Interval between two heartbeats of a backend server. */
    Duration heartbeat = std::chrono::milliseconds(1200);
    /** Bandwidth of the machine's link in megabits per second. */
    double linkMbps = 0;
    /** Memory limit in megabytes; the platform kills a process that exceeds it. */
    std::uint32_t memoryLimitMb = 0;
    /** Limit of open file descriptors of the process; 0 if unknown. */
    std::uint32_t descriptorLimit = 0;
    FleetBounds bounds;
    /** Share of the requests that may be hedged before their attempts are silent; 0 for none. */
    double hedgeRatio = 0;

    auto operator<=>(const NodeSettings &) const = default;
};

} // namespace greengageseam
