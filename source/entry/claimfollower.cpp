/**
 * The read loop of a claim shard.
 */
#include "entry/claimfollower.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr auto longPollTimeout = std::chrono::seconds(5);
constexpr auto minRetryDelay = std::chrono::milliseconds(50);
constexpr auto maxRetryDelay = std::chrono::seconds(1);
constexpr std::uint32_t recordsPerRead = 256;

/** Read position in a shard. */
struct ShardPosition
{
    std::string logId;
    Offset nextOffset {1};
};

/** @returns the position after a read; offset 1 if the log was reset */
ShardPosition positionAfter(const ShardPosition &previous, const LogBatch &batch)
{
    if (!previous.logId.empty() && previous.logId != batch.logId) {
        return {batch.logId, Offset {1}};
    }
    if (batch.records.empty()) {
        return {batch.logId, std::max(previous.nextOffset, batch.firstOffset)};
    }
    return {batch.logId, Offset {batch.records.back().offset.value + 1}};
}

} // namespace

std::string claimStreamName(std::size_t shard)
{
    return "claims-" + std::to_string(shard);
}

Awaitable<void> followShard(asio::any_io_executor executor, std::size_t shard, ReadLog read,
                            OnShardRead onRead, Log log)
{
    Timer retryTimer(executor);
    Duration retryDelay = minRetryDelay;
    ShardPosition position;
    Duration pollTimeout {};
    while (true) {
        LogQuery query {claimStreamName(shard), position.nextOffset, recordsPerRead, pollTimeout};
        Outcome<LogBatch> outcome = co_await read(std::move(query));
        if (const Failure *failure = failureOf(outcome)) {
            log.debug("claims.unreadable", {{"shard", shard}, {"reason", failure->detail}});
            retryTimer.expires_after(retryDelay);
            co_await retryTimer.async_wait(asTuple);
            retryDelay = std::min<Duration>(2 * retryDelay, maxRetryDelay);
            pollTimeout = Duration::zero();
            continue;
        }
        retryDelay = minRetryDelay;
        auto &batch = std::get<LogBatch>(outcome);
        const ShardPosition nextPosition = positionAfter(position, batch);
        const bool wasReset = !position.logId.empty() && position.logId != batch.logId;
        position = nextPosition;
        if (wasReset) {
            log.error("claims.log-began-anew", {{"shard", shard}});
            continue;
        }
        ShardRead result {shard, std::move(batch.records), position.nextOffset >= batch.nextOffset};
        pollTimeout = result.isAtEnd ? Duration(longPollTimeout) : Duration::zero();
        co_await onRead(std::move(result));
    }
}

} // namespace greengageseam
