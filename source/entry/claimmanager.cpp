/**
 * Claiming of requests: batched appends to the shards of the log, and replies when claims are read
 * back.
 */
#include "entry/claimmanager.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 8192;
constexpr std::size_t maxPending = 4096;
constexpr std::size_t maxPendingItems = 8192;
constexpr auto tickPeriod = std::chrono::milliseconds(50);

ClaimReply rejection(ErrorKind kind, std::string detail, ExecutionStatus ran)
{
    return ClaimRejection {Failure {kind, std::move(detail)}, ran};
}

/** @returns the reply to a caller whose claim is not the first of its key */
ClaimReply replyFor(const ClaimStatus &status)
{
    switch (status.phase) {
    case ClaimPhase::Finished:
        if (status.response) {
            return *status.response;
        }
        return rejection(ErrorKind::OutcomeUnknown,
                         "the request was executed, but its response was not stored",
                         ExecutionStatus::Executed);
    case ClaimPhase::OutcomeUnknown:
        return rejection(ErrorKind::OutcomeUnknown, "the request with this key was interrupted",
                         ExecutionStatus::Unknown);
    case ClaimPhase::FingerprintMismatch:
        return rejection(ErrorKind::InvalidRequest,
                         "the idempotency key was used for a different request",
                         ExecutionStatus::NotExecuted);
    case ClaimPhase::First:
    case ClaimPhase::InProgress:
        break;
    }
    return rejection(ErrorKind::ClaimInProgress, "a request with this key is in progress",
                     ExecutionStatus::Unknown);
}

} // namespace

ClaimManagerOptions ClaimManagerOptions::withClaimTimeout(Duration value) const
{
    ClaimManagerOptions options = *this;
    options.claimTimeout = value;
    return options;
}

ClaimManager::ClaimManager(const asio::any_io_executor &executor, ClaimManagerOptions options,
                           AppendToLog append, ReadLog read, std::shared_ptr<Metrics> metrics,
                           Log log)
    : m_executor(executor), m_options(options), m_append(std::move(append)),
      m_read(std::move(read)), m_metrics(std::move(metrics)), m_log(std::move(log)),
      m_mailbox(makeMailbox<ClaimCommand>(executor, mailboxCapacity)), m_claims(options.table),
      m_shards(options.shardCount)
{ }

void ClaimManager::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    const OnShardRead onRead = [mailbox = m_mailbox](ShardRead read) -> Awaitable<void> {
        ClaimCommand command = std::move(read);
        co_await mailbox->send(std::move(command));
    };
    for (std::size_t n = 0; n < m_shards.size(); ++n) {
        asio::co_spawn(m_executor, followShard(m_executor, n, m_read, onRead, m_log),
                       asio::detached);
    }
    startTicker(m_executor, tickPeriod, [mailbox = m_mailbox] {
        mailbox->post(ClaimTick {});
        return true;
    });
}

Awaitable<void> ClaimManager::run()
{
    while (std::optional<ClaimCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void ClaimManager::apply(const ClaimRequest &command)
{
    const std::size_t shard = shardOf(command.key);
    if (std::optional<ClaimReply> reply = immediateReply(command, m_shards[shard])) {
        command.reply->post(std::move(*reply));
        return;
    }
    const Instant now = monotonicNow();
    PendingClaim pending {command, now, false};
    pending.request.deadline = std::min(command.deadline, now + m_options.claimTimeout);
    const std::uint64_t claimant = randomNumber();
    m_pending.emplace(claimant, std::move(pending));
    enqueue(ClaimCreated {command.key, command.fingerprint, claimant}, command.key);
}

/** @returns the reply if no claim is needed or allowed; empty if the request has to be claimed */
std::optional<ClaimReply> ClaimManager::immediateReply(const ClaimRequest &request,
                                                       const Shard &shard)
{
    if (!shard.isCaughtUp) {
        return rejection(ErrorKind::NotReady, "the claim log is not yet read completely",
                         ExecutionStatus::NotExecuted);
    }
    const ClaimStatus status = m_claims.lookup(request.key, request.fingerprint, monotonicNow());
    if (status.phase != ClaimPhase::First) {
        return replyFor(status);
    }
    const bool isFull = m_claims.isFull() || m_pending.size() >= maxPending
            || shard.pendingItems.size() >= maxPendingItems;
    if (isFull) {
        return rejection(ErrorKind::Overloaded, "too many claims are pending or stored",
                         ExecutionStatus::NotExecuted);
    }
    return std::nullopt;
}

void ClaimManager::apply(const ClaimFinished &command)
{
    enqueue(command, command.key);
}

void ClaimManager::apply(const ClaimReleased &command)
{
    enqueue(command, command.key);
}

void ClaimManager::apply(const ShardRead &command)
{
    for (const LogRecord &record : command.records) {
        applyRecord(record);
    }
    m_shards[command.shard].isCaughtUp = m_shards[command.shard].isCaughtUp || command.isAtEnd;
    m_metrics->set("claims_remembered", "Idempotency keys held in the claim table",
                   static_cast<double>(m_claims.size()));
}

void ClaimManager::applyRecord(const LogRecord &record)
{
    const auto items = toOutcome([&] { return decodeClaims(record.text); });
    if (const Failure *failure = failureOf(items)) {
        m_log.error("claims.unreadable-record", {{"reason", failure->detail}});
        return;
    }
    ClaimPosition position {record.offset, 0};
    for (const ClaimItem &item : std::get<std::vector<ClaimItem>>(items)) {
        if (const auto *claim = std::get_if<ClaimCreated>(&item)) {
            applyClaim(*claim, position);
        } else if (const auto *finished = std::get_if<ClaimFinished>(&item)) {
            m_claims.apply(*finished, monotonicNow());
        } else {
            m_claims.apply(std::get<ClaimReleased>(item), monotonicNow());
        }
        ++position.index;
    }
}

void ClaimManager::applyClaim(const ClaimCreated &claim, ClaimPosition position)
{
    const ClaimStatus status = m_claims.apply(claim, position, monotonicNow());
    const auto it = m_pending.find(claim.claimantNonce);
    if (it == m_pending.end()) {
        return;
    }
    const PendingClaim pending = std::move(it->second);
    m_pending.erase(it);
    const bool isFirst = status.phase == ClaimPhase::First;
    if (pending.isAbandoned) {
        if (isFirst) {
            enqueue(ClaimReleased {claim.key, position}, claim.key);
        }
        return;
    }
    m_metrics->count("claims_total", "Claims, by whether they were the first of their key",
                     {{"first", isFirst ? "yes" : "no"}});
    pending.request.reply->post(isFirst ? ClaimGrant {claim.key, position, pending.claimedAt}
                                        : replyFor(status));
}

void ClaimManager::apply(const ClaimsAppended &command)
{
    Shard &shard = m_shards[command.shard];
    const std::vector<ClaimItem> items = std::exchange(shard.appending, {});
    shard.isAppending = false;
    if (const Failure *failure = failureOf(command.outcome)) {
        m_log.warning("claims.append-failed", {{"reason", failure->detail}});
        shard.nextAppendAt = monotonicNow() + m_options.retryDelay;
        if (failure->kind != ErrorKind::OutcomeUnknown) {
            rejectUnappended(items, *failure);
        }
        // Outcomes and releases are appended again: a duplicate in the log is harmless. A claim is
        // not: if the outcome of the append is unknown, the log may contain it already.
        std::vector<ClaimItem> retried;
        std::copy_if(items.begin(), items.end(), std::back_inserter(retried),
                     [](const auto &item) { return !std::holds_alternative<ClaimCreated>(item); });
        shard.pendingItems.insert(shard.pendingItems.begin(), retried.begin(), retried.end());
    }
    appendIfDue(command.shard);
    completeFlushes();
}

/** Rejects the requests whose claims are known not to be in the log. */
void ClaimManager::rejectUnappended(const std::vector<ClaimItem> &items, const Failure &failure)
{
    for (const ClaimItem &item : items) {
        const auto *claim = std::get_if<ClaimCreated>(&item);
        const auto it = claim == nullptr ? m_pending.end() : m_pending.find(claim->claimantNonce);
        if (it == m_pending.end()) {
            continue;
        }
        if (!it->second.isAbandoned) {
            it->second.request.reply->post(rejection(ErrorKind::PlatformUnavailable, failure.detail,
                                                     ExecutionStatus::NotExecuted));
        }
        m_pending.erase(it);
    }
}

void ClaimManager::apply(const ClaimTick &)
{
    const Instant now = monotonicNow();
    for (std::size_t n = 0; n < m_shards.size(); ++n) {
        appendIfDue(n);
    }
    for (auto &[claimant, pending] : m_pending) {
        if (!pending.isAbandoned && now >= pending.request.deadline) {
            pending.isAbandoned = true;
            pending.request.reply->post(rejection(ErrorKind::PlatformUnavailable,
                                                  "the claim was not confirmed by the log in time",
                                                  ExecutionStatus::NotExecuted));
        }
    }
    std::erase_if(m_pending, [&](const auto &entry) {
        return now - entry.second.claimedAt >= m_options.table.window;
    });
}

void ClaimManager::apply(const FlushClaims &command)
{
    m_pendingFlushes.push_back(command);
    completeFlushes();
}

void ClaimManager::completeFlushes()
{
    const bool isFlushed = std::all_of(m_shards.begin(), m_shards.end(), [](const Shard &shard) {
        return shard.pendingItems.empty() && !shard.isAppending;
    });
    if (isFlushed) {
        for (const FlushClaims &flush : m_pendingFlushes) {
            flush.reply->post(ClaimsFlushed {});
        }
        m_pendingFlushes.clear();
    }
}

void ClaimManager::enqueue(ClaimItem item, const ClaimKey &key)
{
    const std::size_t shard = shardOf(key);
    if (m_shards[shard].pendingItems.size() >= maxPendingItems) {
        m_log.error("claims.outcome-dropped", {{"key", textOf(key)}});
        return;
    }
    m_shards[shard].pendingItems.push_back(std::move(item));
    appendIfDue(shard);
}

void ClaimManager::appendIfDue(std::size_t index)
{
    Shard &shard = m_shards[index];
    const Instant now = monotonicNow();
    if (shard.isAppending || now < shard.nextAppendAt) {
        return;
    }
    removeAbandoned(shard);
    if (shard.pendingItems.empty()) {
        return;
    }
    const auto n = static_cast<std::ptrdiff_t>(
            std::min(shard.pendingItems.size(), m_options.maxItemsPerAppend));
    shard.appending.assign(shard.pendingItems.begin(), shard.pendingItems.begin() + n);
    shard.pendingItems.erase(shard.pendingItems.begin(), shard.pendingItems.begin() + n);
    shard.isAppending = true;
    shard.nextAppendAt = now + m_options.appendInterval;
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), index, text = encodeClaims(shard.appending)] {
                return self->append(index, text);
            },
            asio::detached);
}

/** Appends one record and posts the outcome to the task. */
Awaitable<void> ClaimManager::append(std::size_t shard, std::string text)
{
    std::string stream = claimStreamName(shard);
    Outcome<Offset> outcome = co_await m_append(std::move(stream), std::move(text));
    ClaimCommand command = ClaimsAppended {shard, std::move(outcome)};
    co_await m_mailbox->send(std::move(command));
}

/** Removes queued claims whose callers were already rejected; they are never appended. */
void ClaimManager::removeAbandoned(Shard &shard)
{
    std::erase_if(shard.pendingItems, [this](const ClaimItem &item) {
        const auto *claim = std::get_if<ClaimCreated>(&item);
        const auto it = claim == nullptr ? m_pending.end() : m_pending.find(claim->claimantNonce);
        if (it == m_pending.end() || !it->second.isAbandoned) {
            return false;
        }
        m_pending.erase(it);
        return true;
    });
}

} // namespace greengageseam
