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
    WallTime at;

    auto operator<=>(const RaisedAlarm &) const = default;
};

/** The configuration in force in this process, as handed to other tasks. */
struct ConfigView
{
    std::shared_ptr<const ConfigState> state;
    /** The newest records as they stand in the log, oldest first, for peers that lag a little. */
    std::shared_ptr<const std::vector<LogRecord>> recent;
    /** Alarms of the fold since the process started. */
    std::vector<RaisedAlarm> alarms;
    /** When this state came into force here. */
    WallTime since;
    /** Whether records of the log are still taken. */
    LogStatus logStatus = LogStatus::Following;
    /** What the log holds since its last snapshot; the age is the reader's to fill in. */
    SnapshotLag need;

    /** @returns whether a configuration is in force */
    bool isReady() const { return state != nullptr; }
};

/** Shows the applied offset and the alarms as metrics. */
void countConfig(Metrics &metrics, const ConfigView &view);

/** What a read of the log gave. */
struct LogRead
{
    LogWindow window;
    std::vector<LogRecord> records;
};

/** Records that a peer passed on from the log. */
struct FoldRecords
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
struct PeerApplied
{
    Offset appliedOffset;
    /** Asks the peer for its snapshot; must not wait. */
    std::function<void(Offset applied)> ask;
};

/** A peer that lacks the configuration asks for a snapshot. */
struct SnapshotAsked
{
    /** What is in force at the peer. */
    Offset appliedOffset;
    /** Sends the peer a snapshot as it would stand in the log; must not wait. */
    std::function<void(const std::string &text)> send;
};

/** Asks which offset is in force here, as soon as one is. */
struct AppliedAsked
{
    /** Must not wait. */
    std::function<void(Offset applied)> tell;
};

/** Messages to the keeper. */
using ConfigCommand = std::variant<LogRead, FoldRecords, RestoreSnapshot, PeerApplied,
                                   SnapshotAsked, AppliedAsked>;

/** Hook that is told of each new state; it must not wait. */
using ConfigObserver = std::function<void(const ConfigView &view)>;

/** Folds what it is sent. Never goes to a lower offset. */
class ConfigKeeper : public std::enable_shared_from_this<ConfigKeeper>
{
public:
    ConfigKeeper(const asio::any_io_executor &executor, std::vector<ConfigObserver> observers,
                 Log log);

    /** @returns where to send records and snapshots */
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
    /** Texts of the newest records; invariant: at most maxTexts. */
    std::map<Offset, std::string> m_texts;
    std::vector<RaisedAlarm> m_alarms;
    std::uint64_t m_bytesSinceSnapshot = 0;
    WallTime m_since;
    Instant m_askedAt;
    /** Since when a peer has been ahead without this process catching up. */
    std::optional<Instant> m_behindSince;
};

} // namespace greengageseam
