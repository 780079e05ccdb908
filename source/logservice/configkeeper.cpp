/**
 * Folding of records, alarms, snapshot requests to peers, and publication of new states.
 */
#include "logservice/configkeeper.h"

#include "protocol/configcodec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 256;
constexpr std::size_t maxRecent = 128;
constexpr std::size_t maxTexts = 512;
constexpr auto askEvery = std::chrono::seconds(1);
/** Normal delay between a peer's read of a record and the read of the same record here. */
constexpr auto ordinaryLag = std::chrono::milliseconds(1500);
constexpr std::size_t maxAlarms = 32;

} // namespace

void countConfig(Metrics &metrics, const ConfigView &view)
{
    const std::uint64_t applied = view.isReady() ? view.state->applied.value : 0;
    metrics.set("config_applied_offset", "Offset of the applied configuration.",
                static_cast<double>(applied));
    metrics.set("config_alarms",
                "Alarms raised for the configuration log since the start of the process.",
                static_cast<double>(view.alarms.size()));
}

ConfigKeeper::ConfigKeeper(const asio::any_io_executor &executor,
                           std::vector<ConfigObserver> observers, Log log)
    : m_executor(executor), m_observers(std::move(observers)), m_log(std::move(log)),
      m_mailbox(makeMailbox<ConfigCommand>(executor, mailboxCapacity))
{ }

void ConfigKeeper::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

Awaitable<void> ConfigKeeper::run()
{
    while (std::optional<ConfigCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void ConfigKeeper::apply(const LogRead &command)
{
    LogFindings findings;
    LogFold next = m_fold.read(command.window, decode(command.records), findings);
    takeOver(std::move(next), findings);
}

void ConfigKeeper::apply(const FoldRecords &command)
{
    LogFindings findings;
    LogFold next = m_fold.passedOn(command.logId, decode(command.records), findings);
    takeOver(std::move(next), findings);
}

void ConfigKeeper::apply(const RestoreSnapshot &command)
{
    const ConfigEvent event = decodeConfigEvent(command.text);
    const auto *snapshot = std::get_if<SnapshotRecord>(&event);
    if (snapshot == nullptr) {
        m_log.warning("config.snapshot-unreadable");
        return;
    }
    LogFindings findings;
    LogFold next = m_fold.restored(*snapshot, findings);
    takeOver(std::move(next), findings);
}

/**
 * Requests a snapshot if the peer stays ahead for longer than the normal lag: it then has a
 * configuration that this process cannot read from the log at present.
 */
void ConfigKeeper::apply(const PeerApplied &command)
{
    if (command.applied <= m_fold.state().applied) {
        return;
    }
    const Instant now = monotonicNow();
    if (!m_behindSince) {
        m_behindSince = now;
    }
    const bool isLagOver = !m_fold.isReady() || now - *m_behindSince >= ordinaryLag;
    if (isLagOver && now - m_askedAt >= askEvery) {
        m_askedAt = now;
        command.ask(m_fold.state().applied);
    }
}

void ConfigKeeper::apply(const SnapshotAsked &command)
{
    if (m_fold.isReady() && m_fold.state().applied > command.applied) {
        command.send(encodeSnapshot(snapshotOf(m_fold.state())));
    }
}

void ConfigKeeper::apply(const AppliedAsked &command)
{
    if (m_fold.isReady()) {
        command.tell(m_fold.state().applied);
    }
}

std::vector<ConfigRecord> ConfigKeeper::decode(const std::vector<LogRecord> &records)
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
        m_texts.insert_or_assign(record.offset, record.text);
        if (m_texts.size() > maxTexts) {
            m_texts.erase(m_texts.begin());
        }
    }
    return decoded;
}

void ConfigKeeper::takeOver(LogFold next, const LogFindings &findings)
{
    const LogFold before = std::exchange(m_fold, std::move(next));
    const std::size_t alarms = m_alarms.size();
    for (const ConfigAlarm &alarm : findings.alarms) {
        raise(alarm);
    }
    for (const Verdict &verdict : findings.verdicts) {
        logVerdict(verdict);
    }
    const bool isNew =
            m_fold.state().applied > before.state().applied || m_fold.isReady() != before.isReady();
    if (isNew) {
        m_behindSince.reset();
        m_since = wallNow();
    }
    if (m_fold.snapshotCovers() > before.snapshotCovers()) {
        m_bytesSinceSnapshot = 0;
    }
    const bool isOtherLog = m_fold.trust() != before.trust() || m_fold.first() != before.first();
    if (isNew || isOtherLog || m_alarms.size() > alarms) {
        publish();
    }
}

void ConfigKeeper::logVerdict(const Verdict &verdict) const
{
    m_log.info("config.verdict",
               {{"change", verdict.change.text()},
                {"author", verdict.author.text()},
                {"offset", verdict.offset.value},
                {"verdict", textOf(verdict.kind)},
                {"reason", verdict.reason}});
}

void ConfigKeeper::raise(const ConfigAlarm &alarm)
{
    const bool isKnown = std::any_of(m_alarms.begin(), m_alarms.end(), [&](const auto &known) {
        return known.alarm.kind == alarm.kind && known.alarm.detail == alarm.detail;
    });
    if (isKnown || m_alarms.size() == maxAlarms) {
        return;
    }
    m_alarms.push_back({alarm, wallNow()});
    m_log.error("config.alarm", {{"offset", alarm.offset.value}, {"reason", alarm.detail}});
}

/** @returns the newest records, oldest first, contiguous up to the applied offset */
std::vector<LogRecord> ConfigKeeper::recentRecords() const
{
    std::vector<LogRecord> recent;
    Offset wanted = m_fold.state().applied;
    for (auto it = m_texts.find(wanted); it != m_texts.end() && recent.size() < maxRecent;
         it = m_texts.find(wanted)) {
        recent.push_back({it->first, it->second});
        --wanted.value;
    }
    std::reverse(recent.begin(), recent.end());
    return recent;
}

void ConfigKeeper::publish()
{
    ConfigView view;
    if (m_fold.isReady()) {
        view.state = std::make_shared<const ConfigState>(m_fold.state());
    }
    view.recent = std::make_shared<const std::vector<LogRecord>>(recentRecords());
    view.alarms = m_alarms;
    view.since = m_since;
    view.trust = m_fold.trust();
    view.need = {m_fold.state().applied,
                 m_fold.snapshotCovers(),
                 m_fold.first(),
                 m_bytesSinceSnapshot,
                 {}};
    for (const ConfigObserver &observer : m_observers) {
        observer(view);
    }
}

} // namespace greengageseam
