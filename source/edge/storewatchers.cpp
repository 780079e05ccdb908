#include "edge/storewatchers.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Interval at which a watcher records that its process runs. */
constexpr auto runningCheckInterval = std::chrono::milliseconds(100);

/**
 * Time after a pause during which views of peers do not count. Their messages may have waited
 * during the pause, and their ages are as of when they were sent.
 */
constexpr auto peerViewSettleTime = std::chrono::milliseconds(300);
/** A difference between two dates of a target version that makes none to requests. */
constexpr auto datingTolerance = std::chrono::milliseconds(100);
/** Age of the list of backend servers from which the next entry of the zone reads it itself. */
constexpr auto maxRelayedListAge = std::chrono::milliseconds(1000);
/** Each further entry reads the list so much later, since it then receives what others have read.
 */
constexpr auto listReadStagger = std::chrono::milliseconds(150);
/** All entries from this rank on read the list at the same time. */
constexpr std::size_t maxStaggeredRank = 4;

/** @returns the name of a source in the log */
std::string nameOf(VersionSource source)
{
    switch (source) {
    case VersionSource::Agent:
        return "agent";
    case VersionSource::Entry:
        return "entry";
    default:
        return "store";
    }
}

} // namespace

OperatorWatcher::OperatorWatcher(const asio::any_io_executor &executor, TopicReader reader,
                                 FollowOptions options, OperatorHooks hooks, Log log)
    : m_executor(executor), m_hooks(std::move(hooks)), m_log(std::move(log))
{
    FollowHooks followHooks;
    followHooks.onSnapshot = [this](const KeyedSnapshot &snapshot) {
        const bool isInitial = !m_hasSnapshot;
        m_hasSnapshot = true;
        applyRecords(snapshot.records, isInitial, snapshot.completeAsOf);
        advanceOffset(snapshot.endOffset);
    };
    followHooks.onTail = [this](std::uint64_t, const KeyedBatch &tail) {
        applyRecords(tail.records, false, tail.completeAsOf);
        advanceOffset(tail.nextOffset);
    };
    m_follower = std::make_shared<TopicFollower>(executor, std::move(reader), options, followHooks,
                                                 m_log);
}

void OperatorWatcher::start()
{
    startTicker(m_executor, runningCheckInterval, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self) {
            self->recordRunning();
        }
        return self != nullptr;
    });
    m_follower->start();
}

/** Detects pauses. It must precede whatever the process does first after a pause. */
void OperatorWatcher::recordRunning()
{
    const Instant now = monotonicNow();
    if (const std::optional<Duration> pause = m_listening.recordRunning(now)) {
        m_ignorePeerViewsUntil = now + peerViewSettleTime;
        m_log.info("process.paused", {{"paused_ms", pause->count() / 1000}});
    }
}

void OperatorWatcher::advanceOffset(std::uint64_t offset)
{
    if (offset > m_offset) {
        m_offset = offset;
        m_hooks.onOffsetAdvanced(offset);
    }
}

void OperatorWatcher::catchUpTo(std::uint64_t offset)
{
    if (offset > m_offset) {
        m_follower->mailbox()->post(CatchUp {offset});
    }
}

void OperatorWatcher::applyRecords(const std::vector<KeyedRecord> &records, bool isInitial,
                                   Instant completeAsOf)
{
    recordRunning();
    for (const KeyedRecord &record : records) {
        applyRecord(record, isInitial);
    }
    confirm(completeAsOf);
}

void OperatorWatcher::confirm(Instant completeAsOf)
{
    m_listening.recordView(completeAsOf);
    if (completeAsOf > m_completeAsOf) {
        m_completeAsOf = completeAsOf;
        if (m_hooks.onConfirmed) {
            m_hooks.onConfirmed(completeAsOf);
        }
    }
}

void OperatorWatcher::applyRecord(const KeyedRecord &record, bool isInitial)
{
    if (!record.value) {
        return;
    }
    if (m_hooks.isConfig(record.key)) {
        Outcome<FleetConfig> read = toOutcome([&] { return m_hooks.decodeConfig(*record.value); });
        if (const Failure *failure = failureOf(read)) {
            m_log.error("config.unreadable", {{"reason", failure->detail}});
            return;
        }
        auto &config = std::get<FleetConfig>(read);
        if (config.version <= m_configVersion) {
            return;
        }
        m_configVersion = config.version;
        m_log.info("config.applied",
                   {{"config", config.version}, {"routes", config.routes.size()}});
        m_hooks.onConfig(std::make_shared<const RouteTable>(std::move(config)));
    } else if (m_hooks.isTargetVersion(record.key)) {
        const Outcome<TargetVersion> read =
                toOutcome([&] { return m_hooks.decodeTargetVersion(*record.value); });
        if (const Failure *failure = failureOf(read)) {
            m_log.error("weights.unreadable", {{"reason", failure->detail}});
            return;
        }
        applyTargetVersion(std::get<TargetVersion>(read), VersionSource::Store, isInitial,
                           Duration());
    }
}

void OperatorWatcher::restartRead()
{
    m_follower->mailbox()->post(RestartRead {});
}

void OperatorWatcher::applyPeerTargetVersion(const TargetVersion &targetVersion,
                                             VersionSource source, Duration age)
{
    if (m_hasSnapshot) {
        recordRunning();
        applyTargetVersion(targetVersion, source, false, age);
    }
}

void OperatorWatcher::confirmPeerView(Instant completeAsOf)
{
    recordRunning();
    if (m_hasSnapshot && monotonicNow() >= m_ignorePeerViewsUntil) {
        m_listening.recordView(completeAsOf);
    }
}

void OperatorWatcher::recordOutage()
{
    recordRunning();
    if (monotonicNow() >= m_ignorePeerViewsUntil) {
        m_listening.recordOutage(monotonicNow());
    }
}

void OperatorWatcher::applyTargetVersion(const TargetVersion &targetVersion, VersionSource source,
                                         bool isInitial, Duration age)
{
    DatedVersion &known = m_targetVersions[targetVersion.model];
    const Instant now = monotonicNow();
    const bool isNewer = targetVersion.version > known.version;
    const Duration heardAfter = isNewer ? now - m_listening.earliestChange(now) : Duration();
    const Duration oldest = std::max(age, heardAfter);
    const bool isOlderThanThought = targetVersion.version == known.version
            && now - oldest < known.earliest - datingTolerance;
    if (!isNewer && !isOlderThanThought) {
        return;
    }
    known = {targetVersion.version, now - oldest};
    const DateBasis basis = age > heardAfter ? DateBasis::Peer : m_listening.basis();
    logTargetVersion(targetVersion, source, oldest, basis);
    m_hooks.onTargetVersion(targetVersion, isInitial, oldest);
}

/** Logs a target version, with what its date rests on. */
void OperatorWatcher::logTargetVersion(const TargetVersion &targetVersion, VersionSource source,
                                       Duration age, DateBasis basis) const
{
    const Instant now = monotonicNow();
    const Duration viewAge = now - m_listening.completeAsOf().value_or(now);
    m_log.info("weights.target-changed",
               {{"model", targetVersion.model.text()},
                {"version", targetVersion.version},
                {"source", nameOf(source)},
                {"dated_back_ms", age.count() / 1000},
                {"basis", nameOf(basis)},
                {"view_ms", viewAge.count() / 1000}});
}

ReplicaWatcher::ReplicaWatcher(const asio::any_io_executor &executor, TopicReader reader,
                               ReplicaWatcherHooks hooks, Duration pollInterval, Log log,
                               ReplicaRegistryOptions registryOptions)
    : m_hooks(std::move(hooks)), m_log(std::move(log)), m_replicas(registryOptions),
      m_expiryTimer(executor)
{
    FollowHooks followHooks;
    followHooks.onSnapshot = [this](const KeyedSnapshot &snapshot) { applySnapshot(snapshot); };
    followHooks.onTail = [this](std::uint64_t from, const KeyedBatch &tail) {
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
    reader.tail = [this, read = std::move(reader.tail)](std::uint64_t from, Duration timeout) {
        m_replicas.recordAttempt(monotonicNow());
        return read(from, timeout);
    };
    return reader;
}

void ReplicaWatcher::start()
{
    m_follower->start();
}

void ReplicaWatcher::applySnapshot(const KeyedSnapshot &snapshot)
{
    const Instant now = monotonicNow();
    m_replicas.recordRead(now);
    std::vector<ReplicaId> present;
    for (const KeyedRecord &record : snapshot.records) {
        present.emplace_back(record.key);
        applyRecord(record, {}, now);
    }
    for (const ReplicaUpdate &update : m_replicas.retainOnly(present, now)) {
        logChange(update);
    }
    publish();
    scheduleExpiry();
}

void ReplicaWatcher::applyTail(std::uint64_t from, const KeyedBatch &tail)
{
    const Instant now = monotonicNow();
    m_replicas.recordRead(now);
    ReplicaListDelta update {from, tail.nextOffset, {}, {}, now - tail.completeAsOf};
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
    m_follower->mailbox()->post(PeerReadReceived {update.fromOffset, update.nextOffset,
                                                  monotonicNow() - update.viewAge,
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
