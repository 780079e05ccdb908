/**
 * One caller's request from its arrival to its answer.
 */
#pragma once

#include "core/fleet/fleet.h"
#include "edge/dispatcher.h"
#include "edge/responsewriter.h"
#include "net/callcodec.h"
#include "net/httpconnection.h"
#include "net/log.h"
#include "net/metrics.h"

#include <set>

namespace greengageseam {

/** What every request needs of its entry. */
struct RequestContext
{
    asio::any_io_executor executor;
    MailboxPtr<DispatchCommand> dispatcher;
    CallCodec codec;
    std::shared_ptr<Metrics> metrics;
    Log log;
};

/** Runs one request. It owns the connection to the backend server while it uses it. */
class RequestProxy
{
public:
    RequestProxy(const RequestContext &context, const HttpRequest &request, ResponseWriter &writer,
                 Instant arrivedAt);

    /** Answers the request, or leaves its answer visibly broken off. */
    Awaitable<void> run();

private:
    /** A send with less time left would not be answered any more. */
    static constexpr Duration minAttemptTime = std::chrono::milliseconds(15);

    /** How one send went. */
    struct AttemptResult
    {
        UpstreamOutcome end = UpstreamOutcome::NotConnected;
        /** An answer of the backend server's own that can be passed on. */
        std::optional<HttpResponse> response;
        std::optional<Duration> keepAliveTimeout;
    };

    Awaitable<bool> admit();
    Awaitable<void> attemptUntilDone();
    Awaitable<std::variant<ReplicaLease, ReplicaUnavailable>> acquireReplica();
    Awaitable<AttemptResult> sendAttempt(const ReplicaLease &lease);
    Awaitable<HttpIoStatus> connect(const ReplicaLease &lease);
    Awaitable<AttemptResult> receiveResponse();
    Awaitable<AttemptResult> relayBufferedResponse(const HttpResponseHead &head,
                                                   const ResponseMetadata &fields);
    Awaitable<AttemptResult> relayStream(const HttpResponseHead &head);
    UpstreamOutcome classifyReadEnd(HttpIoStatus end, bool hasHead) const;
    void recordResponseStart(Instant now);
    void releaseLease(const ReplicaLease &lease, const AttemptResult &result);
    Awaitable<void> giveUp(const AttemptResult &result);
    Awaitable<void> respondWithError(ErrorKind kind, ExecutionStatus ran, Duration retryAfter);
    void recordOutcome(std::string_view outcome, int status, std::string_view cause);

    bool canRetry() const;
    Duration remainingTime() const;
    Duration readTimeout() const;
    Duration defaultReadTimeout() const;

    const RequestContext &m_context;
    const HttpRequest &m_request;
    ResponseWriter &m_writer;
    Instant m_arrivedAt;
    Instant m_deadline;
    RequestMetadata m_call;
    Admission m_admission;
    std::set<ReplicaId> m_triedReplicas;
    HttpConnectionPtr m_connection;
    EventSplitter m_events;
    /** What all sends so far say together. */
    ExecutionStatus m_ran = ExecutionStatus::NotExecuted;
    /** Sends of which a backend server may have seen something. */
    std::uint32_t m_attempts = 0;
    /** Set once the first event was passed on. */
    std::optional<Instant> m_firstEventAt;
    Instant m_attemptStartedAt;
    /** When the present send must have begun. */
    std::optional<Instant> m_startDeadline;
    /** Whom the present send is for. */
    ReplicaId m_replica;
    /** Beginning of the answer to the present send. */
    std::optional<Instant> m_responseStartedAt;
    std::optional<Instant> m_lastEventAt;
    /** Longest pause between two events so far. */
    Duration m_longestGap {};
    /** Invariant: true only after the head of a stream went to the caller. */
    bool m_isStreaming = false;
};

} // namespace greengageseam
