/**
 * Settings of an entry.
 */
#pragma once

#include "core/common/common.h"
#include "core/config/config.h"

#include <string>
#include <vector>

namespace greengageseam {

/** Everything that an entry is told at its start. */
struct EntrySettings
{
    InstanceId instance;
    ZoneName zone;
    /** Where callers and operators reach the entry by HTTP. */
    Address httpAddress;
    /** Where agents and other entries reach it. */
    Address peerAddress;
    /** Other entries that are known from the start. */
    std::vector<Address> seedEntries;
    Address logAddress;
    Address listAddress;
    std::string secret;
    /** Digest of a token that counts as an operator's while the table names no operator. */
    Digest bootstrapToken;
    /** When a snapshot of the table is appended to the log. */
    SnapshotOptions snapshots;
    /** Longest time for one request of a caller. */
    Duration requestTimeout = std::chrono::seconds(120);
    /** Time from the signal to stop, and /readyz's answer 503, to the end of listening. */
    Duration drainNotice = std::chrono::seconds(3);
    /** Longest time that a request waits for a backend server that is free. */
    Duration maxQueueTime = std::chrono::milliseconds(500);
    /** Longest time that a graceful shutdown waits for requests in progress. */
    Duration drainTimeout = std::chrono::seconds(600);

    auto operator<=>(const EntrySettings &) const = default;
};

} // namespace greengageseam
