/**
 * The read loop of a claim shard.
 */
#include "entry/claimtail.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr auto longWait = std::chrono::seconds(5);
constexpr auto firstPause = std::chrono::milliseconds(50);
constexpr auto longestPause = std::chrono::seconds(1);
constexpr std::uint32_t recordsPerRead = 256;

/** Read position in a shard. */
struct TailPlace
{
    std::string logId;
    Offset next {1};
};

/** @returns the position after a read; offset 1 if the log was reset */
TailPlace placeAfter(const TailPlace &before, const LogBatch &batch)
{
    if (!before.logId.empty() && before.logId != batch.logId) {
        return {batch.logId, Offset {1}};
    }
    if (batch.records.empty()) {
        return {batch.logId, std::max(before.next, batch.first)};
    }
    return {batch.logId, Offset {batch.records.back().offset.value + 1}};
}

} // namespace

std::string claimStream(std::size_t shard)
{
    return "claims-" + std::to_string(shard);
}

Awaitable<void> followShard(asio::any_io_executor executor, std::size_t shard, ReadLog read,
                            TakeShardRead take, Log log)
{
    asio::steady_timer pause(executor);
    Duration nextPause = firstPause;
    TailPlace place;
    Duration wait {};
    while (true) {
        LogQuery query {claimStream(shard), place.next, recordsPerRead, wait};
        Outcome<LogBatch> outcome = co_await read(std::move(query));
        if (const Failure *failure = failureOf(outcome)) {
            log.debug("claims.unreadable", {{"shard", shard}, {"reason", failure->detail}});
            pause.expires_after(nextPause);
            co_await pause.async_wait(asTuple);
            nextPause = std::min<Duration>(2 * nextPause, longestPause);
            wait = Duration::zero();
            continue;
        }
        nextPause = firstPause;
        auto &batch = std::get<LogBatch>(outcome);
        const TailPlace after = placeAfter(place, batch);
        const bool beganAnew = !place.logId.empty() && place.logId != batch.logId;
        place = after;
        if (beganAnew) {
            log.error("claims.log-began-anew", {{"shard", shard}});
            continue;
        }
        ShardRead result {shard, std::move(batch.records), place.next >= batch.next};
        wait = result.isAtEnd ? Duration(longWait) : Duration::zero();
        co_await take(std::move(result));
    }
}

} // namespace greengageseam
