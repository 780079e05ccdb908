/**
 * Claiming of requests: batched appends to the shards of the log, and replies when claims are read
 * back.
 */
#include "entry/claimkeeper.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 8192;
constexpr std::size_t maxPending = 4096;
constexpr std::size_t maxWaiting = 8192;
constexpr auto tickPeriod = std::chrono::milliseconds(50);

ClaimReply refusal(ErrorKind kind, std::string detail, Ran ran)
{
    return ClaimRefusal {Failure {kind, std::move(detail)}, ran};
}

/** @returns the reply to a caller whose claim is not the first of its key */
ClaimReply replyFor(const ClaimVerdict &verdict)
{
    switch (verdict.phase) {
    case ClaimPhase::Ended:
        if (verdict.answer) {
            return *verdict.answer;
        }
        return refusal(ErrorKind::OutcomeUnknown,
                       "the request was executed, but its response was not stored", Ran::Yes);
    case ClaimPhase::OutcomeUnknown:
        return refusal(ErrorKind::OutcomeUnknown, "the request with this key was interrupted",
                       Ran::Unknown);
    case ClaimPhase::OtherRequest:
        return refusal(ErrorKind::InvalidRequest,
                       "the idempotency key was used for a different request", Ran::No);
    case ClaimPhase::First:
    case ClaimPhase::InProgress:
        break;
    }
    return refusal(ErrorKind::ClaimInProgress, "a request with this key is in progress",
                   Ran::Unknown);
}

} // namespace

ClaimKeeperOptions ClaimKeeperOptions::withClaimLimit(Duration value) const
{
    ClaimKeeperOptions options = *this;
    options.claimLimit = value;
    return options;
}

ClaimKeeper::ClaimKeeper(const asio::any_io_executor &executor, ClaimKeeperOptions options,
                         AppendToLog append, ReadLog read, std::shared_ptr<Metrics> metrics,
                         Log log)
    : m_executor(executor), m_options(options), m_append(std::move(append)),
      m_read(std::move(read)), m_metrics(std::move(metrics)), m_log(std::move(log)),
      m_mailbox(makeMailbox<ClaimCommand>(executor, mailboxCapacity)), m_book(options.book),
      m_shards(options.shards)
{ }

void ClaimKeeper::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    const TakeShardRead take = [mailbox = m_mailbox](ShardRead read) -> Awaitable<void> {
        ClaimCommand command = std::move(read);
        co_await mailbox->send(std::move(command));
    };
    for (std::size_t n = 0; n < m_shards.size(); ++n) {
        asio::co_spawn(m_executor, followShard(m_executor, n, m_read, take, m_log), asio::detached);
    }
    startTicker(m_executor, tickPeriod, [mailbox = m_mailbox] {
        mailbox->post(ClaimTick {});
        return true;
    });
}

Awaitable<void> ClaimKeeper::run()
{
    while (std::optional<ClaimCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void ClaimKeeper::apply(const ClaimCall &command)
{
    const std::size_t shard = shardOf(command.key);
    if (std::optional<ClaimReply> reply = replyAtOnce(command, m_shards[shard])) {
        command.reply->post(std::move(*reply));
        return;
    }
    const Instant now = monotonicNow();
    Pending pending {command, now, false};
    pending.call.deadline = std::min(command.deadline, now + m_options.claimLimit);
    const std::uint64_t claimant = randomNumber();
    m_pending.emplace(claimant, std::move(pending));
    enqueue(ClaimMade {command.key, command.fingerprint, claimant}, command.key);
}

/** @returns the reply if no claim is needed or allowed; empty if the request has to be claimed */
std::optional<ClaimReply> ClaimKeeper::replyAtOnce(const ClaimCall &call, const Shard &shard)
{
    if (!shard.isKnown) {
        return refusal(ErrorKind::NotReady, "the claim log is not yet read completely", Ran::No);
    }
    const ClaimVerdict known = m_book.look(call.key, call.fingerprint, monotonicNow());
    if (known.phase != ClaimPhase::First) {
        return replyFor(known);
    }
    const bool isFull =
            m_book.isFull() || m_pending.size() >= maxPending || shard.waiting.size() >= maxWaiting;
    if (isFull) {
        return refusal(ErrorKind::Overloaded, "too many claims are pending or stored", Ran::No);
    }
    return std::nullopt;
}

void ClaimKeeper::apply(const ClaimEnded &command)
{
    enqueue(command, command.key);
}

void ClaimKeeper::apply(const ClaimReleased &command)
{
    enqueue(command, command.key);
}

void ClaimKeeper::apply(const ShardRead &command)
{
    for (const LogRecord &record : command.records) {
        readRecord(record);
    }
    m_shards[command.shard].isKnown = m_shards[command.shard].isKnown || command.isAtEnd;
    m_metrics->set("claims_remembered", "Idempotency keys held in the claim table",
                   static_cast<double>(m_book.size()));
}

void ClaimKeeper::readRecord(const LogRecord &record)
{
    const auto items = settle([&] { return decodeClaims(record.text); });
    if (const Failure *failure = failureOf(items)) {
        m_log.error("claims.unreadable-record", {{"reason", failure->detail}});
        return;
    }
    ClaimPosition position {record.offset, 0};
    for (const ClaimItem &item : std::get<std::vector<ClaimItem>>(items)) {
        if (const auto *claim = std::get_if<ClaimMade>(&item)) {
            readClaim(*claim, position);
        } else if (const auto *ended = std::get_if<ClaimEnded>(&item)) {
            m_book.read(*ended, monotonicNow());
        } else {
            m_book.read(std::get<ClaimReleased>(item), monotonicNow());
        }
        ++position.index;
    }
}

void ClaimKeeper::readClaim(const ClaimMade &claim, ClaimPosition position)
{
    const ClaimVerdict verdict = m_book.read(claim, position, monotonicNow());
    const auto it = m_pending.find(claim.claimant);
    if (it == m_pending.end()) {
        return;
    }
    const Pending pending = std::move(it->second);
    m_pending.erase(it);
    const bool isFirst = verdict.phase == ClaimPhase::First;
    if (pending.isAbandoned) {
        if (isFirst) {
            enqueue(ClaimReleased {claim.key, position}, claim.key);
        }
        return;
    }
    m_metrics->count("claims_total", "Claims, by whether they were the first of their key",
                     {{"first", isFirst ? "yes" : "no"}});
    pending.call.reply->post(isFirst ? ClaimGrant {claim.key, position, pending.claimedAt}
                                     : replyFor(verdict));
}

void ClaimKeeper::apply(const ClaimsAppended &command)
{
    Shard &shard = m_shards[command.shard];
    const std::vector<ClaimItem> items = std::exchange(shard.appending, {});
    shard.isAppending = false;
    if (const Failure *failure = failureOf(command.outcome)) {
        m_log.warning("claims.append-failed", {{"reason", failure->detail}});
        shard.nextAppendAt = monotonicNow() + m_options.retryAfter;
        if (failure->kind != ErrorKind::OutcomeUnknown) {
            refuseUnappended(items, *failure);
        }
        // Outcomes and releases are appended again: a duplicate in the log is harmless. A claim is
        // not: if the outcome of the append is unknown, the log may contain it already.
        std::vector<ClaimItem> again;
        std::copy_if(items.begin(), items.end(), std::back_inserter(again),
                     [](const auto &item) { return !std::holds_alternative<ClaimMade>(item); });
        shard.waiting.insert(shard.waiting.begin(), again.begin(), again.end());
    }
    appendIfDue(command.shard);
    answerFlushes();
}

/** Rejects the requests whose claims are known not to be in the log. */
void ClaimKeeper::refuseUnappended(const std::vector<ClaimItem> &items, const Failure &failure)
{
    for (const ClaimItem &item : items) {
        const auto *claim = std::get_if<ClaimMade>(&item);
        const auto it = claim == nullptr ? m_pending.end() : m_pending.find(claim->claimant);
        if (it == m_pending.end()) {
            continue;
        }
        if (!it->second.isAbandoned) {
            it->second.call.reply->post(
                    refusal(ErrorKind::PlatformUnavailable, failure.detail, Ran::No));
        }
        m_pending.erase(it);
    }
}

void ClaimKeeper::apply(const ClaimTick &)
{
    const Instant now = monotonicNow();
    for (std::size_t n = 0; n < m_shards.size(); ++n) {
        appendIfDue(n);
    }
    for (auto &[claimant, pending] : m_pending) {
        if (!pending.isAbandoned && now >= pending.call.deadline) {
            pending.isAbandoned = true;
            pending.call.reply->post(refusal(ErrorKind::PlatformUnavailable,
                                             "the claim was not confirmed by the log in time",
                                             Ran::No));
        }
    }
    std::erase_if(m_pending, [&](const auto &entry) {
        return now - entry.second.claimedAt >= m_options.book.window;
    });
}

void ClaimKeeper::apply(const FlushClaims &command)
{
    m_flushes.push_back(command);
    answerFlushes();
}

void ClaimKeeper::answerFlushes()
{
    const bool isClean = std::all_of(m_shards.begin(), m_shards.end(), [](const Shard &shard) {
        return shard.waiting.empty() && !shard.isAppending;
    });
    if (isClean) {
        for (const FlushClaims &flush : m_flushes) {
            flush.reply->post(ClaimsFlushed {});
        }
        m_flushes.clear();
    }
}

void ClaimKeeper::enqueue(ClaimItem item, const ClaimKey &key)
{
    const std::size_t shard = shardOf(key);
    if (m_shards[shard].waiting.size() >= maxWaiting) {
        m_log.error("claims.outcome-dropped", {{"key", textOf(key)}});
        return;
    }
    m_shards[shard].waiting.push_back(std::move(item));
    appendIfDue(shard);
}

void ClaimKeeper::appendIfDue(std::size_t index)
{
    Shard &shard = m_shards[index];
    const Instant now = monotonicNow();
    if (shard.isAppending || now < shard.nextAppendAt) {
        return;
    }
    dropAbandoned(shard);
    if (shard.waiting.empty()) {
        return;
    }
    const auto n =
            static_cast<std::ptrdiff_t>(std::min(shard.waiting.size(), m_options.itemsPerAppend));
    shard.appending.assign(shard.waiting.begin(), shard.waiting.begin() + n);
    shard.waiting.erase(shard.waiting.begin(), shard.waiting.begin() + n);
    shard.isAppending = true;
    shard.nextAppendAt = now + m_options.appendEvery;
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), index, text = encodeClaims(shard.appending)] {
                return self->append(index, text);
            },
            asio::detached);
}

/** Appends one record and posts the outcome to the task. */
Awaitable<void> ClaimKeeper::append(std::size_t shard, std::string text)
{
    std::string stream = claimStream(shard);
    Outcome<Offset> outcome = co_await m_append(std::move(stream), std::move(text));
    ClaimCommand command = ClaimsAppended {shard, std::move(outcome)};
    co_await m_mailbox->send(std::move(command));
}

/** Removes queued claims whose callers were already rejected; they are never appended. */
void ClaimKeeper::dropAbandoned(Shard &shard)
{
    std::erase_if(shard.waiting, [this](const ClaimItem &item) {
        const auto *claim = std::get_if<ClaimMade>(&item);
        const auto it = claim == nullptr ? m_pending.end() : m_pending.find(claim->claimant);
        if (it == m_pending.end() || !it->second.isAbandoned) {
            return false;
        }
        m_pending.erase(it);
        return true;
    });
}

} // namespace greengageseam
