/**
 * Proxies one caller's request to backend servers, from its arrival to the end of its response.
 */
#pragma once

#include "core/fleet/fleet.h"
#include "edge/dispatcher.h"
#include "edge/promptquarantine.h"
#include "edge/responsewriter.h"
#include "net/callcodec.h"
#include "net/httpconnection.h"
#include "net/log.h"
#include "net/metrics.h"

#include <set>

namespace greengageseam {

/** Services of the entry that every request uses. */
struct RequestContext
{
    asio::any_io_executor executor;
    MailboxPtr<DispatchCommand> dispatcher;
    MailboxPtr<QuarantineCommand> quarantine;
    CallCodec codec;
    std::shared_ptr<Metrics> metrics;
    Log log;
};

/**
 * Proxies one request: admits it, makes one or more upstream attempts, and relays the response. It
 * owns the upstream connection for the duration of an attempt.
 */
class RequestProxy
{
public:
    /** @param arrivedAt time at which the request was read completely; its timeout starts there */
    RequestProxy(const RequestContext &context, const HttpRequest &request, ResponseWriter &writer,
                 Instant arrivedAt);

    /** Sends a complete response, or aborts a stream so that the caller sees it is incomplete. */
    Awaitable<void> run();
    /** Sends an error response instead of run(). @param kind an error that promises no execution */
    Awaitable<void> refuse(ErrorKind kind);
    /**
     * Makes run() end soon: it gives up its wait or its attempt and makes no further one. Only the
     * task of the caller's connection may call it, while run() is in progress.
     */
    void expire();

private:
    /** No attempt is made with less time remaining, because it could not be answered in time. */
    static constexpr Duration minAttemptTime = std::chrono::milliseconds(15);

    /** The start of the response to an attempt, shared with the hook that cuts the attempt off. */
    struct AttemptStart
    {
        /** Null until the connection is ready. */
        HttpConnectionPtr connection;
        /** The response has started, so that it may no longer be cut off. */
        bool hasStarted = false;
        bool isExpired = false;
    };

    /** Result of one upstream attempt. */
    struct AttemptResult
    {
        UpstreamOutcome end = UpstreamOutcome::NotConnected;
        /** An error response from the backend server itself, which may be relayed to the caller. */
        std::optional<HttpResponse> response;
        /** How long the backend server keeps the idle connection open; empty if it did not say. */
        std::optional<Duration> keepAliveTimeout;
    };

    /** Obtains the route. @returns false if the request was rejected and answered */
    Awaitable<bool> admit();
    /** Makes attempts until one succeeds or no further one is allowed, and ends the request. */
    Awaitable<void> attemptUntilDone();
    /** Waits for a slot on a backend server. */
    Awaitable<std::variant<ReplicaLease, ReplicaUnavailable>> acquireReplica();
    /** Makes one upstream attempt. */
    Awaitable<AttemptResult> sendAttempt(const ReplicaLease &lease);
    Awaitable<HttpIoStatus> connect(const ReplicaLease &lease);
    /** @returns the hook that cuts off the attempt for which a backend server is acquired */
    std::function<void()> makeStartExpiry();
    /** @returns whether the request could no longer begin in time on the chosen weights */
    bool isChoiceExpired(const ReplicaLease &lease) const;
    /** Reads the head of the response, checks it, and relays the response if it may be relayed. */
    Awaitable<AttemptResult> receiveResponse();
    /** Relays a response whose body is read completely before it is sent to the caller. */
    Awaitable<AttemptResult> relayBufferedResponse(const HttpResponseHead &head,
                                                   const ResponseMetadata &fields);
    /** Relays an event stream as it arrives, in complete events. */
    Awaitable<AttemptResult> relayStream(const HttpResponseHead &head);
    /** @returns whether a response certainly belongs to the current attempt */
    bool isForThisAttempt(const ResponseMetadata &fields) const;
    /** @returns how the attempt ended, given the error of a read from the backend server */
    UpstreamOutcome classifyReadEnd(HttpIoStatus end, bool hasHead) const;
    /** Tells the dispatcher what the backend server announces in a response. */
    void reportStatement(const HttpResponseHead &head, const ResponseMetadata &fields);
    void recordResponseStart(Instant now);
    /** Counts the events of the current attempt; two of them show that its server lives on. */
    void recordEvents(std::uint32_t count);
    void reportPartsAnswered();
    /** Logs and reports an attempt whose connection was lost before the response had begun. */
    void recordLostAttempt(const ReplicaLease &lease, const AttemptResult &result);
    /** Reports the result to the dispatcher and hands a reusable connection back to the pool. */
    void releaseLease(const ReplicaLease &lease, const AttemptResult &result);
    Awaitable<void> giveUp(const AttemptResult &result);
    Awaitable<void> respondWithError(ErrorKind kind, ExecutionStatus ran, Duration retryAfter);
    void recordFailedAttempt(const ReplicaLease &lease, UpstreamOutcome end) const;
    void addReplicaFields(boost::json::object &fields) const;
    void addStreamFields(boost::json::object &fields) const;
    /** @returns the time since the current attempt was sent or has brought an event */
    Duration silentTime() const;
    /** Writes the log record and the metrics of the finished request. */
    void recordOutcome(std::string_view outcome, int status, std::string_view cause);

    /** @returns whether the request may run more than once */
    bool canRetry() const;
    /** @returns the time until the request times out */
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
    /** Where the dispatcher's answer is awaited; null at other times. */
    MailboxPtr<std::variant<ReplicaLease, ReplicaUnavailable>> m_acquisition;
    /** Whether the request must end early because the process ends. */
    bool m_isExpired = false;
    /** Whether the connection has carried an earlier request. */
    bool m_isConnectionPooled = false;
    EventSplitter m_events;
    /** The shared parts of the prompt. */
    std::vector<PromptPartId> m_promptParts;
    /** Whether a backend server was lost while the request had not begun on it. */
    bool m_wasLost = false;
    /** Whether any attempt so far has run the request. */
    ExecutionStatus m_ran = ExecutionStatus::NotExecuted;
    /** Number of attempts of which a backend server may have received something. */
    std::uint32_t m_attempts = 0;
    /** When the first event was relayed to the caller; empty before. */
    std::optional<Instant> m_firstEventAt;
    /** Invariant: not null once a backend server has been asked for. */
    std::shared_ptr<AttemptStart> m_attemptStart;
    std::uint64_t m_lease = 0;
    /** When the current attempt was sent. */
    Instant m_attemptStartedAt;
    /** Time by which the response to the current attempt must start. */
    std::optional<Instant> m_startDeadline;
    /** Time that was left until then when the last attempt was sent; empty without a deadline. */
    std::optional<Duration> m_startTimeLeft;
    /** Complete events that the current attempt has brought. */
    std::uint32_t m_attemptEvents = 0;
    /** Complete events of all attempts. */
    std::uint32_t m_relayedEvents = 0;
    /** Why no backend server was available for a further attempt; empty if one was. */
    std::optional<ErrorKind> m_unavailableFor;
    /** Backend server of the current or last attempt. */
    ReplicaProcess m_replica;
    /** What its choice was based on. */
    WeightsBasis m_weightsBasis;
    /** When the response to the current attempt started; empty before. */
    std::optional<Instant> m_responseStartedAt;
    std::optional<Instant> m_lastEventAt;
    /** Longest time between two consecutive events so far. */
    Duration m_longestGap {};
    /** Invariant: true only after the head of a stream was sent to the caller. */
    bool m_isStreaming = false;
};

} // namespace greengageseam
