/**
 * Proxies one caller's request to backend servers, from its arrival to the end of its response.
 */
#pragma once

#include "core/fleet/fleet.h"
#include "edge/callerchannel.h"
#include "edge/dispatcher.h"
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
    CallCodec codec;
    std::shared_ptr<Metrics> metrics;
    Log log;
};

/**
 * Proxies one request: admits it, makes one or more upstream attempts, and relays the response. It
 * owns the upstream connection for the duration of an attempt.
 */
class RequestRun
{
public:
    /** @param arrivedAt time at which the request was read completely; its timeout starts there */
    RequestRun(const RequestContext &context, const HttpRequest &request, CallerChannel &caller,
               Instant arrivedAt);

    /** Sends a complete response, or aborts a stream so that the caller sees it is incomplete. */
    Awaitable<void> run();

private:
    /** No attempt is made with less time remaining, because it could not be answered in time. */
    static constexpr Duration shortestSend = std::chrono::milliseconds(15);

    /** Result of one upstream attempt. */
    struct Sent
    {
        SendEnd end = SendEnd::NotConnected;
        /** An error response from the backend server itself, which may be relayed to the caller. */
        std::optional<HttpResponse> answer;
        /** How long the backend server keeps the idle connection open; empty if it did not say. */
        std::optional<Duration> keptFor;
    };

    /** Obtains the route. @returns false if the request was rejected and answered */
    Awaitable<bool> admit();
    /** Makes attempts until one succeeds or no further one is allowed, and ends the request. */
    Awaitable<void> sendUntilDone();
    /** Waits for a slot on a backend server. */
    Awaitable<std::variant<ReplicaLease, NoReplica>> takeReplica();
    /** Makes one upstream attempt. */
    Awaitable<Sent> send(const ReplicaLease &lease);
    Awaitable<WireEnd> connect(const ReplicaLease &lease);
    /** Reads the head of the response, checks it, and relays the response if it may be relayed. */
    Awaitable<Sent> receive();
    /** Relays a response whose body is read completely before it is sent to the caller. */
    Awaitable<Sent> receiveWhole(const WireHead &head, const AnswerFields &fields);
    /** Relays an event stream as it arrives, in complete events. */
    Awaitable<Sent> receiveStream(const WireHead &head);
    /** @returns how the attempt ended, given the error of a read from the backend server */
    SendEnd endOfWait(WireEnd end, bool hasHead) const;
    void noteBegun(Instant now);
    /** Reports the result to the dispatcher and hands a reusable connection back to the pool. */
    void finishLease(const ReplicaLease &lease, const Sent &sent);
    Awaitable<void> giveUp(const Sent &sent);
    Awaitable<void> fail(ErrorKind kind, Ran ran, Duration retryAfter);
    /** Writes the log record and the metrics of the finished request. */
    void note(std::string_view outcome, int status, std::string_view cause);

    /** @returns whether the request may run more than once */
    bool mayRepeat() const;
    /** @returns the time until the request times out */
    Duration left() const;
    Duration silenceLimit() const;
    Duration usualSilenceLimit() const;

    const RequestContext &m_context;
    const HttpRequest &m_request;
    CallerChannel &m_caller;
    Instant m_arrivedAt;
    Instant m_deadline;
    CallFields m_call;
    Admission m_admission;
    std::set<ReplicaId> m_tried;
    HttpConnectionPtr m_connection;
    EventSplitter m_events;
    /** Whether any attempt so far has run the request. */
    Ran m_ran = Ran::No;
    /** Number of attempts of which a backend server may have received something. */
    std::uint32_t m_sends = 0;
    /** When the first event was relayed to the caller; empty before. */
    std::optional<Instant> m_firstEventAt;
    /** When the current attempt was sent. */
    Instant m_sentAt;
    /** Time by which the response to the current attempt must start. */
    std::optional<Instant> m_beginBy;
    /** Backend server of the current attempt. */
    ReplicaId m_replica;
    /** When the response to the current attempt started; empty before. */
    std::optional<Instant> m_answeredAt;
    std::optional<Instant> m_lastEventAt;
    /** Longest time between two consecutive events so far. */
    Duration m_longestGap {};
    /** Invariant: true only after the head of a stream was sent to the caller. */
    bool m_isStreaming = false;
};

} // namespace greengageseam
