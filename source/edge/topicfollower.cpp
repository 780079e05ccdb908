#include "edge/topicfollower.h"

#include "net/clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 64;
constexpr auto initialBackoff = std::chrono::milliseconds(80);
constexpr auto maxBackoff = std::chrono::milliseconds(800);
/** Changes that are closer together than this count as a burst. */
constexpr auto maxBurstGap = std::chrono::milliseconds(700);
/**
 * Time within which the read in progress must return records that another process has read. It
 * doubles with each read that is restarted without a result, up to the maximum.
 */
constexpr auto initialCatchUpTimeout = std::chrono::milliseconds(250);
constexpr auto maxCatchUpTimeout = std::chrono::milliseconds(8000);
/** Interval at which a follower that relies on its peers checks the age of its view. */
constexpr auto peerViewCheckInterval = std::chrono::milliseconds(100);

/** @returns 50 to 100 % of the time at random, so that processes do not retry simultaneously */
Duration withJitter(Duration delay)
{
    constexpr std::uint64_t steps = 1024;
    const auto share = static_cast<std::int64_t>(steps + randomNumber() % steps);
    return delay * share / static_cast<std::int64_t>(2 * steps);
}

} // namespace

TopicFollower::TopicFollower(const asio::any_io_executor &executor, TopicReader reader,
                             FollowOptions options, FollowHooks hooks, Log log)
    : m_executor(executor), m_reader(std::move(reader)), m_options(std::move(options)),
      m_hooks(std::move(hooks)), m_log(std::move(log)),
      m_mailbox(makeMailbox<FollowCommand>(executor, mailboxCapacity)), m_backoff(initialBackoff),
      m_catchUpTimeout(initialCatchUpTimeout)
{ }

void TopicFollower::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    m_mailbox->post(ReadDue {});
}

Awaitable<void> TopicFollower::run()
{
    while (std::optional<FollowCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

bool TopicFollower::needsSnapshot() const
{
    return !m_next || m_isTailLost || m_options.readsSnapshotsOnly || m_isBurst;
}

void TopicFollower::apply(const ReadDue &command)
{
    if (command.readId != m_readId) {
        return;
    }
    const bool isCurrent =
            m_maxPeerViewAge && monotonicNow() - m_peerCompleteAsOf < *m_maxPeerViewAge;
    if (m_next && !m_isTailLost && isCurrent) {
        postAfter(peerViewCheckInterval, command);
        return;
    }
    m_readStartedAt = monotonicNow();
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), readId = m_readId] {
                return self->needsSnapshot() ? self->readSnapshot(readId)
                                             : self->readTail(readId, *self->m_next);
            },
            asio::detached);
}

void TopicFollower::apply(const CatchUp &command)
{
    const bool isBehind = m_next && *m_next < command.upTo;
    if (!isBehind || m_isCatchUpCheckPending || m_isBurst) {
        return;
    }
    m_isCatchUpCheckPending = true;
    postAfter(m_catchUpTimeout, CatchUpCheckDue {command.upTo});
}

void TopicFollower::apply(const CatchUpCheckDue &command)
{
    m_isCatchUpCheckPending = false;
    if (!m_next || *m_next >= command.upTo) {
        return;
    }
    if (restartRead()) {
        m_catchUpTimeout = std::min<Duration>(m_catchUpTimeout * 2, maxCatchUpTimeout);
        return;
    }
    m_isCatchUpCheckPending = true;
    postAfter(initialCatchUpTimeout, command);
}

void TopicFollower::apply(const RestartRead &)
{
    restartRead();
}

/**
 * Abandons the read in progress, which may wait on a connection that never returns anything, unless
 * it is receiving its result.
 *
 * @returns whether the read was abandoned
 */
bool TopicFollower::restartRead()
{
    if (m_reader.isReceiving && m_reader.isReceiving()) {
        return false;
    }
    ++m_readId;
    m_log.info("store.read-restarted",
               {{"topic", m_options.name}, {"from", m_next.value_or(TopicPosition()).offset}});
    if (m_reader.cancel) {
        m_reader.cancel();
    }
    m_mailbox->post(ReadDue {m_readId});
    return true;
}

Awaitable<void> TopicFollower::readSnapshot(std::uint64_t readId)
{
    Outcome<KeyedSnapshot> snapshot = co_await m_reader.snapshot();
    FollowCommand command = SnapshotRead {readId, std::move(snapshot)};
    co_await m_mailbox->send(std::move(command));
}

Awaitable<void> TopicFollower::readTail(std::uint64_t readId, TopicPosition from)
{
    Outcome<KeyedBatch> tail = co_await m_reader.tail(from, m_options.pollTimeout);
    FollowCommand command = TailRead {readId, from, std::move(tail)};
    co_await m_mailbox->send(std::move(command));
}

void TopicFollower::apply(const SnapshotRead &command)
{
    const Failure *failure = failureOf(command.snapshot);
    if (failure == nullptr) {
        applySnapshot(std::get<KeyedSnapshot>(command.snapshot));
    }
    finishRead(command.readId, failure);
}

/** Applies a snapshot, unless it is older than records that were read in the meantime. */
void TopicFollower::applySnapshot(const KeyedSnapshot &snapshot)
{
    const bool isOfEarlierEra = m_next && snapshot.end.era < m_next->era;
    const bool isOlder = m_next && snapshot.end < *m_next && !m_isTailLost;
    if (isOfEarlierEra || isOlder) {
        return;
    }
    const bool hasChanged = m_next && snapshot.end > *m_next;
    detectBurst(hasChanged);
    m_catchUpTimeout = hasChanged ? Duration(initialCatchUpTimeout) : m_catchUpTimeout;
    logLaterEra(snapshot.end);
    m_next = snapshot.end;
    m_isTailLost = false;
    m_hooks.onSnapshot(snapshot);
}

/** Logs that the store has begun another era since the last read. */
void TopicFollower::logLaterEra(TopicPosition end) const
{
    if (m_next && end.era > m_next->era) {
        m_log.warning("store.era-changed",
                      {{"topic", m_options.name},
                       {"era", end.era},
                       {"end", end.offset},
                       {"earlier_era", m_next->era},
                       {"earlier_end", m_next->offset}});
    }
}

/**
 * Schedules the next read. An abandoned read is ignored: it schedules nothing, and its failure does
 * not show whether the store is available.
 */
void TopicFollower::finishRead(std::uint64_t readId, const Failure *failure)
{
    if (readId != m_readId) {
        return;
    }
    reportAvailability(failure);
    scheduleNextRead(failure != nullptr);
}

void TopicFollower::apply(const TailRead &command)
{
    const Failure *failure = failureOf(command.tail);
    if (failure == nullptr) {
        applyTail(command);
    } else if (failure->kind != ErrorKind::PlatformUnavailable) {
        m_log.warning("store.snapshot-reread",
                      {{"topic", m_options.name}, {"reason", failure->detail}});
        m_isTailLost = true;
    }
    finishRead(command.readId, failure);
}

/** Applies the records that are not known yet, since two reads may return the same ones. */
void TopicFollower::applyTail(const TailRead &command)
{
    KeyedBatch tail = std::get<KeyedBatch>(command.tail);
    const bool isOfThisEra =
            m_next && command.from.era == m_next->era && tail.next.era == m_next->era;
    if (!isOfThisEra || command.from > *m_next) {
        return;
    }
    if (tail.isCompacted && tail.next <= *m_next) {
        // Its records may be older than what was applied, for instance than a removal.
        tail.records.clear();
    }
    const std::uint64_t known = tail.isCompacted ? 0 : m_next->offset - command.from.offset;
    const auto n = static_cast<std::ptrdiff_t>(std::min<std::uint64_t>(known, tail.records.size()));
    tail.records.erase(tail.records.begin(), tail.records.begin() + n);
    detectBurst(!tail.records.empty());
    const TopicPosition from = *m_next;
    if (tail.next > from) {
        m_catchUpTimeout = initialCatchUpTimeout;
    }
    m_next = std::max(*m_next, tail.next);
    m_hooks.onTail(from, tail);
}

void TopicFollower::detectBurst(bool hasChanged)
{
    const bool isRelayed = m_reader.isRelayed && m_reader.isRelayed();
    if (m_options.burstInterval <= Duration::zero() || isRelayed) {
        m_isBurst = false;
        return;
    }
    const Instant now = monotonicNow();
    m_isBurst = hasChanged && now - m_lastChangeAt < maxBurstGap;
    m_lastChangeAt = hasChanged ? now : m_lastChangeAt;
}

void TopicFollower::apply(const PeerReadReceived &command)
{
    const bool isOfThisEra = m_next && !m_isTailLost && command.from.era == m_next->era
            && command.next.era == m_next->era;
    if (!isOfThisEra || command.from > *m_next || command.next < *m_next) {
        return;
    }
    // An empty delta counts as well: it shows that the topic is unchanged.
    m_peerCompleteAsOf = std::max(m_peerCompleteAsOf, command.completeAsOf);
    m_next = command.next;
    command.applyDelta();
}

void TopicFollower::apply(const RelyOnPeers &command)
{
    m_maxPeerViewAge = command.maxViewAge;
}

void TopicFollower::reportAvailability(const Failure *failure)
{
    const bool isStoreLost = failure != nullptr;
    if (isStoreLost == m_isStoreLost) {
        return;
    }
    m_isStoreLost = isStoreLost;
    m_log.info(isStoreLost ? "store.lost" : "store.regained",
               {{"topic", m_options.name}, {"reason", isStoreLost ? failure->detail : ""}});
    if (!isStoreLost && m_hooks.onStoreRecovered) {
        m_hooks.onStoreRecovered();
    }
}

void TopicFollower::scheduleNextRead(bool hasFailed)
{
    const Duration interval = m_isBurst ? m_options.burstInterval : m_options.pollInterval;
    const Duration delay = hasFailed ? nextRetryDelay() : interval;
    m_backoff = hasFailed ? m_backoff : Duration(initialBackoff);
    if (delay <= Duration::zero()) {
        m_mailbox->post(ReadDue {m_readId});
        return;
    }
    postAfter(delay, ReadDue {m_readId});
}

/** @returns the time until the next read after a failed one; it grows with each call */
Duration TopicFollower::nextRetryDelay()
{
    const Duration delay = withJitter(m_backoff);
    m_backoff = std::min<Duration>(m_backoff * 2, maxBackoff);
    const Duration elapsed = monotonicNow() - m_readStartedAt;
    return m_options.countsBackoffFromStart ? delay - elapsed : delay;
}

void TopicFollower::postAfter(Duration delay, FollowCommand command)
{
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), delay, next = std::move(command)] {
                return self->waitAndPost(delay, next);
            },
            asio::detached);
}

Awaitable<void> TopicFollower::waitAndPost(Duration delay, FollowCommand command)
{
    Timer timer(m_executor, delay);
    co_await timer.async_wait(asTuple);
    m_mailbox->post(std::move(command));
}

} // namespace greengageseam
