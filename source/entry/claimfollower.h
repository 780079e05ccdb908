/**
 * Follower of one shard of the claim log.
 */
#pragma once

#include "logservice/logclient.h"
#include "net/log.h"

#include <functional>

namespace greengageseam {

/** Result of one read of a shard. */
struct ShardRead
{
    std::size_t shard = 0;
    std::vector<LogRecord> records;
    /** True if no records follow those read. */
    bool isAtEnd = false;
};

/** Hook that receives each read in log order; it may wait until its receiver has capacity. */
using OnShardRead = std::function<Awaitable<void>(ShardRead read)>;

/** @returns the name of the log stream that stores @p shard */
std::string claimStreamName(std::size_t shard);

/**
 * Reads a shard from its first record on, and follows it for the lifetime of the process.
 *
 * Retries failed reads with exponential backoff. If the log was reset, reads it again from
 * offset 1.
 */
Awaitable<void> followShard(asio::any_io_executor executor, std::size_t shard, ReadLog read,
                            OnShardRead onRead, Log log);

} // namespace greengageseam
