/**
 * The task that holds the agent's place in the log's stream of incarnations: registers it, and
 * reads whether another process has taken the slot over.
 */
#pragma once

#include "core/placement/placement.h"
#include "logservice/logclient.h"
#include "net/log.h"

#include <functional>
#include <memory>
#include <variant>

namespace greengageseam {

/** Asks for a read of the log up to its end. */
struct CheckIncarnation
{ };

/** The process ends; its successor need not wait. Replies when that is in the log, or was tried. */
struct EndIncarnation
{
    MailboxPtr<bool> reply;
};

/** Messages to the task. */
using IncarnationCommand = std::variant<CheckIncarnation, EndIncarnation>;

/** Hook that is told what becomes of the incarnation; it must not wait. */
using DutyObserver = std::function<void(const OrderLeaseEvent &event)>;

/** How the log is reached. */
struct IncarnationHooks
{
    AppendToLog append;
    ReadLog read;
    DutyObserver observer;
};

/** Keeps one incarnation. */
class IncarnationKeeper : public std::enable_shared_from_this<IncarnationKeeper>
{
public:
    IncarnationKeeper(const asio::any_io_executor &executor, InstanceId instance,
                      IncarnationHooks hooks, Log log);

    /** @returns where to send commands */
    const MailboxPtr<IncarnationCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    /** What the stream says of other processes in the slot. */
    struct Others
    {
        Offset newest;
        /** Whether the newest has said that it ended. */
        bool hasEnded = false;
    };

    Awaitable<void> run();
    Awaitable<void> registerNumber();
    Awaitable<Offset> append();
    Awaitable<void> check();
    Awaitable<void> end(EndIncarnation command);
    Awaitable<bool> readToEnd();
    void note(const LogRecord &record);

    asio::any_io_executor m_executor;
    InstanceId m_instance;
    IncarnationHooks m_hooks;
    Log m_log;
    MailboxPtr<IncarnationCommand> m_mailbox;
    /** Names this process in its records. */
    std::string m_process;
    Offset m_number;
    Offset m_nextOffset {1};
    Others m_others;
    /** Whether records that were never read may be lost. */
    bool m_hasGap = false;
};

} // namespace greengageseam
