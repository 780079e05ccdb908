#include "edge/topicfollower.h"

#include "net/clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 64;
constexpr auto firstBackoff = std::chrono::milliseconds(80);
constexpr auto longestBackoff = std::chrono::milliseconds(800);
/** Changes that are closer together than this count as a burst. */
constexpr auto stormGap = std::chrono::milliseconds(700);
/** A follower that relies on its peers reads the topic itself after they were silent this long. */
constexpr auto silentAfter = std::chrono::milliseconds(1000);
/** Time within which the read in progress must return records that another process has read. */
constexpr auto readPatience = std::chrono::milliseconds(250);
/** Interval at which a follower that relies on its peers checks whether they are silent. */
constexpr auto relyPause = std::chrono::milliseconds(200);

/** @returns 50 to 100 % of the time at random, so that processes do not retry simultaneously */
Duration spread(Duration time)
{
    constexpr std::uint64_t steps = 1024;
    const auto share = static_cast<std::int64_t>(steps + randomNumber() % steps);
    return time * share / static_cast<std::int64_t>(2 * steps);
}

} // namespace

TopicFollower::TopicFollower(const asio::any_io_executor &executor, TopicReader reader,
                             FollowOptions options, FollowHooks hooks, Log log)
    : m_executor(executor), m_reader(std::move(reader)), m_options(std::move(options)),
      m_hooks(std::move(hooks)), m_log(std::move(log)),
      m_mailbox(makeMailbox<FollowCommand>(executor, mailboxCapacity)), m_backoff(firstBackoff)
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

bool TopicFollower::readsWhole() const
{
    return !m_next || m_options.readsNewest || m_isStorm;
}

void TopicFollower::apply(const ReadDue &command)
{
    if (command.reading != m_reading) {
        return;
    }
    if (m_next && m_reliesOnOthers && monotonicNow() - m_heardAt < silentAfter) {
        sleepFor(relyPause, command);
        return;
    }
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), reading = m_reading] {
                return self->readsWhole() ? self->readSnapshot(reading)
                                          : self->readTail(reading, *self->m_next);
            },
            asio::detached);
}

void TopicFollower::apply(const ReadNow &command)
{
    const bool isBehind = m_next && *m_next < command.upTo;
    if (!isBehind || m_isCheckPending || m_isStorm) {
        return;
    }
    m_isCheckPending = true;
    sleepFor(readPatience, CheckDue {command.upTo});
}

void TopicFollower::apply(const CheckDue &command)
{
    m_isCheckPending = false;
    if (m_next && *m_next < command.upTo) {
        apply(ReadAnew {});
    }
}

/** Abandons the read in progress, which may wait on a connection that never returns anything. */
void TopicFollower::apply(const ReadAnew &)
{
    ++m_reading;
    m_log.info("store.read-restarted", {{"topic", m_options.name}, {"from", m_next.value_or(0)}});
    m_mailbox->post(ReadDue {m_reading});
}

Awaitable<void> TopicFollower::readSnapshot(std::uint64_t reading)
{
    Outcome<KeyedSnapshot> snapshot = co_await m_reader.snapshot();
    FollowCommand command = SnapshotRead {reading, std::move(snapshot)};
    co_await m_mailbox->send(std::move(command));
}

Awaitable<void> TopicFollower::readTail(std::uint64_t reading, std::uint64_t from)
{
    Outcome<KeyedTail> tail = co_await m_reader.tail(from, m_options.wait);
    FollowCommand command = TailRead {reading, from, std::move(tail)};
    co_await m_mailbox->send(std::move(command));
}

void TopicFollower::apply(const SnapshotRead &command)
{
    const Failure *failure = failureOf(command.snapshot);
    if (failure == nullptr) {
        takeSnapshot(std::get<KeyedSnapshot>(command.snapshot));
    }
    goOn(command.reading, failure);
}

/** Ignores a snapshot that is older than records that were read in the meantime. */
void TopicFollower::takeSnapshot(const KeyedSnapshot &snapshot)
{
    if (m_next && snapshot.end < *m_next) {
        return;
    }
    noteChange(m_next && snapshot.end > *m_next);
    m_next = snapshot.end;
    m_hooks.whole(snapshot);
}

/**
 * Schedules the next read. An abandoned read is ignored: it schedules nothing, and its failure does
 * not show whether the store is available.
 */
void TopicFollower::goOn(std::uint64_t reading, const Failure *failure)
{
    if (reading != m_reading) {
        return;
    }
    note(failure);
    readLater(failure != nullptr);
}

void TopicFollower::apply(const TailRead &command)
{
    const Failure *failure = failureOf(command.tail);
    if (failure == nullptr) {
        takeTail(command);
    } else if (failure->kind != ErrorKind::PlatformUnavailable) {
        m_log.warning("store.snapshot-reread",
                      {{"topic", m_options.name}, {"reason", failure->detail}});
        m_next.reset();
    }
    goOn(command.reading, failure);
}

/** Removes the records that are known already, since two reads may return the same ones. */
void TopicFollower::takeTail(const TailRead &command)
{
    if (!m_next || command.from > *m_next) {
        return;
    }
    KeyedTail tail = std::get<KeyedTail>(command.tail);
    const std::uint64_t known = *m_next - command.from;
    const auto n = static_cast<std::ptrdiff_t>(std::min<std::uint64_t>(known, tail.records.size()));
    tail.records.erase(tail.records.begin(), tail.records.begin() + n);
    noteChange(!tail.records.empty());
    const std::uint64_t from = *m_next;
    m_next = std::max(*m_next, tail.next);
    m_hooks.added(from, tail);
}

void TopicFollower::noteChange(bool hasChanged)
{
    if (m_options.stormPause <= Duration::zero()) {
        return;
    }
    const Instant now = monotonicNow();
    m_isStorm = hasChanged && now - m_changedAt < stormGap;
    m_changedAt = hasChanged ? now : m_changedAt;
}

void TopicFollower::apply(const ReadElsewhere &command)
{
    if (!m_next || command.from > *m_next || command.next < *m_next) {
        return;
    }
    // An empty delta counts as well: it shows that the peer is alive and the topic is unchanged.
    m_heardAt = monotonicNow();
    m_next = command.next;
    command.takeOver();
}

void TopicFollower::apply(const ReliesOnOthers &command)
{
    m_reliesOnOthers = command.relies;
}

void TopicFollower::note(const Failure *failure)
{
    const bool isLost = failure != nullptr;
    if (isLost == m_isLost) {
        return;
    }
    m_isLost = isLost;
    m_log.info(isLost ? "store.lost" : "store.regained",
               {{"topic", m_options.name}, {"reason", isLost ? failure->detail : ""}});
    if (!isLost && m_hooks.regained) {
        m_hooks.regained();
    }
}

void TopicFollower::readLater(bool hasFailed)
{
    const Duration usual = m_isStorm ? m_options.stormPause : m_options.pause;
    const Duration pause = hasFailed ? spread(m_backoff) : usual;
    m_backoff =
            hasFailed ? std::min<Duration>(m_backoff * 2, longestBackoff) : Duration(firstBackoff);
    if (pause <= Duration::zero()) {
        m_mailbox->post(ReadDue {m_reading});
        return;
    }
    sleepFor(pause, ReadDue {m_reading});
}

void TopicFollower::sleepFor(Duration time, FollowCommand then)
{
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), time, next = std::move(then)] {
                return self->sleep(time, next);
            },
            asio::detached);
}

Awaitable<void> TopicFollower::sleep(Duration time, FollowCommand then)
{
    asio::steady_timer timer(m_executor, time);
    co_await timer.async_wait(asTuple);
    m_mailbox->post(std::move(then));
}

} // namespace greengageseam
