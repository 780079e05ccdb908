#include "edge/operatorwatcher.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Interval at which a watcher records that its process runs. */
constexpr auto runningCheckInterval = std::chrono::milliseconds(100);
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
                                 FollowOptions options, Duration rewriteTime, OperatorHooks hooks,
                                 Log log)
    : m_executor(executor), m_rewriteTime(rewriteTime), m_hooks(std::move(hooks)),
      m_log(std::move(log))
{
    FollowHooks followHooks;
    followHooks.onSnapshot = [this](const KeyedSnapshot &snapshot) {
        const bool isInitial = !m_hasSnapshot;
        m_hasSnapshot = true;
        if (snapshot.end.era > m_position.era) {
            m_mayLackUntil = monotonicNow() + m_rewriteTime;
            m_lostEvacuations = m_evacuatedZones;
        }
        // A snapshot leaves out the keys that were removed, so it replaces the set.
        m_storedEvacuations.clear();
        applyEvacuationRecords(snapshot.records);
        applyRecords(snapshot.records, isInitial, snapshot.completeAsOf);
        advanceTo(snapshot.end);
    };
    followHooks.onTail = [this](TopicPosition, const KeyedBatch &tail) {
        applyEvacuationRecords(tail.records);
        applyRecords(tail.records, false, tail.completeAsOf);
        advanceTo(tail.next);
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
            self->forgetLostEvacuations();
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
        m_log.info("process.paused", {{"paused_ms", pause->count() / 1000}});
    }
}

/** @returns whether a message that is handled now may have waited while the process was paused */
bool OperatorWatcher::mayHaveWaited() const
{
    const Instant now = monotonicNow();
    return m_listening.earliestArrival(now) < now;
}

void OperatorWatcher::advanceTo(TopicPosition position)
{
    if (position > m_position) {
        m_position = position;
        m_hooks.onPositionAdvanced(position);
    }
}

void OperatorWatcher::catchUpTo(TopicPosition position)
{
    if (position > m_position) {
        m_follower->mailbox()->post(CatchUp {position});
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
        const bool isCurrent = completeAsOf >= m_mayLackUntil && !m_isConfigUnreadable;
        if (m_hooks.onCurrent && isCurrent) {
            m_hooks.onCurrent(completeAsOf);
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
        const Failure *failure = failureOf(read);
        m_isConfigUnreadable = failure != nullptr;
        if (failure != nullptr) {
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

/** Applies the evacuations among records, in their order. */
void OperatorWatcher::applyEvacuationRecords(const std::vector<KeyedRecord> &records)
{
    if (!m_hooks.evacuatedZone) {
        return;
    }
    for (const KeyedRecord &record : records) {
        const std::optional<ZoneName> zone = m_hooks.evacuatedZone(record.key);
        if (!zone) {
            continue;
        }
        m_lostEvacuations.erase(*zone);
        if (record.value) {
            m_storedEvacuations.insert(*zone);
        } else {
            m_storedEvacuations.erase(*zone);
        }
    }
    publishEvacuations();
}

/** Takes zones back whose evacuation the operator has not written again in time. */
void OperatorWatcher::forgetLostEvacuations()
{
    if (!m_lostEvacuations.empty() && monotonicNow() >= m_mayLackUntil) {
        m_lostEvacuations.clear();
        publishEvacuations();
    }
}

void OperatorWatcher::publishEvacuations()
{
    std::set<ZoneName> zones = m_storedEvacuations;
    zones.insert(m_lostEvacuations.begin(), m_lostEvacuations.end());
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
    if (m_hasSnapshot && !mayHaveWaited()) {
        m_listening.recordView(completeAsOf);
    }
}

void OperatorWatcher::recordOutage()
{
    recordRunning();
    if (!mayHaveWaited()) {
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
