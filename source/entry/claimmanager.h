/**
 * The task that claims calls which must not be repeated, in the platform's log.
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

/** Permission to hand a claimed call over. */
struct ClaimGrant
{
    ClaimKey key;
    ClaimPosition position;
    /** The entry's clock before the claim was made. */
    Instant claimedAt;

    auto operator<=>(const ClaimGrant &) const = default;
};

/** The call does not run now; what the caller hears. */
struct ClaimRejection
{
    Failure failure;
    ExecutionStatus ran = ExecutionStatus::Unknown;

    auto operator<=>(const ClaimRejection &) const = default;
};

/** What became of a claim: it is the first, the call was answered before, or it is refused. */
using ClaimReply = std::variant<ClaimGrant, StoredResponse, ClaimRejection>;

/** Asks to claim a call. Each call gets one reply. */
struct ClaimRequest
{
    ClaimKey key;
    std::uint64_t fingerprint = 0;
    Instant deadline;
    MailboxPtr<ClaimReply> reply;
};

/** An append has ended. */
struct ClaimsAppended
{
    std::size_t shard = 0;
    Outcome<Offset> outcome;
};

/** Time passes: what is due is appended, what is late is refused. */
struct ClaimTick
{ };

/** Says that all outcomes stand in the log. */
struct ClaimsFlushed
{ };

/** Replies when nothing waits to be appended. */
struct FlushClaims
{
    MailboxPtr<ClaimsFlushed> reply;
};

/** Messages to the keeper. */
using ClaimCommand = std::variant<ClaimRequest, ClaimFinished, ClaimReleased, ShardRead,
                                  ClaimsAppended, ClaimTick, FlushClaims>;

/** How the keeper speaks to the log. */
struct ClaimManagerOptions
{
    std::size_t shardCount = 4;
    /** Least time between two appends to a shard; claims that come meanwhile share one. */
    Duration appendInterval = std::chrono::milliseconds(50);
    /** Pause after an append that failed. */
    Duration retryDelay = std::chrono::milliseconds(500);
    /** Longest time for a claim; later the call is refused and its claim given back. */
    Duration claimTimeout = std::chrono::seconds(5);
    /** Items in one record. */
    std::size_t maxItemsPerAppend = 128;
    ClaimTableOptions table;

    ClaimManagerOptions withClaimTimeout(Duration value) const;
    auto operator<=>(const ClaimManagerOptions &) const = default;
};

/** Owns the book of claims, the queues of what has to be appended, and the claims under way. */
class ClaimManager : public std::enable_shared_from_this<ClaimManager>
{
public:
    ClaimManager(const asio::any_io_executor &executor, ClaimManagerOptions options,
                 AppendToLog append, ReadLog read, std::shared_ptr<Metrics> metrics, Log log);

    /** @returns where to send commands */
    const MailboxPtr<ClaimCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task and the tails of all shards. */
    void start();

private:
    struct Shard
    {
        /** Whether the shard was read to its end since the start; before, no key is judged. */
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
        /** Whether the caller was refused because the claim was not seen in time. */
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
    /** Own claims that were not yet read in the log, by their claimant numbers. */
    std::map<std::uint64_t, PendingClaim> m_pending;
    std::vector<FlushClaims> m_pendingFlushes;
};

} // namespace greengageseam
