#include "edge/storefeeds.h"

#include "net/clock.h"

namespace greengageseam {

OperatorFeed::OperatorFeed(const asio::any_io_executor &executor, TopicReader reader,
                           FollowOptions options, OperatorHooks hooks, Log log)
    : m_hooks(std::move(hooks)), m_log(std::move(log))
{
    FollowHooks follow;
    follow.whole = [this](const KeyedSnapshot &snapshot) {
        const bool isOld = !m_hasRead;
        m_hasRead = true;
        for (const KeyedRecord &record : snapshot.records) {
            take(record, isOld);
        }
        noteOffset(snapshot.end);
    };
    follow.added = [this](std::uint64_t, const KeyedTail &tail) {
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
        m_follower->mailbox()->post(ReadNow {offset});
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
        m_log.info("config.applied",
                   {{"config", config.version}, {"routes", config.routes.size()}});
        m_hooks.config(std::make_shared<const RouteTable>(std::move(config)));
    } else if (m_hooks.isNamed(record.key)) {
        const Outcome<NamedVersion> read =
                settle([&] { return m_hooks.decodeNamed(*record.value); });
        if (const Failure *failure = failureOf(read)) {
            m_log.error("weights.unreadable", {{"reason", failure->detail}});
            return;
        }
        takeNamed(std::get<NamedVersion>(read), isOld);
    }
}

void OperatorFeed::readAnew()
{
    m_follower->mailbox()->post(ReadAnew {});
}

void OperatorFeed::hearNamed(const NamedVersion &named)
{
    if (m_hasRead) {
        takeNamed(named, false);
    }
}

void OperatorFeed::takeNamed(const NamedVersion &named, bool isOld)
{
    std::uint64_t &known = m_named[named.model];
    if (named.version <= known) {
        return;
    }
    known = named.version;
    m_log.info("weights.target-changed",
               {{"model", named.model.text()}, {"version", named.version}});
    m_hooks.named(named, isOld);
}

ReplicaFeed::ReplicaFeed(const asio::any_io_executor &executor, TopicReader reader,
                         ReplicaHooksOfFeed hooks, Duration pause, Log log)
    : m_hooks(std::move(hooks)), m_log(std::move(log))
{
    FollowHooks follow;
    follow.whole = [this](const KeyedSnapshot &snapshot) { takeWhole(snapshot); };
    follow.added = [this](std::uint64_t from, const KeyedTail &tail) { takeAdded(from, tail); };
    follow.regained = [this] { m_hooks.regained(); };
    FollowOptions options;
    options.name = "replicas";
    options.pause = pause;
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

void ReplicaFeed::takeAdded(std::uint64_t from, const KeyedTail &tail)
{
    const Instant now = monotonicNow();
    m_book.beginRead(now);
    ListNews news {from, tail.next, {}, {}};
    for (const KeyedRecord &record : tail.records) {
        if (const std::optional<ReplicaEntry> changed = take(record, now)) {
            news = std::move(news).withChanged(*changed);
        } else if (!record.value) {
            news = std::move(news).withRemoved(ReplicaId(record.key));
        }
    }
    expire(now);
    m_hooks.read(news);
}

void ReplicaFeed::relyOnOthers(bool relies)
{
    m_follower->mailbox()->post(ReliesOnOthers {relies});
}

void ReplicaFeed::hear(const ListNews &news)
{
    m_follower->mailbox()->post(
            ReadElsewhere {news.from, news.next, [this, news] { takeOver(news); }});
}

void ReplicaFeed::takeOver(const ListNews &news)
{
    const Instant now = monotonicNow();
    m_book.beginRead(now);
    for (const ReplicaId &id : news.removed) {
        remove(id, now);
    }
    for (const ReplicaEntry &entry : news.changed) {
        put(entry);
    }
    expire(now);
}

void ReplicaFeed::expire(Instant now)
{
    for (const ReplicaNews &news : m_book.expire(now)) {
        tell(news);
    }
    publish();
}

void ReplicaFeed::remove(const ReplicaId &id, Instant now)
{
    if (const auto news = m_book.remove(id, now)) {
        tell(*news);
    }
}

/** @returns whether the entry differs from the known one */
bool ReplicaFeed::put(const ReplicaEntry &entry)
{
    const ReplicaEntry *known = m_book.find(entry.id);
    const bool isNew = known == nullptr || *known != entry;
    if (const auto news = m_book.put(entry)) {
        tell(*news);
        return true;
    }
    return isNew;
}

/** Applies a record. @returns the entry if it differs from the known one */
std::optional<ReplicaEntry> ReplicaFeed::take(const KeyedRecord &record, Instant now)
{
    const ReplicaId id(record.key);
    if (!record.value) {
        remove(id, now);
        return std::nullopt;
    }
    const Outcome<ReplicaEntry> read = settle([&] { return m_hooks.decode(id, *record.value); });
    if (const Failure *failure = failureOf(read)) {
        m_log.warning("replica.unreadable", {{"replica", id.text()}, {"reason", failure->detail}});
        remove(id, now);
        return std::nullopt;
    }
    const auto &entry = std::get<ReplicaEntry>(read);
    return put(entry) ? std::optional(entry) : std::nullopt;
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
