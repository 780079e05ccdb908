/**
 * Folding of records, alarms, snapshot requests to peers, and publication of new states.
 */
#include "logservice/configmanager.h"

#include "protocol/configcodec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 256;
constexpr std::size_t maxRecentRecords = 128;
constexpr std::size_t maxRecordTexts = 512;
constexpr auto snapshotRequestInterval = std::chrono::seconds(1);
/** Normal delay between a peer's read of a record and the read of the same record here. */
constexpr auto normalLag = std::chrono::milliseconds(1500);
constexpr std::size_t maxAlarms = 32;

} // namespace

void updateConfigMetrics(Metrics &metrics, const ConfigView &view)
{
    const std::uint64_t applied = view.isReady() ? view.state->applied.value : 0;
    metrics.set("config_applied_offset", "Offset of the applied configuration.",
                static_cast<double>(applied));
    metrics.set("config_alarms",
                "Alarms raised for the configuration log since the start of the process.",
                static_cast<double>(view.alarms.size()));
}

ConfigManager::ConfigManager(const asio::any_io_executor &executor,
                             std::vector<ConfigObserver> observers, Log log)
    : m_executor(executor), m_observers(std::move(observers)), m_log(std::move(log)),
      m_mailbox(makeMailbox<ConfigCommand>(executor, mailboxCapacity))
{ }

void ConfigManager::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

Awaitable<void> ConfigManager::run()
{
    while (std::optional<ConfigCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void ConfigManager::apply(const LogRead &command)
{
    LogFindings findings;
    LogFold next = m_fold.withLogRecords(command.window, decode(command.records), findings);
    applyFold(std::move(next), findings);
}

void ConfigManager::apply(const ApplyRecords &command)
{
    LogFindings findings;
    LogFold next = m_fold.withPeerRecords(command.logId, decode(command.records), findings);
    applyFold(std::move(next), findings);
}

void ConfigManager::apply(const RestoreSnapshot &command)
{
    const ConfigEvent event = decodeConfigEvent(command.text);
    const auto *snapshot = std::get_if<SnapshotRecord>(&event);
    if (snapshot == nullptr) {
        m_log.warning("config.snapshot-unreadable");
        return;
    }
    LogFindings findings;
    LogFold next = m_fold.withPeerSnapshot(*snapshot, findings);
    applyFold(std::move(next), findings);
}

/**
 * Requests a snapshot if the peer stays ahead for longer than the normal lag: it then has a
 * configuration that this process cannot read from the log at present.
 */
void ConfigManager::apply(const PeerOffsetReceived &command)
{
    if (command.appliedOffset <= m_fold.state().applied) {
        return;
    }
    const Instant now = monotonicNow();
    if (!m_behindSince) {
        m_behindSince = now;
    }
    const bool isLagExceeded = !m_fold.isReady() || now - *m_behindSince >= normalLag;
    if (isLagExceeded && now - m_snapshotRequestedAt >= snapshotRequestInterval) {
        m_snapshotRequestedAt = now;
        command.requestSnapshot(m_fold.state().applied);
    }
}

void ConfigManager::apply(const SnapshotQuery &command)
{
    if (m_fold.isReady() && m_fold.state().applied > command.appliedOffset) {
        command.sendSnapshot(encodeSnapshot(makeSnapshot(m_fold.state())));
    }
}

void ConfigManager::apply(const AppliedOffsetQuery &command)
{
    if (m_fold.isReady()) {
        command.reply(m_fold.state().applied);
    }
}

std::vector<ConfigRecord> ConfigManager::decode(const std::vector<LogRecord> &records)
{
    std::vector<ConfigRecord> decoded;
    decoded.reserve(records.size());
    for (const LogRecord &record : records) {
        if (record.offset <= m_fold.state().applied) {
            continue;
        }
        decoded.push_back({record.offset, decodeConfigEvent(record.text)});
        const bool isSnapshot = std::holds_alternative<SnapshotRecord>(decoded.back().event);
        m_bytesSinceSnapshot += isSnapshot ? 0 : record.text.size();
        m_recordTexts.insert_or_assign(record.offset, record.text);
        if (m_recordTexts.size() > maxRecordTexts) {
            m_recordTexts.erase(m_recordTexts.begin());
        }
    }
    return decoded;
}

void ConfigManager::applyFold(LogFold next, const LogFindings &findings)
{
    const LogFold previous = std::exchange(m_fold, std::move(next));
    const std::size_t alarmCount = m_alarms.size();
    for (const ConfigAlarm &alarm : findings.alarms) {
        raiseAlarm(alarm);
    }
    for (const Verdict &verdict : findings.verdicts) {
        logVerdict(verdict);
    }
    const bool isNew = m_fold.state().applied > previous.state().applied
            || m_fold.isReady() != previous.isReady();
    if (isNew) {
        m_behindSince.reset();
        m_inForceSince = wallNow();
    }
    if (m_fold.snapshotOffset() > previous.snapshotOffset()) {
        m_bytesSinceSnapshot = 0;
    }
    const bool hasLogChanged = m_fold.logStatus() != previous.logStatus()
            || m_fold.firstOffset() != previous.firstOffset();
    if (isNew || hasLogChanged || m_alarms.size() > alarmCount) {
        publish();
    }
}

void ConfigManager::logVerdict(const Verdict &verdict) const
{
    m_log.info("config.verdict",
               {{"change", verdict.change.text()},
                {"author", verdict.author.text()},
                {"offset", verdict.offset.value},
                {"verdict", textOf(verdict.kind)},
                {"reason", verdict.reason}});
}

void ConfigManager::raiseAlarm(const ConfigAlarm &alarm)
{
    const bool isKnown = std::any_of(m_alarms.begin(), m_alarms.end(), [&](const auto &raised) {
        return raised.alarm.kind == alarm.kind && raised.alarm.detail == alarm.detail;
    });
    if (isKnown || m_alarms.size() == maxAlarms) {
        return;
    }
    m_alarms.push_back({alarm, wallNow()});
    m_log.error("config.alarm", {{"offset", alarm.offset.value}, {"reason", alarm.detail}});
}

/** @returns the newest records, oldest first, contiguous up to the applied offset */
std::vector<LogRecord> ConfigManager::recentRecords() const
{
    std::vector<LogRecord> recent;
    Offset offset = m_fold.state().applied;
    for (auto it = m_recordTexts.find(offset);
         it != m_recordTexts.end() && recent.size() < maxRecentRecords;
         it = m_recordTexts.find(offset)) {
        recent.push_back({it->first, it->second});
        --offset.value;
    }
    std::reverse(recent.begin(), recent.end());
    return recent;
}

void ConfigManager::publish()
{
    ConfigView view;
    if (m_fold.isReady()) {
        view.state = std::make_shared<const ConfigState>(m_fold.state());
    }
    view.recentRecords = std::make_shared<const std::vector<LogRecord>>(recentRecords());
    view.alarms = m_alarms;
    view.inForceSince = m_inForceSince;
    view.logStatus = m_fold.logStatus();
    view.snapshotLag = {m_fold.state().applied,
                        m_fold.snapshotOffset(),
                        m_fold.firstOffset(),
                        m_bytesSinceSnapshot,
                        {}};
    for (const ConfigObserver &observer : m_observers) {
        observer(view);
    }
}

} // namespace greengageseam
