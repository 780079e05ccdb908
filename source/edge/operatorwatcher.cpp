#include "edge/operatorwatcher.h"

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
        // A snapshot leaves out the keys that were removed, so it replaces the set.
        applyEvacuationRecords(snapshot.records, {});
        applyRecords(snapshot.records, isInitial, snapshot.completeAsOf);
        advanceOffset(snapshot.endOffset);
    };
    followHooks.onTail = [this](std::uint64_t, const KeyedBatch &tail) {
        applyEvacuationRecords(tail.records, m_evacuatedZones);
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

/** Applies evacuations in the order of the records. @param zones those known before them */
void OperatorWatcher::applyEvacuationRecords(const std::vector<KeyedRecord> &records,
                                             std::set<ZoneName> zones)
{
    if (!m_hooks.evacuatedZone) {
        return;
    }
    for (const KeyedRecord &record : records) {
        const std::optional<ZoneName> zone = m_hooks.evacuatedZone(record.key);
        if (zone && record.value) {
            zones.insert(*zone);
        } else if (zone) {
            zones.erase(*zone);
        }
    }
    applyEvacuations(std::move(zones));
}

void OperatorWatcher::applyEvacuations(std::set<ZoneName> zones)
{
    if (zones == m_evacuatedZones) {
        return;
    }
    for (const ZoneName &zone : zones) {
        if (!m_evacuatedZones.contains(zone)) {
            m_log.info("zone.evacuated", {{"zone", zone.text()}});
        }
    }
    for (const ZoneName &zone : m_evacuatedZones) {
        if (!zones.contains(zone)) {
            m_log.info("zone.returned", {{"zone", zone.text()}});
        }
    }
    m_evacuatedZones = std::move(zones);
    if (m_hooks.onEvacuationsChanged) {
        m_hooks.onEvacuationsChanged(m_evacuatedZones);
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

} // namespace greengageseam
