/**
 * The task that registers the agent in the log's stream of incarnations, and detects from the
 * stream whether another process has taken over the slot.
 */
#pragma once

#include "core/placement/placement.h"
#include "logservice/logclient.h"
#include "net/log.h"

#include <functional>
#include <memory>
#include <variant>

namespace greengageseam {

/** Requests a read of the stream up to its end. */
struct CheckIncarnation
{ };

/**
 * Records in the log that the process is ending, so that its successor need not wait. Replies
 * whether the record was appended; the append is attempted once.
 */
struct EndIncarnation
{
    MailboxPtr<bool> reply;
};

/** Messages to the task. */
using IncarnationCommand = std::variant<CheckIncarnation, EndIncarnation>;

/** Hook that is called when the incarnation is granted or has been checked. It must not block. */
using OrderLeaseObserver = std::function<void(const OrderLeaseEvent &event)>;

/** Access to the log, and the observer of the results. */
struct IncarnationHooks
{
    AppendToLog append;
    ReadLog read;
    OrderLeaseObserver observer;
};

/** Registers and checks the incarnation of one agent process. */
class IncarnationManager : public std::enable_shared_from_this<IncarnationManager>
{
public:
    /**
     * @param executor runs the task
     * @param instance instance whose slot the process occupies
     * @param hooks access to the log, and the observer
     * @param log logger of the agent
     */
    IncarnationManager(const asio::any_io_executor &executor, InstanceId instance,
                       IncarnationHooks hooks, Log log);

    /** @returns the mailbox for commands to this task */
    const MailboxPtr<IncarnationCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    /** Records of other processes in the same slot. */
    struct OtherProcesses
    {
        /** Offset of the newest record; 0 if there is none. */
        Offset newest;
        /** Whether the newest record states that its process has ended. */
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
    /** Identifies this process in its records. */
    std::string m_processId;
    Offset m_incarnationNumber;
    Offset m_nextOffset {1};
    OtherProcesses m_otherProcesses;
    /** Whether the log may have discarded records that were never read. */
    bool m_hasGap = false;
};

} // namespace greengageseam
