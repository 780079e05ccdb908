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
class RequestRun
{
public:
    RequestRun(const RequestContext &context, const HttpRequest &request, CallerChannel &caller,
               Instant arrivedAt);

    /** Answers the request, or leaves its answer visibly broken off. */
    Awaitable<void> run();

private:
    /** A send with less time left would not be answered any more. */
    static constexpr Duration shortestSend = std::chrono::milliseconds(15);

    /** How one send went. */
    struct Sent
    {
        UpstreamOutcome end = UpstreamOutcome::NotConnected;
        /** An answer of the backend server's own that can be passed on. */
        std::optional<HttpResponse> answer;
        std::optional<Duration> keepAliveTimeout;
    };

    Awaitable<bool> admit();
    Awaitable<void> sendUntilDone();
    Awaitable<std::variant<ReplicaLease, NoReplica>> takeReplica();
    Awaitable<Sent> send(const ReplicaLease &lease);
    Awaitable<WireEnd> connect(const ReplicaLease &lease);
    Awaitable<Sent> receive();
    Awaitable<Sent> receiveWhole(const WireHead &head, const ResponseMetadata &fields);
    Awaitable<Sent> receiveStream(const WireHead &head);
    UpstreamOutcome endOfWait(WireEnd end, bool hasHead) const;
    void noteBegun(Instant now);
    void finishLease(const ReplicaLease &lease, const Sent &sent);
    Awaitable<void> giveUp(const Sent &sent);
    Awaitable<void> fail(ErrorKind kind, Ran ran, Duration retryAfter);
    void note(std::string_view outcome, int status, std::string_view cause);

    bool mayRepeat() const;
    Duration left() const;
    Duration silenceLimit() const;
    Duration usualSilenceLimit() const;

    const RequestContext &m_context;
    const HttpRequest &m_request;
    CallerChannel &m_caller;
    Instant m_arrivedAt;
    Instant m_deadline;
    RequestMetadata m_call;
    Admission m_admission;
    std::set<ReplicaId> m_tried;
    HttpConnectionPtr m_connection;
    EventSplitter m_events;
    /** What all sends so far say together. */
    Ran m_ran = Ran::No;
    /** Sends of which a backend server may have seen something. */
    std::uint32_t m_sends = 0;
    /** Set once the first event was passed on. */
    std::optional<Instant> m_firstEventAt;
    Instant m_sentAt;
    /** When the present send must have begun. */
    std::optional<Instant> m_beginBy;
    /** Whom the present send is for. */
    ReplicaId m_replica;
    /** Beginning of the answer to the present send. */
    std::optional<Instant> m_answeredAt;
    std::optional<Instant> m_lastEventAt;
    /** Longest pause between two events so far. */
    Duration m_longestGap {};
    /** Invariant: true only after the head of a stream went to the caller. */
    bool m_isStreaming = false;
};

} // namespace greengageseam
