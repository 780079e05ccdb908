/**
 * The task that keeps the configuration: it alone folds records, and tells others of each new
 * state.
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

/** An alarm with the time at which it was raised here. */
struct RaisedAlarm
{
    ConfigAlarm alarm;
    WallTime raisedAt;

    auto operator<=>(const RaisedAlarm &) const = default;
};

/** The configuration in force in this process, as handed to other tasks. */
struct ConfigView
{
    std::shared_ptr<const ConfigState> state;
    /** The newest records as they stand in the log, oldest first, for peers that lag a little. */
    std::shared_ptr<const std::vector<LogRecord>> recentRecords;
    /** Alarms of the fold since the process started. */
    std::vector<RaisedAlarm> alarms;
    /** When this state came into force here. */
    WallTime inForceSince;
    /** Whether records of the log are still taken. */
    LogStatus logStatus = LogStatus::Following;
    /** What the log holds since its last snapshot; the age is the reader's to fill in. */
    SnapshotLag snapshotLag;

    /** @returns whether a configuration is in force */
    bool isReady() const { return state != nullptr; }
};

/** Shows the applied offset and the alarms as metrics. */
void updateConfigMetrics(Metrics &metrics, const ConfigView &view);

/** What a read of the log gave. */
struct LogRead
{
    LogWindow window;
    std::vector<LogRecord> records;
};

/** Records that a peer passed on from the log. */
struct ApplyRecords
{
    std::string logId;
    std::vector<LogRecord> records;
};

/** A snapshot from a peer, as it would stand in the log. */
struct RestoreSnapshot
{
    std::string text;
};

/** A peer says which offset is in force there. */
struct PeerOffsetReceived
{
    Offset appliedOffset;
    /** Asks the peer for its snapshot; must not wait. */
    std::function<void(Offset applied)> requestSnapshot;
};

/** A peer that lacks the configuration asks for a snapshot. */
struct SnapshotQuery
{
    /** What is in force at the peer. */
    Offset appliedOffset;
    /** Sends the peer a snapshot as it would stand in the log; must not wait. */
    std::function<void(const std::string &text)> sendSnapshot;
};

/** Asks which offset is in force here, as soon as one is. */
struct AppliedOffsetQuery
{
    /** Must not wait. */
    std::function<void(Offset applied)> reply;
};

/** Messages to the keeper. */
using ConfigCommand = std::variant<LogRead, ApplyRecords, RestoreSnapshot, PeerOffsetReceived,
                                   SnapshotQuery, AppliedOffsetQuery>;

/** Hook that is told of each new state; it must not wait. */
using ConfigObserver = std::function<void(const ConfigView &view)>;

/** Folds what it is sent. Never goes to a lower offset. */
class ConfigManager : public std::enable_shared_from_this<ConfigManager>
{
public:
    ConfigManager(const asio::any_io_executor &executor, std::vector<ConfigObserver> observers,
                  Log log);

    /** @returns where to send records and snapshots */
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
    /** Texts of the newest records; invariant: at most maxTexts. */
    std::map<Offset, std::string> m_recordTexts;
    std::vector<RaisedAlarm> m_alarms;
    std::uint64_t m_bytesSinceSnapshot = 0;
    WallTime m_inForceSince;
    Instant m_snapshotRequestedAt;
    /** Since when a peer has been ahead without this process catching up. */
    std::optional<Instant> m_behindSince;
};

} // namespace greengageseam
