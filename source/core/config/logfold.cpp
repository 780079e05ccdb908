#include "core/config/logfold.h"

namespace greengageseam {

namespace {

constexpr std::size_t maxPendingRecords = 4096;
constexpr std::uint32_t maxShortReads = 2;

std::string text(Offset offset)
{
    return std::to_string(offset.value);
}

} // namespace

LogFold LogFold::withLogRecords(const LogWindow &window, const std::vector<ConfigRecord> &records,
                                LogFindings &findings) const
{
    LogFold next = *this;
    if (!next.checkWindow(window, records.empty(), findings)) {
        return next;
    }
    for (const ConfigRecord &record : records) {
        next.applyRecord(record, findings);
    }
    const bool isCompleteEmptyLog = records.empty() && window.first.value <= 1;
    next.m_isReady = next.m_isReady || isCompleteEmptyLog;
    return next;
}

LogFold LogFold::withPeerRecords(const std::string &logId, const std::vector<ConfigRecord> &records,
                                 LogFindings &findings) const
{
    LogFold next = *this;
    if (next.checkLogIdentity(logId, findings) && m_logStatus != LogStatus::Truncated) {
        for (const ConfigRecord &record : records) {
            next.applyRecord(record, findings);
        }
    }
    return next;
}

LogFold LogFold::withPeerSnapshot(const SnapshotRecord &snapshot, LogFindings &findings) const
{
    LogFold next = *this;
    const bool isEmptyState = m_state.applied.value == 0;
    const bool isAccepted = isEmptyState
            || (next.checkLogIdentity(snapshot.logId, findings)
                && m_logStatus != LogStatus::Truncated);
    if (!isAccepted) {
        return next;
    }
    const bool isNewer = snapshot.lastIncluded > m_state.applied;
    const bool isInitial = isEmptyState && !m_isReady;
    if ((isNewer || isInitial) && next.restoreSnapshot(snapshot, findings)) {
        next.foldPendingRecords(findings);
    }
    return next;
}

/** @returns whether the records that were read with the window may be applied */
bool LogFold::checkWindow(const LogWindow &window, bool isEmpty, LogFindings &findings)
{
    if (!checkLogIdentity(window.logId, findings)) {
        m_logStatus = LogStatus::IdentityChanged;
        m_pendingRecords.clear();
    }
    if (m_logStatus != LogStatus::Following) {
        return false;
    }
    const bool isShort = isEmpty && window.next <= m_state.applied;
    m_shortReads = isShort ? m_shortReads + 1 : 0;
    if (window.next < m_nextOffset || m_shortReads >= maxShortReads) {
        m_logStatus = LogStatus::Truncated;
        m_pendingRecords.clear();
        findings.alarms.push_back({ConfigAlarmKind::LogReset, m_state.applied,
                                   "the log ends before offset " + text(m_state.applied)
                                           + ", which this instance has applied"});
        return false;
    }
    m_nextOffset = window.next;
    m_firstOffset = window.first;
    if (isEmpty) {
        checkGap(findings);
    }
    return true;
}

/** Raises an alarm for a gap. At the end of the log, no snapshot that covers it can follow. */
void LogFold::checkGap(LogFindings &findings) const
{
    const Offset next = m_pendingRecords.empty() ? m_firstOffset : m_pendingRecords.front().offset;
    if (next.value > m_state.applied.value + 1) {
        findings.alarms.push_back({ConfigAlarmKind::Gap, m_state.applied,
                                   "the log no longer has the records after offset "
                                           + text(m_state.applied)
                                           + " and has no snapshot that includes them"});
    }
}

/**
 * Adopts the identity of the log before the first record; later, raises an alarm if it differs.
 * @returns whether the identity is that of the state
 */
bool LogFold::checkLogIdentity(const std::string &logId, LogFindings &findings)
{
    if (m_state.applied.value == 0) {
        m_state.logId = logId;
    }
    if (m_state.logId == logId) {
        return true;
    }
    findings.alarms.push_back(
            {ConfigAlarmKind::LogReset, m_state.applied,
             "the identity of the log changed from " + m_state.logId + " to " + logId});
    return false;
}

void LogFold::applyRecord(const ConfigRecord &record, LogFindings &findings)
{
    if (record.offset <= m_state.applied) {
        return;
    }
    if (record.offset.value == m_state.applied.value + 1) {
        foldNext(record, findings);
        foldPendingRecords(findings);
        return;
    }
    bufferRecord(record);
    const auto *snapshot = std::get_if<SnapshotRecord>(&record.event);
    const bool coversGap = snapshot != nullptr && snapshot->lastIncluded < record.offset
            && snapshot->lastIncluded.value + 1 >= m_pendingRecords.front().offset.value;
    if (coversGap && restoreSnapshot(*snapshot, findings)) {
        foldPendingRecords(findings);
    }
}

void LogFold::bufferRecord(const ConfigRecord &record)
{
    if (!m_pendingRecords.empty() && record.offset <= m_pendingRecords.back().offset) {
        return;
    }
    if (!m_pendingRecords.empty()
        && record.offset.value != m_pendingRecords.back().offset.value + 1) {
        m_pendingRecords.clear();
    }
    if (m_pendingRecords.size() == maxPendingRecords) {
        m_pendingRecords.erase(m_pendingRecords.begin());
    }
    m_pendingRecords.push_back(record);
}

void LogFold::foldNext(const ConfigRecord &record, LogFindings &findings)
{
    FoldStep step = foldRecord(std::move(m_state), record);
    m_state = std::move(step.state);
    m_isReady = true;
    if (step.verdict) {
        findings.verdicts.push_back(std::move(*step.verdict));
    }
    if (step.alarm) {
        findings.alarms.push_back(std::move(*step.alarm));
    } else if (const auto *snapshot = std::get_if<SnapshotRecord>(&record.event)) {
        m_snapshotOffset = std::max(m_snapshotOffset, snapshot->lastIncluded);
    }
}

bool LogFold::restoreSnapshot(const SnapshotRecord &snapshot, LogFindings &findings)
{
    const Outcome<ConfigState> restored = toOutcome([&] { return restoreState(snapshot); });
    if (const Failure *failure = failureOf(restored)) {
        findings.alarms.push_back(
                {ConfigAlarmKind::SnapshotMismatch, snapshot.lastIncluded, failure->detail});
        return false;
    }
    m_state = std::get<ConfigState>(restored);
    m_isReady = true;
    return true;
}

/** Applies the buffered records if the next one is due; drops those that are already included. */
void LogFold::foldPendingRecords(LogFindings &findings)
{
    if (m_pendingRecords.empty()
        || m_pendingRecords.front().offset.value > m_state.applied.value + 1) {
        return;
    }
    const std::vector<ConfigRecord> records = std::move(m_pendingRecords);
    m_pendingRecords.clear();
    for (const ConfigRecord &record : records) {
        if (record.offset > m_state.applied) {
            foldNext(record, findings);
        }
    }
}

SnapshotOptions SnapshotOptions::withRecords(std::uint64_t value) const
{
    SnapshotOptions options = *this;
    options.records = value;
    return options;
}

SnapshotOptions SnapshotOptions::withBytes(std::uint64_t value) const
{
    SnapshotOptions options = *this;
    options.bytes = value;
    return options;
}

SnapshotOptions SnapshotOptions::withAge(Duration value) const
{
    SnapshotOptions options = *this;
    options.age = value;
    return options;
}

bool isSnapshotDue(const SnapshotLag &lag, const SnapshotOptions &options)
{
    if (lag.applied.value == 0) {
        return false;
    }
    const std::uint64_t since = lag.applied.value - lag.lastIncluded.value;
    if (since >= options.records || lag.bytesSince >= options.bytes || lag.age >= options.age) {
        return true;
    }
    const bool isTrimmed = lag.firstOffset.value > 1;
    const std::uint64_t middle =
            lag.firstOffset.value + (lag.applied.value - lag.firstOffset.value) / 2;
    return isTrimmed && lag.firstOffset <= lag.applied && lag.lastIncluded.value < middle;
}

} // namespace greengageseam
