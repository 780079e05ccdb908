/**
 * What the platform tells a process of its machine and of the promises that bind it.
 */
#pragma once

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/fleet/fleetconfig.h"

#include <map>

namespace greengageseam {

/** Bounds that the users have set. */
struct FleetBounds
{
    /** A backend server that leaves gets no request later than this after the list says so. */
    Duration drain = std::chrono::seconds(2);
    /** Longest time from SIGTERM to SIGKILL. */
    Duration grace = std::chrono::seconds(8);
    /** A configuration is in force everywhere after this time. */
    Duration configApply = std::chrono::seconds(2);
    /** Requests begin on named weights only, from this time after the naming. */
    Duration weightsApply = std::chrono::seconds(8);
    /** Retries for each request. */
    double retryRatio = 0.2;
    /** Retries besides, of the whole fleet in a window. */
    double retrySlack = 100;
    Duration retryWindow = std::chrono::seconds(10);

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
    /** Where callers connect; empty on an agent. */
    Address frontAddress;
    /** Where the platform asks whether the entry is ready; empty on an agent. */
    Address readyAddress;
    /** Where operators read reports and metrics; empty on an agent. */
    Address controlAddress;
    /** First and last port for traffic between the system's processes. */
    std::uint16_t firstPort = 0;
    std::uint16_t lastPort = 0;
    Address storeAddress;
    /** The backend server beside an agent; empty on an entry. */
    Address backendAddress;
    ServiceName backendService;
    /** Time between two heartbeats of a backend server. */
    Duration heartbeat = std::chrono::milliseconds(1200);
    /** Megabits a second of the machine's link. */
    double linkMbps = 0;
    /** Memory in megabytes beyond which the process is killed. */
    std::uint32_t memoryLimitMb = 0;
    FleetBounds bounds;

    auto operator<=>(const NodeSettings &) const = default;
};

} // namespace greengageseam
