#include "core/config/logfold.h"

namespace greengageseam {

namespace {

constexpr std::size_t maxWaiting = 4096;
constexpr std::uint32_t shortReadsToDistrust = 2;

std::string text(Offset offset)
{
    return std::to_string(offset.value);
}

} // namespace

LogFold LogFold::read(const LogWindow &window, const std::vector<ConfigRecord> &records,
                      LogFindings &findings) const
{
    LogFold next = *this;
    if (!next.checkWindow(window, records.empty(), findings)) {
        return next;
    }
    for (const ConfigRecord &record : records) {
        next.take(record, findings);
    }
    const bool isWholeTruth = records.empty() && window.first.value <= 1;
    next.m_isReady = next.m_isReady || isWholeTruth;
    return next;
}

LogFold LogFold::passedOn(const std::string &logId, const std::vector<ConfigRecord> &records,
                          LogFindings &findings) const
{
    LogFold next = *this;
    if (next.isSameLog(logId, findings) && m_trust != LogTrust::Shortened) {
        for (const ConfigRecord &record : records) {
            next.take(record, findings);
        }
    }
    return next;
}

LogFold LogFold::restored(const SnapshotRecord &snapshot, LogFindings &findings) const
{
    LogFold next = *this;
    const bool isCold = m_state.applied.value == 0;
    const bool isTaken =
            isCold || (next.isSameLog(snapshot.logId, findings) && m_trust != LogTrust::Shortened);
    if (!isTaken) {
        return next;
    }
    const bool isNewer = snapshot.covers > m_state.applied;
    const bool isFirst = isCold && !m_isReady;
    if ((isNewer || isFirst) && next.adopt(snapshot, findings)) {
        next.foldWaiting(findings);
    }
    return next;
}

/** @returns whether the records that were read with the window may be applied */
bool LogFold::checkWindow(const LogWindow &window, bool isEmpty, LogFindings &findings)
{
    if (!isSameLog(window.logId, findings)) {
        m_trust = LogTrust::OtherIdentity;
        m_waiting.clear();
    }
    if (m_trust != LogTrust::Followed) {
        return false;
    }
    const bool isShort = isEmpty && window.next <= m_state.applied;
    m_shortReads = isShort ? m_shortReads + 1 : 0;
    if (window.next < m_next || m_shortReads >= shortReadsToDistrust) {
        m_trust = LogTrust::Shortened;
        m_waiting.clear();
        findings.alarms.push_back({ConfigAlarmKind::NewBeginning, m_state.applied,
                                   "the log ends before offset " + text(m_state.applied)
                                           + ", which is in force on this instance"});
        return false;
    }
    m_next = window.next;
    m_first = window.first;
    if (isEmpty) {
        checkGap(findings);
    }
    return true;
}

/** Raises an alarm for a gap. At the end of the log, no snapshot that covers it can follow. */
void LogFold::checkGap(LogFindings &findings) const
{
    const Offset next = m_waiting.empty() ? m_first : m_waiting.front().offset;
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
bool LogFold::isSameLog(const std::string &logId, LogFindings &findings)
{
    if (m_state.applied.value == 0) {
        m_state.logId = logId;
    }
    if (m_state.logId == logId) {
        return true;
    }
    findings.alarms.push_back(
            {ConfigAlarmKind::NewBeginning, m_state.applied,
             "the identity of the log changed from " + m_state.logId + " to " + logId});
    return false;
}

void LogFold::take(const ConfigRecord &record, LogFindings &findings)
{
    if (record.offset <= m_state.applied) {
        return;
    }
    if (record.offset.value == m_state.applied.value + 1) {
        foldNext(record, findings);
        foldWaiting(findings);
        return;
    }
    hold(record);
    const auto *snapshot = std::get_if<SnapshotRecord>(&record.event);
    const bool coversGap = snapshot != nullptr && snapshot->covers < record.offset
            && snapshot->covers.value + 1 >= m_waiting.front().offset.value;
    if (coversGap && adopt(*snapshot, findings)) {
        foldWaiting(findings);
    }
}

void LogFold::hold(const ConfigRecord &record)
{
    if (!m_waiting.empty() && record.offset <= m_waiting.back().offset) {
        return;
    }
    if (!m_waiting.empty() && record.offset.value != m_waiting.back().offset.value + 1) {
        m_waiting.clear();
    }
    if (m_waiting.size() == maxWaiting) {
        m_waiting.erase(m_waiting.begin());
    }
    m_waiting.push_back(record);
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
        m_snapshotCovers = std::max(m_snapshotCovers, snapshot->covers);
    }
}

bool LogFold::adopt(const SnapshotRecord &snapshot, LogFindings &findings)
{
    const Outcome<ConfigState> restored = settle([&] { return stateOf(snapshot); });
    if (const Failure *failure = failureOf(restored)) {
        findings.alarms.push_back(
                {ConfigAlarmKind::SnapshotMismatch, snapshot.covers, failure->detail});
        return false;
    }
    m_state = std::get<ConfigState>(restored);
    m_isReady = true;
    return true;
}

/** Applies the buffered records if the next one is due; drops those that are already included. */
void LogFold::foldWaiting(LogFindings &findings)
{
    if (m_waiting.empty() || m_waiting.front().offset.value > m_state.applied.value + 1) {
        return;
    }
    const std::vector<ConfigRecord> waiting = std::move(m_waiting);
    m_waiting.clear();
    for (const ConfigRecord &record : waiting) {
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

bool isSnapshotDue(const SnapshotNeed &need, const SnapshotOptions &options)
{
    if (need.applied.value == 0) {
        return false;
    }
    const std::uint64_t since = need.applied.value - need.covers.value;
    if (since >= options.records || need.bytesSince >= options.bytes || need.age >= options.age) {
        return true;
    }
    const bool hasForgotten = need.first.value > 1;
    const std::uint64_t middle = need.first.value + (need.applied.value - need.first.value) / 2;
    return hasForgotten && need.first <= need.applied && need.covers.value < middle;
}

} // namespace greengageseam
