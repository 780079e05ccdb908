/**
 * Following the configuration log: what to do about a forgotten beginning, a gap, a log that began
 * anew, and when the log needs a new snapshot.
 */
#pragma once

#include "core/config/fold.h"

#include <cstdint>
#include <string>
#include <vector>

namespace greengageseam {

/** Which part of a log was there when it was read. */
struct LogWindow
{
    /** Identity of the log; another one means that the log began anew. */
    std::string logId;
    /** Offset of the oldest record that is still kept. */
    Offset first {1};
    /** Offset that the next append will get. */
    Offset next {1};

    auto operator<=>(const LogWindow &) const = default;
};

/** Whether a fold takes records from the log, or why not any more. */
enum class LogStatus { Following, IdentityChanged, Truncated };

/** What a step of LogFold found out. */
struct LogFindings
{
    std::vector<Verdict> verdicts;
    std::vector<ConfigAlarm> alarms;

    bool operator==(const LogFindings &) const = default;
};

/**
 * A state that follows a log; a step makes a new fold.
 * Records after a gap wait until a snapshot covers the gap; then they are folded in their turn.
 */
class LogFold
{
public:
    /** @returns the state in force */
    const ConfigState &state() const { return m_state; }
    /** @returns whether the state may be used, which is not so before the first contact */
    bool isReady() const { return m_isReady; }
    /** @returns whether records of the log are still taken */
    LogStatus logStatus() const { return m_logStatus; }
    /** @returns the records after a gap, oldest first */
    const std::vector<ConfigRecord> &pendingRecords() const { return m_pendingRecords; }
    /** @returns the offset that the newest snapshot in the log covers */
    Offset snapshotOffset() const { return m_snapshotOffset; }
    /** @returns the oldest offset that the log keeps, as far as is known */
    Offset firstOffset() const { return m_firstOffset; }

    /** Takes what a read of the log gave. @param records in rising order; may be known already */
    LogFold withLogRecords(const LogWindow &window, const std::vector<ConfigRecord> &records,
                           LogFindings &findings) const;

    /** Takes records that a peer passed on from the log with this identity. */
    LogFold withPeerRecords(const std::string &logId, const std::vector<ConfigRecord> &records,
                            LogFindings &findings) const;

    /**
     * Takes a peer's snapshot. It counts only if it is newer and of the same log, also when the
     * log itself has another identity by now: what was accepted before is still spread.
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

    /** Invariant: the applied offset never falls. */
    ConfigState m_state;
    /** Invariant: offsets without a gap, the first above applied + 1, at most maxWaiting. */
    std::vector<ConfigRecord> m_pendingRecords;
    Offset m_snapshotOffset;
    Offset m_firstOffset {1};
    /** The highest end of the log that a read showed. */
    Offset m_nextOffset {1};
    /** Reads one after the other that gave nothing and showed an end below the applied offset. */
    std::uint32_t m_shortReads = 0;
    LogStatus m_logStatus = LogStatus::Following;
    bool m_isReady = false;
};

/** When the log needs a new snapshot. */
struct SnapshotOptions
{
    /** Records since the last snapshot. */
    std::uint64_t records = 256;
    /** Bytes of records since the last snapshot. */
    std::uint64_t bytes = 1024ULL * 1024;
    /** Age of the last snapshot; well below the time for which the log keeps records. */
    Duration age = std::chrono::hours(1);

    SnapshotOptions withRecords(std::uint64_t value) const;
    SnapshotOptions withBytes(std::uint64_t value) const;
    SnapshotOptions withAge(Duration value) const;
    auto operator<=>(const SnapshotOptions &) const = default;
};

/** What is known of the log since the last snapshot. */
struct SnapshotLag
{
    Offset applied;
    /** What the last snapshot covers; 0 if there is none. */
    Offset lastIncluded;
    /** The oldest offset that the log keeps. */
    Offset firstOffset {1};
    std::uint64_t bytesSince = 0;
    Duration age {};

    auto operator<=>(const SnapshotLag &) const = default;
};

/**
 * @returns whether a snapshot should be appended: by records, bytes or age since the last, or
 * because the last one is in the older half of what the log keeps
 */
bool isSnapshotDue(const SnapshotLag &lag, const SnapshotOptions &options);

} // namespace greengageseam
