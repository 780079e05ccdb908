/**
 * One attempt: forwards a request to the backend server and relays the response to the entry.
 */
#pragma once

#include "net/httpclient.h"
#include "net/log.h"
#include "net/peerlink.h"

#include <functional>
#include <memory>

namespace greengageseam {

/**
 * Bytes that each part of a response body consumes of its stream's credit in addition to its
 * content. The entry returns the same amount when it has relayed the part.
 */
constexpr std::int64_t partOverheadBytes = 64;

/** The backend server that an attempt is sent to. */
struct AttemptTarget
{
    Address backendAddress;
    /** Service of the backend server; empty for an engine. */
    ServiceName service;

    auto operator<=>(const AttemptTarget &) const = default;
};

/** Hook that is called exactly once, when the attempt has ended. */
using OnAttemptEnded = std::function<Awaitable<void>()>;

/** The task of one attempt, which owns the connection to the backend server. */
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    /**
     * @param executor runs the task
     * @param target the backend server
     * @param open the entry's message with the request, its deadline and the initial credit
     * @param link link to the entry
     * @param stream stream of the link on which the response is sent
     * @param events receives the entry's messages on this stream: credit and cancellation
     * @param onEnded called when the attempt has ended
     * @param log logger of the agent
     */
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
    /** Makes the request for the backend server, and moves the body into it. */
    HttpRequest takeBackendRequest();
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
    /** Cancelled to wake the sender when credit or a cancellation arrives. */
    Timer m_creditArrived;
    std::int64_t m_credit;
    Instant m_deadline;
    bool m_isCancelled = false;
};

} // namespace greengageseam
