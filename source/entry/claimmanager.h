/**
 * The task that claims non-idempotent requests in the platform's log.
 *
 * A claim is a record with the idempotency key of a request. The first claim of a key in the log
 * permits its entry to run the request; a request that repeats the key on any entry receives the
 * stored response or an error instead of a second execution.
 */
#pragma once

#include "core/once/once.h"
#include "entry/claimfollower.h"
#include "logservice/logclient.h"
#include "net/log.h"
#include "net/mailbox.h"
#include "net/metrics.h"
#include "protocol/claimcodec.h"

#include <map>
#include <memory>
#include <variant>

namespace greengageseam {

/** Permission to send a claimed request to an agent. */
struct ClaimGrant
{
    ClaimKey key;
    ClaimPosition position;
    /** Monotonic time of the entry before the claim was appended. */
    Instant claimedAt;

    auto operator<=>(const ClaimGrant &) const = default;
};

/** The request is not run; holds the error for the caller. */
struct ClaimRejection
{
    Failure failure;
    ExecutionStatus ran = ExecutionStatus::Unknown;

    auto operator<=>(const ClaimRejection &) const = default;
};

/** Result of a claim: granted, already completed with a stored response, or rejected. */
using ClaimReply = std::variant<ClaimGrant, StoredResponse, ClaimRejection>;

/** Requests a claim. Exactly one reply is sent for each request. */
struct ClaimRequest
{
    ClaimKey key;
    std::uint64_t fingerprint = 0;
    Instant deadline;
    MailboxPtr<ClaimReply> reply;
};

/** An append to the log has finished. */
struct ClaimsAppended
{
    std::size_t shard = 0;
    Outcome<Offset> outcome;
};

/** Timer tick: appends pending items that are due, and rejects claims past their deadlines. */
struct ClaimTick
{ };

/** Reply to FlushClaims: all pending items are in the log. */
struct ClaimsFlushed
{ };

/** Requests a reply as soon as no item is waiting to be appended. */
struct FlushClaims
{
    MailboxPtr<ClaimsFlushed> reply;
};

/** Messages to the ClaimManager. */
using ClaimCommand = std::variant<ClaimRequest, ClaimFinished, ClaimReleased, ShardRead,
                                  ClaimsAppended, ClaimTick, FlushClaims>;

/** Timing and limits of a ClaimManager. */
struct ClaimManagerOptions
{
    std::size_t shardCount = 4;
    /** Minimum time between two appends to a shard; claims that arrive meanwhile are batched. */
    Duration appendInterval = std::chrono::milliseconds(50);
    /** Delay after a failed append. */
    Duration retryDelay = std::chrono::milliseconds(500);
    /** Time limit for a claim; after it the request is rejected and its claim released. */
    Duration claimTimeout = std::chrono::seconds(5);
    /** Largest number of items in one record. */
    std::size_t maxItemsPerAppend = 128;
    ClaimTableOptions table;

    ClaimManagerOptions withClaimTimeout(Duration value) const;
    auto operator<=>(const ClaimManagerOptions &) const = default;
};

/** Owns the claim table, the queues of items to append, and the claims in progress. */
class ClaimManager : public std::enable_shared_from_this<ClaimManager>
{
public:
    ClaimManager(const asio::any_io_executor &executor, ClaimManagerOptions options,
                 AppendToLog append, ReadLog read, std::shared_ptr<Metrics> metrics, Log log);

    /** @returns the mailbox of the task */
    const MailboxPtr<ClaimCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task and the followers of all shards. */
    void start();

private:
    struct Shard
    {
        /**
         * True once the shard has been read to its end since the start. Until then requests with
         * keys of this shard are rejected, because an earlier claim may not have been read yet.
         */
        bool isCaughtUp = false;
        bool isAppending = false;
        Instant nextAppendAt;
        std::vector<ClaimItem> pendingItems;
        std::vector<ClaimItem> appending;
    };
    struct PendingClaim
    {
        ClaimRequest request;
        Instant claimedAt;
        /** True if the caller was rejected because the claim was not read from the log in time. */
        bool isAbandoned = false;
    };

    Awaitable<void> run();
    void apply(const ClaimRequest &command);
    void apply(const ClaimFinished &command);
    void apply(const ClaimReleased &command);
    void apply(const ShardRead &command);
    void apply(const ClaimsAppended &command);
    void apply(const ClaimTick &command);
    void apply(const FlushClaims &command);
    std::optional<ClaimReply> immediateReply(const ClaimRequest &request, const Shard &shard);
    void applyRecord(const LogRecord &record);
    void applyClaim(const ClaimCreated &claim, ClaimPosition position);
    void enqueue(ClaimItem item, const ClaimKey &key);
    void appendIfDue(std::size_t shard);
    Awaitable<void> append(std::size_t shard, std::string text);
    void removeAbandoned(Shard &shard);
    void rejectUnappended(const std::vector<ClaimItem> &items, const Failure &failure);
    void completeFlushes();
    std::size_t shardOf(const ClaimKey &key) const { return key.high % m_shards.size(); }

    asio::any_io_executor m_executor;
    ClaimManagerOptions m_options;
    AppendToLog m_append;
    ReadLog m_read;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
    MailboxPtr<ClaimCommand> m_mailbox;
    ClaimTable m_claims;
    std::vector<Shard> m_shards;
    /** Claims of this entry not yet read back from the log, by their claimant nonces. */
    std::map<std::uint64_t, PendingClaim> m_pending;
    std::vector<FlushClaims> m_pendingFlushes;
};

} // namespace greengageseam
