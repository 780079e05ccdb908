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
constexpr std::size_t maxWaiting = 8192;
constexpr auto tickPeriod = std::chrono::milliseconds(50);

ClaimReply refusal(ErrorKind kind, std::string detail, ExecutionStatus ran)
{
    return ClaimRefusal {Failure {kind, std::move(detail)}, ran};
}

/** @returns what a caller hears whose claim is not the first */
ClaimReply replyFor(const ClaimStatus &verdict)
{
    switch (verdict.phase) {
    case ClaimPhase::Finished:
        if (verdict.response) {
            return *verdict.response;
        }
        return refusal(ErrorKind::OutcomeUnknown, "the call ran; its answer was not kept",
                       ExecutionStatus::Executed);
    case ClaimPhase::OutcomeUnknown:
        return refusal(ErrorKind::OutcomeUnknown, "the call with this key was cut off",
                       ExecutionStatus::Unknown);
    case ClaimPhase::FingerprintMismatch:
        return refusal(ErrorKind::InvalidRequest, "the key was used for another request",
                       ExecutionStatus::NotExecuted);
    case ClaimPhase::First:
    case ClaimPhase::InProgress:
        break;
    }
    return refusal(ErrorKind::ClaimInProgress, "a call with this key is in progress",
                   ExecutionStatus::Unknown);
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
    enqueue(ClaimCreated {command.key, command.fingerprint, claimant}, command.key);
}

/** @returns the reply if the call need not or must not be claimed */
std::optional<ClaimReply> ClaimKeeper::replyAtOnce(const ClaimCall &call, const Shard &shard)
{
    if (!shard.isKnown) {
        return refusal(ErrorKind::NotReady, "the log of claims is not yet read",
                       ExecutionStatus::NotExecuted);
    }
    const ClaimStatus known = m_book.lookup(call.key, call.fingerprint, monotonicNow());
    if (known.phase != ClaimPhase::First) {
        return replyFor(known);
    }
    const bool isFull =
            m_book.isFull() || m_pending.size() >= maxPending || shard.waiting.size() >= maxWaiting;
    if (isFull) {
        return refusal(ErrorKind::Overloaded, "too many calls are claimed",
                       ExecutionStatus::NotExecuted);
    }
    return std::nullopt;
}

void ClaimKeeper::apply(const ClaimFinished &command)
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
    m_metrics->set("claims_remembered", "Keys of calls that are remembered",
                   static_cast<double>(m_book.size()));
}

void ClaimKeeper::readRecord(const LogRecord &record)
{
    const auto items = toOutcome([&] { return decodeClaims(record.text); });
    if (const Failure *failure = failureOf(items)) {
        m_log.error("claims.unreadable-record", {{"reason", failure->detail}});
        return;
    }
    ClaimPosition position {record.offset, 0};
    for (const ClaimItem &item : std::get<std::vector<ClaimItem>>(items)) {
        if (const auto *claim = std::get_if<ClaimCreated>(&item)) {
            readClaim(*claim, position);
        } else if (const auto *ended = std::get_if<ClaimFinished>(&item)) {
            m_book.apply(*ended, monotonicNow());
        } else {
            m_book.apply(std::get<ClaimReleased>(item), monotonicNow());
        }
        ++position.index;
    }
}

void ClaimKeeper::readClaim(const ClaimCreated &claim, ClaimPosition position)
{
    const ClaimStatus verdict = m_book.apply(claim, position, monotonicNow());
    const auto it = m_pending.find(claim.claimantNonce);
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
    m_metrics->count("claims_total", "Claims by whether they were the first of their key",
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
        // An outcome that stands twice in the log does no harm; a claim is never appended again.
        std::vector<ClaimItem> again;
        std::copy_if(items.begin(), items.end(), std::back_inserter(again),
                     [](const auto &item) { return !std::holds_alternative<ClaimCreated>(item); });
        shard.waiting.insert(shard.waiting.begin(), again.begin(), again.end());
    }
    appendIfDue(command.shard);
    answerFlushes();
}

/** Claims that are surely not in the log were not made. */
void ClaimKeeper::refuseUnappended(const std::vector<ClaimItem> &items, const Failure &failure)
{
    for (const ClaimItem &item : items) {
        const auto *claim = std::get_if<ClaimCreated>(&item);
        const auto it = claim == nullptr ? m_pending.end() : m_pending.find(claim->claimantNonce);
        if (it == m_pending.end()) {
            continue;
        }
        if (!it->second.isAbandoned) {
            it->second.call.reply->post(refusal(ErrorKind::PlatformUnavailable, failure.detail,
                                                ExecutionStatus::NotExecuted));
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
                                             "the claim was not seen in the log in time",
                                             ExecutionStatus::NotExecuted));
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

/** Appends one record, and tells the task how it went. */
Awaitable<void> ClaimKeeper::append(std::size_t shard, std::string text)
{
    std::string stream = claimStream(shard);
    Outcome<Offset> outcome = co_await m_append(std::move(stream), std::move(text));
    ClaimCommand command = ClaimsAppended {shard, std::move(outcome)};
    co_await m_mailbox->send(std::move(command));
}

/** A claim whose caller was refused while it waited is never made. */
void ClaimKeeper::dropAbandoned(Shard &shard)
{
    std::erase_if(shard.waiting, [this](const ClaimItem &item) {
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
