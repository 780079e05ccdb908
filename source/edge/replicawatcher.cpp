#include "edge/replicawatcher.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Age of the list of backend servers from which the next entry of the zone reads it itself. */
constexpr auto maxRelayedListAge = std::chrono::milliseconds(1000);
/** Each further entry reads the list so much later, since it then receives what others have read.
 */
constexpr auto listReadStagger = std::chrono::milliseconds(150);
/** All entries from this rank on read the list at the same time. */
constexpr std::size_t maxStaggeredRank = 4;
/** Interval at which a watcher records that its process runs. */
constexpr auto runningCheckInterval = std::chrono::milliseconds(100);

} // namespace

ReplicaWatcher::ReplicaWatcher(const asio::any_io_executor &executor, TopicReader reader,
                               ReplicaWatcherHooks hooks, Duration pollInterval, Log log,
                               ReplicaRegistryOptions registryOptions)
    : m_executor(executor), m_hooks(std::move(hooks)), m_log(std::move(log)),
      m_replicas(registryOptions), m_expiryTimer(executor)
{
    FollowHooks followHooks;
    followHooks.onSnapshot = [this](const KeyedSnapshot &snapshot) { applySnapshot(snapshot); };
    followHooks.onTail = [this](TopicPosition from, const KeyedBatch &tail) {
        applyTail(from, tail);
    };
    followHooks.onStoreRecovered = [this] { m_hooks.onStoreRecovered(); };
    FollowOptions options;
    options.name = "replicas";
    options.pollInterval = pollInterval;
    options.countsBackoffFromStart = true;
    m_follower = std::make_shared<TopicFollower>(executor, recordAttempts(std::move(reader)),
                                                 options, followHooks, m_log);
}

/** @returns the reader, which tells the registry of each read that starts */
TopicReader ReplicaWatcher::recordAttempts(TopicReader reader)
{
    reader.snapshot = [this, read = std::move(reader.snapshot)] {
        m_replicas.recordAttempt(monotonicNow());
        return read();
    };
    reader.tail = [this, read = std::move(reader.tail)](TopicPosition from, Duration timeout) {
        m_replicas.recordAttempt(monotonicNow());
        return read(from, timeout);
    };
    return reader;
}

void ReplicaWatcher::start()
{
    startTicker(m_executor, runningCheckInterval, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self) {
            self->m_listening.recordRunning(monotonicNow());
        }
        return self != nullptr;
    });
    m_follower->start();
}

void ReplicaWatcher::applySnapshot(const KeyedSnapshot &snapshot)
{
    const Instant now = monotonicNow();
    m_replicas.recordRead(now);
    const bool isLaterEra = m_era && snapshot.end.era > *m_era;
    if (isLaterEra) {
        m_replicas.recordLoss(now);
    }
    m_era = snapshot.end.era;
    std::vector<ReplicaId> present;
    for (const KeyedRecord &record : snapshot.records) {
        present.emplace_back(record.key);
        if (!isLaterEra || !isOutdated(record)) {
            applyRecord(record, {}, now);
        }
    }
    for (const ReplicaUpdate &update : m_replicas.retainOnly(present, now)) {
        logChange(update);
    }
    publish();
    scheduleExpiry();
}

/** @returns whether the store has this registration only because it has lost a later record */
bool ReplicaWatcher::isOutdated(const KeyedRecord &record) const
{
    const std::optional<ReplicaEntry> entry = decode(record);
    return entry && m_replicas.isOutdated(*entry);
}

void ReplicaWatcher::applyTail(TopicPosition from, const KeyedBatch &tail)
{
    const Instant now = monotonicNow();
    m_replicas.recordRead(now);
    ReplicaListDelta update {from, tail.next, {}, {}, now - tail.completeAsOf};
    for (const KeyedRecord &record : tail.records) {
        update = applyRecord(record, std::move(update), now);
    }
    expire(now);
    m_hooks.onDelta(update);
}

void ReplicaWatcher::relyOnPeers(std::size_t rank)
{
    RelyOnPeers command;
    if (rank > 0) {
        const auto stagger = static_cast<std::int64_t>(std::min(rank, maxStaggeredRank) - 1);
        command.maxViewAge = maxRelayedListAge + listReadStagger * stagger;
    }
    m_follower->mailbox()->post(command);
}

void ReplicaWatcher::applyPeerDelta(const ReplicaListDelta &update)
{
    const Instant now = monotonicNow();
    m_listening.recordRunning(now);
    const Instant completeAsOf = m_listening.earliestArrival(now) - update.viewAge;
    m_follower->mailbox()->post(PeerReadReceived {update.from, update.next, completeAsOf,
                                                  [this, update] { applyDelta(update); }});
}

void ReplicaWatcher::applyDelta(const ReplicaListDelta &update)
{
    const Instant now = monotonicNow();
    m_replicas.recordRead(now);
    for (const ReplicaId &id : update.removed) {
        remove(id, now);
    }
    for (const ReplicaEntry &entry : update.changed) {
        put(entry);
    }
    expire(now);
}

void ReplicaWatcher::expire(Instant now)
{
    for (const ReplicaUpdate &update : m_replicas.expire(now)) {
        logChange(update);
    }
    publish();
    scheduleExpiry();
}

/** Entries expire on time, however long the next read of the list takes. */
void ReplicaWatcher::scheduleExpiry()
{
    const std::optional<Instant> next = m_replicas.nextExpiry();
    if (next == m_expiresAt) {
        return;
    }
    m_expiresAt = next;
    m_expiryTimer.cancel();
    if (!next) {
        return;
    }
    m_expiryTimer.expires_at(*next);
    m_expiryTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!ec && self) {
            self->m_expiresAt.reset();
            self->expire(monotonicNow());
        }
    });
}

void ReplicaWatcher::remove(const ReplicaId &id, Instant now)
{
    if (const auto update = m_replicas.remove(id, now)) {
        logChange(*update);
    }
}

/** @returns whether the entry differs from the known one */
bool ReplicaWatcher::put(const ReplicaEntry &entry)
{
    const ReplicaEntry *known = m_replicas.find(entry.id);
    const bool isNew = known == nullptr || *known != entry;
    if (const auto update = m_replicas.put(entry)) {
        logChange(*update);
        return true;
    }
    return isNew;
}

/** @returns the entry of a record; empty if it was removed or cannot be read */
std::optional<ReplicaEntry> ReplicaWatcher::decode(const KeyedRecord &record) const
{
    if (!record.value) {
        return std::nullopt;
    }
    const ReplicaId id(record.key);
    Outcome<ReplicaEntry> read = toOutcome([&] { return m_hooks.decode(id, *record.value); });
    if (const Failure *failure = failureOf(read)) {
        m_log.warning("replica.unreadable", {{"replica", id.text()}, {"reason", failure->detail}});
        return std::nullopt;
    }
    return std::get<ReplicaEntry>(std::move(read));
}

/** Applies a record. @returns the delta, to which the change was added */
ReplicaListDelta ReplicaWatcher::applyRecord(const KeyedRecord &record, ReplicaListDelta delta,
                                             Instant now)
{
    const std::optional<ReplicaEntry> entry = decode(record);
    if (!entry) {
        const ReplicaId id(record.key);
        remove(id, now);
        return std::move(delta).withRemoved(id);
    }
    return put(*entry) ? std::move(delta).withChanged(*entry) : delta;
}

void ReplicaWatcher::logChange(const ReplicaUpdate &update)
{
    m_log.info("replica.changed",
               {{"replica", update.id.text()}, {"change", textOf(update.change)}});
}

void ReplicaWatcher::publish()
{
    std::vector<ReplicaEntry> entries = m_replicas.entries();
    if (m_isPublished && entries == m_published) {
        return;
    }
    m_isPublished = true;
    m_published = entries;
    m_hooks.onChanged(std::move(entries));
}

} // namespace greengageseam
