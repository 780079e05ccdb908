/**
 * Follows one shard of the claims in the platform's log.
 */
#pragma once

#include "logservice/logclient.h"
#include "net/log.h"

#include <functional>

namespace greengageseam {

/** What one read of a shard gave. */
struct ShardRead
{
    std::size_t shard = 0;
    std::vector<LogRecord> records;
    /** Whether the shard was read to its end. */
    bool isAtEnd = false;
};

/** Hook that takes what was read, in order; it may wait for room. */
using OnShardRead = std::function<Awaitable<void>(ShardRead read)>;

/** @returns the name of a shard's stream */
std::string claimStreamName(std::size_t shard);

/** Reads a shard from its first record on, for the life of the process. */
Awaitable<void> followShard(asio::any_io_executor executor, std::size_t shard, ReadLog read,
                            OnShardRead onRead, Log log);

} // namespace greengageseam
