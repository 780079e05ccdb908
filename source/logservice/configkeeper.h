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
    WallTime at;

    auto operator<=>(const RaisedAlarm &) const = default;
};

/** Snapshot of the configuration in force in this process; published to other tasks. */
struct ConfigView
{
    std::shared_ptr<const ConfigState> state;
    /** The newest records in log format, oldest first, for peers that lag slightly. */
    std::shared_ptr<const std::vector<LogRecord>> recent;
    /** Alarms of the fold since the process started. */
    std::vector<RaisedAlarm> alarms;
    /** When this state came into force in this process. */
    WallTime since;
    /** Whether records of the log are still applied. */
    LogTrust trust = LogTrust::Followed;
    /** How far the log is ahead of its last snapshot; the age is not set, its user fills it in. */
    SnapshotNeed need;

    /** @returns true if a configuration is in force */
    bool isReady() const { return state != nullptr; }
};

/** Sets the metrics of the applied offset and the number of alarms. */
void countConfig(Metrics &metrics, const ConfigView &view);

/** Result of a read of the log. */
struct LogRead
{
    LogWindow window;
    std::vector<LogRecord> records;
};

/** Records of the log that a peer relayed. */
struct FoldRecords
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
struct PeerApplied
{
    Offset applied;
    /** Requests a snapshot from the peer, given the offset applied here; must not block. */
    std::function<void(Offset applied)> ask;
};

/** A peer without the current configuration requests a snapshot. */
struct SnapshotAsked
{
    /** Offset in force at the peer. */
    Offset applied;
    /** Sends the peer a snapshot in log format; must not block. */
    std::function<void(const std::string &text)> send;
};

/** Queries the offset in force here; there is no reply while no configuration is in force. */
struct AppliedAsked
{
    /** Called with the applied offset; must not block. */
    std::function<void(Offset applied)> tell;
};

/** Messages to the ConfigManager. */
using ConfigCommand = std::variant<LogRead, FoldRecords, RestoreSnapshot, PeerApplied,
                                   SnapshotAsked, AppliedAsked>;

/** Hook called with each new state; must not block. */
using ConfigObserver = std::function<void(const ConfigView &view)>;

/** Owns the folded configuration. Its applied offset never decreases. */
class ConfigKeeper : public std::enable_shared_from_this<ConfigKeeper>
{
public:
    ConfigKeeper(const asio::any_io_executor &executor, std::vector<ConfigObserver> observers,
                 Log log);

    /** @returns the mailbox of the task, for records and snapshots */
    const MailboxPtr<ConfigCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    void apply(const LogRead &command);
    void apply(const FoldRecords &command);
    void apply(const RestoreSnapshot &command);
    void apply(const PeerApplied &command);
    void apply(const SnapshotAsked &command);
    void apply(const AppliedAsked &command);
    std::vector<ConfigRecord> decode(const std::vector<LogRecord> &records);
    void takeOver(LogFold next, const LogFindings &findings);
    void raise(const ConfigAlarm &alarm);
    void logVerdict(const Verdict &verdict) const;
    std::vector<LogRecord> recentRecords() const;
    void publish();

    asio::any_io_executor m_executor;
    std::vector<ConfigObserver> m_observers;
    Log m_log;
    MailboxPtr<ConfigCommand> m_mailbox;
    LogFold m_fold;
    /** Texts of the newest records. Invariant: at most maxRecordTexts. */
    std::map<Offset, std::string> m_texts;
    std::vector<RaisedAlarm> m_alarms;
    std::uint64_t m_bytesSinceSnapshot = 0;
    WallTime m_since;
    Instant m_askedAt;
    /** Since when a peer has been ahead; empty once this process has applied a newer offset. */
    std::optional<Instant> m_behindSince;
};

} // namespace greengageseam
