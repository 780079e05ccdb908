#include "edge/storefeeds.h"

#include "net/clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr auto firstBackoff = std::chrono::milliseconds(100);
constexpr auto longestBackoff = std::chrono::milliseconds(800);
constexpr auto operatorWait = std::chrono::seconds(25);

Awaitable<void> sleepFor(asio::any_io_executor executor, Duration time)
{
    asio::steady_timer timer(executor, time);
    co_await timer.async_wait(asTuple);
}

/** @returns a pause of a share from 0.5 to 1, so that processes do not come all at once */
Duration spread(Duration time)
{
    constexpr std::uint64_t steps = 1024;
    const auto share = static_cast<std::int64_t>(steps + randomNumber() % steps);
    return time * share / static_cast<std::int64_t>(2 * steps);
}

} // namespace

Awaitable<void> followTopic(asio::any_io_executor executor, TopicFollower follower)
{
    std::optional<std::uint64_t> next;
    bool isLost = false;
    Duration backoff = firstBackoff;
    while (true) {
        std::optional<Failure> failure;
        if (!next) {
            const Outcome<KeyedSnapshot> read = co_await follower.reader.snapshot();
            if (failureOf(read) != nullptr) {
                failure = *failureOf(read);
            } else {
                next = std::get<KeyedSnapshot>(read).end;
                follower.whole(std::get<KeyedSnapshot>(read));
            }
        } else {
            const Outcome<KeyedTail> read = co_await follower.reader.tail(*next, follower.wait);
            if (failureOf(read) != nullptr) {
                failure = *failureOf(read);
            } else {
                next = std::get<KeyedTail>(read).next;
                follower.added(std::get<KeyedTail>(read));
            }
        }
        if (failure && failure->kind != ErrorKind::PlatformUnavailable) {
            follower.log.warning("store.reread",
                                 {{"topic", follower.name}, {"reason", failure->detail}});
            next.reset();
        }
        if (failure.has_value() != isLost) {
            isLost = failure.has_value();
            follower.log.info(isLost ? "store.lost" : "store.regained",
                              {{"topic", follower.name}, {"reason", isLost ? failure->detail : ""}});
        }
        if (failure) {
            co_await sleepFor(executor, spread(backoff));
            backoff = std::min<Duration>(backoff * 2, longestBackoff);
            continue;
        }
        backoff = firstBackoff;
        if (follower.pause > Duration::zero()) {
            co_await sleepFor(executor, follower.pause);
        }
    }
}

OperatorFeed::OperatorFeed(const asio::any_io_executor &executor, TopicReader reader,
                           OperatorHooks hooks, Log log)
    : m_executor(executor), m_reader(std::move(reader)), m_hooks(std::move(hooks)),
      m_log(std::move(log))
{ }

void OperatorFeed::start()
{
    TopicFollower follower {m_reader, operatorWait, {}, {}, {}, "operator", m_log};
    follower.whole = [self = shared_from_this()](const KeyedSnapshot &snapshot) {
        for (const KeyedRecord &record : snapshot.records) {
            self->take(record, true);
        }
    };
    follower.added = [self = shared_from_this()](const KeyedTail &tail) {
        for (const KeyedRecord &record : tail.records) {
            self->take(record, false);
        }
    };
    asio::co_spawn(m_executor, followTopic(m_executor, std::move(follower)), asio::detached);
}

void OperatorFeed::take(const KeyedRecord &record, bool isOld)
{
    if (!record.value) {
        return;
    }
    if (m_hooks.isConfig(record.key)) {
        Outcome<FleetConfig> read = settle([&] { return m_hooks.decodeConfig(*record.value); });
        if (const Failure *failure = failureOf(read)) {
            m_log.error("config.unreadable", {{"reason", failure->detail}});
            return;
        }
        auto &config = std::get<FleetConfig>(read);
        if (config.version <= m_version) {
            return;
        }
        m_version = config.version;
        m_log.info("config.in-force",
                   {{"config", config.version}, {"routes", config.routes.size()}});
        m_hooks.config(std::make_shared<const RouteTable>(std::move(config)));
    } else if (m_hooks.isNamed(record.key)) {
        const Outcome<NamedVersion> read =
                settle([&] { return m_hooks.decodeNamed(*record.value); });
        if (const Failure *failure = failureOf(read)) {
            m_log.error("weights.unreadable", {{"reason", failure->detail}});
            return;
        }
        const auto &named = std::get<NamedVersion>(read);
        std::uint64_t &known = m_named[named.model];
        if (named.version <= known) {
            return;
        }
        known = named.version;
        m_log.info("weights.named", {{"model", named.model.text()}, {"version", named.version}});
        m_hooks.named(named, isOld);
    }
}

ReplicaFeed::ReplicaFeed(const asio::any_io_executor &executor, TopicReader reader,
                         ReplicaHooksOfFeed hooks, Duration pause, Log log)
    : m_executor(executor), m_reader(std::move(reader)), m_hooks(std::move(hooks)), m_pause(pause),
      m_log(std::move(log))
{ }

void ReplicaFeed::start()
{
    TopicFollower follower {m_reader, {}, m_pause, {}, {}, "replicas", m_log};
    follower.whole = [self = shared_from_this()](const KeyedSnapshot &snapshot) {
        self->takeWhole(snapshot);
    };
    follower.added = [self = shared_from_this()](const KeyedTail &tail) {
        self->takeAdded(tail);
    };
    asio::co_spawn(m_executor, followTopic(m_executor, std::move(follower)), asio::detached);
}

void ReplicaFeed::takeWhole(const KeyedSnapshot &snapshot)
{
    const Instant now = monotonicNow();
    m_book.beginRead(now);
    std::vector<ReplicaId> present;
    for (const KeyedRecord &record : snapshot.records) {
        present.emplace_back(record.key);
        take(record, now);
    }
    for (const ReplicaNews &news : m_book.retain(present, now)) {
        tell(news);
    }
    publish();
}

void ReplicaFeed::takeAdded(const KeyedTail &tail)
{
    const Instant now = monotonicNow();
    m_book.beginRead(now);
    for (const KeyedRecord &record : tail.records) {
        take(record, now);
    }
    for (const ReplicaNews &news : m_book.expire(now)) {
        tell(news);
    }
    publish();
}

void ReplicaFeed::take(const KeyedRecord &record, Instant now)
{
    const ReplicaId id(record.key);
    if (!record.value) {
        if (const auto news = m_book.remove(id, now)) {
            tell(*news);
        }
        return;
    }
    const Outcome<ReplicaEntry> read = settle([&] { return m_hooks.decode(id, *record.value); });
    if (const Failure *failure = failureOf(read)) {
        m_log.warning("replica.unreadable", {{"replica", id.text()}, {"reason", failure->detail}});
        if (const auto news = m_book.remove(id, now)) {
            tell(*news);
        }
        return;
    }
    if (const auto news = m_book.put(std::get<ReplicaEntry>(read))) {
        tell(*news);
    }
}

void ReplicaFeed::tell(const ReplicaNews &news)
{
    m_log.info("replica.changed",
               {{"replica", news.id.text()}, {"change", textOf(news.change)}});
}

void ReplicaFeed::publish()
{
    std::vector<ReplicaEntry> entries = m_book.entries();
    if (m_isPublished && entries == m_published) {
        return;
    }
    m_isPublished = true;
    m_published = entries;
    m_hooks.changed(std::move(entries));
}

} // namespace greengageseam
