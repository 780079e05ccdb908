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
using OrderLeaseObserver = std::function<void(const OrderLeaseEvent &event)>;

/** How the log is reached. */
struct IncarnationHooks
{
    AppendToLog append;
    ReadLog read;
    OrderLeaseObserver observer;
};

/** Keeps one incarnation. */
class IncarnationManager : public std::enable_shared_from_this<IncarnationManager>
{
public:
    IncarnationManager(const asio::any_io_executor &executor, InstanceId instance,
                       IncarnationHooks hooks, Log log);

    /** @returns where to send commands */
    const MailboxPtr<IncarnationCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    /** What the stream says of other processes in the slot. */
    struct OtherProcesses
    {
        Offset newest;
        /** Whether the newest has said that it ended. */
        bool hasEnded = false;
    };

    Awaitable<void> run();
    Awaitable<void> registerIncarnation();
    Awaitable<Offset> appendRegistration();
    Awaitable<void> check();
    Awaitable<void> appendEnd(EndIncarnation command);
    Awaitable<bool> readToEnd();
    void applyRecord(const LogRecord &record);

    asio::any_io_executor m_executor;
    InstanceId m_instance;
    IncarnationHooks m_hooks;
    Log m_log;
    MailboxPtr<IncarnationCommand> m_mailbox;
    /** Names this process in its records. */
    std::string m_processId;
    Offset m_incarnationNumber;
    Offset m_nextOffset {1};
    OtherProcesses m_otherProcesses;
    /** Whether records that were never read may be lost. */
    bool m_hasGap = false;
};

} // namespace greengageseam
