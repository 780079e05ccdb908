/**
 * The task that keeps the configuration: it alone folds records, and tells others of each new
 * state.
 */
#pragma once

#include "core/config/config.h"
#include "net/clock.h"
#include "net/log.h"
#include "net/mailbox.h"
#include "platform/logclient.h"

#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace greengageseam {

/** The configuration in force in this process, as handed to other tasks. */
struct ConfigView
{
    std::shared_ptr<const ConfigState> state;
    /** The newest records as they stand in the log, oldest first, for peers that lag a little. */
    std::shared_ptr<const std::vector<LogRecord>> recent;
    /** Alarms of the fold since the process started. */
    std::vector<ConfigAlarm> alarms;
    /** When this state came into force here. */
    WallTime since;

    /** @returns whether a configuration is in force */
    bool isReady() const { return state != nullptr; }
};

/** Records that were read from the log or came from a peer. */
struct FoldRecords
{
    std::vector<LogRecord> records;
};

/** A snapshot from a peer, as it would stand in the log. */
struct RestoreSnapshot
{
    std::string text;
};

/** The log was read to its end, so that an empty table is known to be the whole truth. */
struct LogReadToEnd
{ };

/** The log has another identity than before. */
struct LogBeganAnew
{
    std::string detail;
};

/** Messages to the keeper. */
using ConfigCommand = std::variant<FoldRecords, RestoreSnapshot, LogReadToEnd, LogBeganAnew>;

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
    void apply(const FoldRecords &command);
    void apply(const RestoreSnapshot &command);
    void apply(const LogReadToEnd &command);
    void apply(const LogBeganAnew &command);
    void fold(const LogRecord &record);
    void raise(const ConfigAlarm &alarm);
    void publish();

    asio::any_io_executor m_executor;
    std::vector<ConfigObserver> m_observers;
    Log m_log;
    MailboxPtr<ConfigCommand> m_mailbox;
    /** Invariant: the applied offset never falls. */
    ConfigState m_state;
    std::vector<LogRecord> m_recent;
    std::vector<ConfigAlarm> m_alarms;
    bool m_isReady = false;
    WallTime m_since;
};

} // namespace greengageseam
