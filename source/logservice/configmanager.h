/**
 * The task that maintains the configuration. It is the only task that folds log records, and it
 * publishes each new state to its observers.
 */
#pragma once

#include "core/config/config.h"
#include "logservice/logclient.h"
#include "net/clock.h"
#include "net/log.h"
#include "net/mailbox.h"
#include "net/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace greengageseam {

/** An alarm with the time at which this process raised it. */
struct RaisedAlarm
{
    ConfigAlarm alarm;
    WallTime raisedAt;

    auto operator<=>(const RaisedAlarm &) const = default;
};

/** Snapshot of the configuration in force in this process; published to other tasks. */
struct ConfigView
{
    std::shared_ptr<const ConfigState> state;
    /** The newest records in log format, oldest first, for peers that lag slightly. */
    std::shared_ptr<const std::vector<LogRecord>> recentRecords;
    /** Alarms of the fold since the process started. */
    std::vector<RaisedAlarm> alarms;
    /** When this state came into force in this process. */
    WallTime inForceSince;
    /** Whether records of the log are still applied. */
    LogStatus logStatus = LogStatus::Following;
    /** How far the log is ahead of its last snapshot; the age is not set, its user fills it in. */
    SnapshotLag snapshotLag;

    /** @returns true if a configuration is in force */
    bool isReady() const { return state != nullptr; }
};

/** Sets the metrics of the applied offset and the number of alarms. */
void updateConfigMetrics(Metrics &metrics, const ConfigView &view);

/** Result of a read of the log. */
struct LogRead
{
    LogWindow window;
    std::vector<LogRecord> records;
};

/** Records of the log that a peer relayed. */
struct ApplyRecords
{
    std::string logId;
    std::vector<LogRecord> records;
};

/** A snapshot from a peer, in log format. */
struct RestoreSnapshot
{
    std::string text;
};

/** A peer announced the configuration offset in force there. */
struct PeerOffsetReceived
{
    Offset appliedOffset;
    /** Requests a snapshot from the peer, given the offset applied here; must not block. */
    std::function<void(Offset applied)> requestSnapshot;
};

/** A peer without the current configuration requests a snapshot. */
struct SnapshotQuery
{
    /** Offset in force at the peer. */
    Offset appliedOffset;
    /** Sends the peer a snapshot in log format; must not block. */
    std::function<void(const std::string &text)> sendSnapshot;
};

/** Queries the offset in force here; there is no reply while no configuration is in force. */
struct AppliedOffsetQuery
{
    /** Called with the applied offset; must not block. */
    std::function<void(Offset applied)> reply;
};

/** Messages to the ConfigManager. */
using ConfigCommand = std::variant<LogRead, ApplyRecords, RestoreSnapshot, PeerOffsetReceived,
                                   SnapshotQuery, AppliedOffsetQuery>;

/** Hook called with each new state; must not block. */
using ConfigObserver = std::function<void(const ConfigView &view)>;

/** Owns the folded configuration. Its applied offset never decreases. */
class ConfigManager : public std::enable_shared_from_this<ConfigManager>
{
public:
    ConfigManager(const asio::any_io_executor &executor, std::vector<ConfigObserver> observers,
                  Log log);

    /** @returns the mailbox of the task, for records and snapshots */
    const MailboxPtr<ConfigCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    void apply(const LogRead &command);
    void apply(const ApplyRecords &command);
    void apply(const RestoreSnapshot &command);
    void apply(const PeerOffsetReceived &command);
    void apply(const SnapshotQuery &command);
    void apply(const AppliedOffsetQuery &command);
    std::vector<ConfigRecord> decode(const std::vector<LogRecord> &records);
    void applyFold(LogFold next, const LogFindings &findings);
    void raiseAlarm(const ConfigAlarm &alarm);
    void logVerdict(const Verdict &verdict) const;
    std::vector<LogRecord> recentRecords() const;
    void publish();

    asio::any_io_executor m_executor;
    std::vector<ConfigObserver> m_observers;
    Log m_log;
    MailboxPtr<ConfigCommand> m_mailbox;
    LogFold m_fold;
    /** Texts of the newest records. Invariant: at most maxRecordTexts. */
    std::map<Offset, std::string> m_recordTexts;
    std::vector<RaisedAlarm> m_alarms;
    std::uint64_t m_bytesSinceSnapshot = 0;
    WallTime m_inForceSince;
    Instant m_snapshotRequestedAt;
    /** Since when a peer has been ahead; empty once this process has applied a newer offset. */
    std::optional<Instant> m_behindSince;
};

} // namespace greengageseam
