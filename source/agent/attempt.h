/**
 * One attempt: carries a request to the backend server and its answer back to the entry.
 */
#pragma once

#include "net/httpclient.h"
#include "net/log.h"
#include "net/peerlink.h"

#include <functional>
#include <memory>

namespace greengageseam {

/** Bytes that each part of an answer costs beside its content, in the credit of a stream. */
constexpr std::int64_t partOverheadBytes = 64;

/** What an attempt is sent to. */
struct AttemptTarget
{
    Address backendAddress;
    /** Empty for an engine. */
    ServiceName service;

    auto operator<=>(const AttemptTarget &) const = default;
};

/** Hook that is told, once, that the attempt has ended. */
using OnAttemptEnded = std::function<Awaitable<void>()>;

/** The task of one attempt. It owns the connection to the backend server. */
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(const asio::any_io_executor &executor, AttemptTarget target, OpenMessage open,
            PeerLinkHandle link, StreamId stream, MailboxPtr<StreamEvent> events,
            OnAttemptEnded onEnded, Log log);

    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    Awaitable<void> handleEntryMessages();
    Awaitable<VoidOutcome> forwardRequest();
    Awaitable<VoidOutcome> sendBody();
    Awaitable<bool> waitForCredit();
    HttpRequest backendRequest() const;
    std::optional<Failure> rejectionOf(const HttpCallHead &head) const;
    ExecutionStatus executionStatusAfter(const Failure &failure) const;
    Duration remainingTime() const;

    asio::any_io_executor m_executor;
    AttemptTarget m_target;
    OpenMessage m_open;
    PeerLinkHandle m_link;
    StreamId m_stream;
    MailboxPtr<StreamEvent> m_events;
    OnAttemptEnded m_onEnded;
    Log m_log;
    HttpCall m_call;
    /** Wakes the sender when credit comes. */
    asio::steady_timer m_creditArrived;
    std::int64_t m_credit;
    Instant m_deadline;
    bool m_isCancelled = false;
};

} // namespace greengageseam
