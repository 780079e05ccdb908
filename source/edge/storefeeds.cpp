#include "edge/storefeeds.h"

#include "net/clock.h"

namespace greengageseam {

OperatorFeed::OperatorFeed(const asio::any_io_executor &executor, TopicReader reader,
                           FollowOptions options, OperatorHooks hooks, Log log)
    : m_hooks(std::move(hooks)), m_log(std::move(log))
{
    FollowHooks follow;
    follow.whole = [this](const KeyedSnapshot &snapshot) {
        for (const KeyedRecord &record : snapshot.records) {
            take(record, true);
        }
        noteOffset(snapshot.end);
    };
    follow.added = [this](const KeyedTail &tail) {
        for (const KeyedRecord &record : tail.records) {
            take(record, false);
        }
        noteOffset(tail.next);
    };
    m_follower =
            std::make_shared<TopicFollower>(executor, std::move(reader), options, follow, m_log);
}

void OperatorFeed::start()
{
    m_follower->start();
}

void OperatorFeed::noteOffset(std::uint64_t offset)
{
    if (offset > m_offset) {
        m_offset = offset;
        m_hooks.readUpTo(offset);
    }
}

void OperatorFeed::hearOf(std::uint64_t offset)
{
    if (offset > m_offset) {
        m_follower->mailbox()->post(ReadNow {});
    }
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
    : m_hooks(std::move(hooks)), m_log(std::move(log))
{
    FollowHooks follow;
    follow.whole = [this](const KeyedSnapshot &snapshot) { takeWhole(snapshot); };
    follow.added = [this](const KeyedTail &tail) { takeAdded(tail); };
    const FollowOptions options {"replicas", {}, pause};
    m_follower =
            std::make_shared<TopicFollower>(executor, std::move(reader), options, follow, m_log);
}

void ReplicaFeed::start()
{
    m_follower->start();
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
    m_log.info("replica.changed", {{"replica", news.id.text()}, {"change", textOf(news.change)}});
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
