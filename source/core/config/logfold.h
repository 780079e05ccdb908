/**
 * Follows the configuration log. Handles a log that no longer keeps its oldest records, gaps, and a
 * log that was reset, and decides when the log needs a new snapshot.
 */
#pragma once

#include "core/config/fold.h"

#include <cstdint>
#include <string>
#include <vector>

namespace greengageseam {

/** The range of records that the log held when it was read. */
struct LogWindow
{
    /** Identity of the log; it changes when the log is reset. */
    std::string logId;
    /** Offset of the oldest record that the log still keeps. */
    Offset first {1};
    /** Offset that the next append will get. */
    Offset next {1};

    auto operator<=>(const LogWindow &) const = default;
};

/** Whether a fold applies records of the log, or why it has stopped. */
enum class LogStatus { Following, IdentityChanged, Truncated };

/** Verdicts and alarms that one step of LogFold produced. */
struct LogFindings
{
    std::vector<Verdict> verdicts;
    std::vector<ConfigAlarm> alarms;

    bool operator==(const LogFindings &) const = default;
};

/**
 * Immutable state of a reader that follows the configuration log; each step returns a new LogFold.
 *
 * Records after a gap are buffered until a snapshot covers the gap, and are then applied in order.
 * If the log is reset (its identity changes, or it ends before records that were applied), the fold
 * raises an alarm, keeps its last table and applies no more of its records.
 */
class LogFold
{
public:
    /** @returns the configuration state in force */
    const ConfigState &state() const { return m_state; }
    /**
     * @returns whether the state may be used: the fold has applied a record or a snapshot, or has
     * read a complete log that is empty
     */
    bool isReady() const { return m_isReady; }
    /** @returns whether the fold still applies records of the log */
    LogStatus logStatus() const { return m_logStatus; }
    /** @returns the buffered records after a gap, oldest first */
    const std::vector<ConfigRecord> &pendingRecords() const { return m_pendingRecords; }
    /** @returns the offset of the last record that the newest snapshot in the log includes */
    Offset snapshotOffset() const { return m_snapshotOffset; }
    /** @returns the oldest offset that the log keeps, as of the last read */
    Offset firstOffset() const { return m_firstOffset; }

    /**
     * Applies the result of a read of the log.
     * @param window the range of records that the log held
     * @param records the records that were read, in ascending order; known ones are ignored. Empty
     * if the read reached the end of the log.
     * @param findings receives verdicts and alarms
     */
    LogFold withLogRecords(const LogWindow &window, const std::vector<ConfigRecord> &records,
                           LogFindings &findings) const;

    /** Applies records that a peer relayed from the log with the identity @p logId. */
    LogFold withPeerRecords(const std::string &logId, const std::vector<ConfigRecord> &records,
                            LogFindings &findings) const;

    /**
     * Applies a snapshot from a peer. It takes effect only if it is newer than the state and of the
     * same log. This also works after the log has changed its identity, so that changes that were
     * accepted before the reset still reach every process.
     */
    LogFold withPeerSnapshot(const SnapshotRecord &snapshot, LogFindings &findings) const;

private:
    bool checkWindow(const LogWindow &window, bool isEmpty, LogFindings &findings);
    void checkGap(LogFindings &findings) const;
    bool checkLogIdentity(const std::string &logId, LogFindings &findings);
    void applyRecord(const ConfigRecord &record, LogFindings &findings);
    void bufferRecord(const ConfigRecord &record);
    void foldNext(const ConfigRecord &record, LogFindings &findings);
    bool restoreSnapshot(const SnapshotRecord &snapshot, LogFindings &findings);
    void foldPendingRecords(LogFindings &findings);

    /** Invariant: the applied offset never decreases. */
    ConfigState m_state;
    /**
     * Invariant: consecutive offsets, the first of them above the applied offset + 1; at most
     * maxPendingRecords.
     */
    std::vector<ConfigRecord> m_pendingRecords;
    Offset m_snapshotOffset;
    Offset m_firstOffset {1};
    /** The highest end of the log that a read has reported. */
    Offset m_nextOffset {1};
    /** Consecutive empty reads that reported an end of the log at or below the applied offset. */
    std::uint32_t m_shortReads = 0;
    LogStatus m_logStatus = LogStatus::Following;
    bool m_isReady = false;
};

/** Thresholds at which the log needs a new snapshot. */
struct SnapshotOptions
{
    /** Records since the last snapshot. */
    std::uint64_t records = 256;
    /** Bytes of records since the last snapshot. */
    std::uint64_t bytes = 1024ULL * 1024;
    /** Age of the last snapshot. Must be well below the time for which the log keeps records. */
    Duration age = std::chrono::hours(1);

    SnapshotOptions withRecords(std::uint64_t value) const;
    SnapshotOptions withBytes(std::uint64_t value) const;
    SnapshotOptions withAge(Duration value) const;
    auto operator<=>(const SnapshotOptions &) const = default;
};

/** How far the newest snapshot lags behind the log. */
struct SnapshotLag
{
    Offset applied;
    /** Offset of the last record that the newest snapshot includes; 0 if there is none. */
    Offset lastIncluded;
    /** Oldest offset that the log keeps. */
    Offset firstOffset {1};
    std::uint64_t bytesSince = 0;
    Duration age {};

    auto operator<=>(const SnapshotLag &) const = default;
};

/**
 * Decides whether to append a snapshot to the log.
 * @returns true if the records, bytes or time since the last snapshot reach a threshold, or if the
 * log has dropped old records and the last snapshot ends in the older half of those that it keeps
 */
bool isSnapshotDue(const SnapshotLag &lag, const SnapshotOptions &options);

} // namespace greengageseam
