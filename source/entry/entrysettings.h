/**
 * Settings of an entry process.
 */
#pragma once

#include "core/common/common.h"
#include "core/config/config.h"
#include "core/fleet/memorybudget.h"

#include <string>
#include <vector>

namespace greengageseam {

/** Start-up settings of an entry, from the command line and the environment. */
struct EntrySettings
{
    InstanceId instance;
    ZoneName zone;
    /** Listening address for HTTP requests of callers and operators. */
    Address httpAddress;
    /** Listening address for links of agents and other entries. */
    Address peerAddress;
    /** Addresses of other entries to connect to, in addition to those in the instance list. */
    std::vector<Address> seedEntries;
    Address logAddress;
    Address listAddress;
    std::string secret;
    /** Digest of a token that is accepted as an operator's while the table lists no operator. */
    Digest bootstrapToken;
    /** Thresholds at which a snapshot of the table is appended to the log. */
    SnapshotOptions snapshots;
    ProcessLimits limits;
    /** Time limit for one request of a caller. */
    Duration requestTimeout = std::chrono::seconds(120);
    /** Time from the stop signal, when /readyz starts to return 503, to the end of listening. */
    Duration drainNotice = std::chrono::seconds(3);
    /** Longest time that a request is queued until a backend server has capacity. */
    Duration maxQueueTime = std::chrono::milliseconds(500);
    /** Time limit for requests in progress during a graceful shutdown. */
    Duration drainTimeout = std::chrono::seconds(600);

    auto operator<=>(const EntrySettings &) const = default;
};

} // namespace greengageseam
