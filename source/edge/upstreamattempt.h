/**
 * Task that makes one upstream attempt: it sends a request to a backend server, and tells the
 * proxy of the request what comes back.
 */
#pragma once

#include "core/fleet/fleet.h"
#include "edge/replicasearch.h"
#include "edge/requestcontext.h"
#include "net/httpconnection.h"

#include <memory>
#include <optional>
#include <variant>

namespace greengageseam {

using HttpResponseHeadPtr = std::shared_ptr<const HttpResponseHead>;

/** A backend server may receive something of the request from now on. */
struct AttemptSent
{
    /** Identifies the attempt, here and in the other messages. */
    std::uint64_t lease = 0;
    /** Time that is left until the response must have started; empty without a deadline. */
    std::optional<Duration> startTimeLeft;
};

/** A stream has brought complete events. */
struct EventsReceived
{
    std::uint64_t lease = 0;
    HttpResponseHeadPtr head;
    CompleteEvents events;
    /** Id of the last event; empty if events have none. */
    std::optional<std::uint64_t> lastEventId;
};

/** An attempt has ended and has released its lease. */
struct AttemptEnded
{
    std::uint64_t lease = 0;
    ReplicaId replica;
    UpstreamOutcome outcome = UpstreamOutcome::NotConnected;
    /**
     * A response that was read completely: the answer, or an error response from the backend server
     * itself, which may be relayed to the caller.
     */
    std::optional<HttpResponse> response;
    /** The head of a stream that is complete; otherwise null. */
    HttpResponseHeadPtr streamHead;
    /** Complete events that it has brought. */
    std::uint32_t events = 0;
    /** Time since it was sent or has brought an event; zero if it was not sent. */
    Duration silence {};
    /** Whether the backend server may have received something of the request. */
    bool wasSent = false;
    /** The connection was lost before the response had begun; the entry did not cut it. */
    bool wasLost = false;
};

/** The attempt in progress has brought nothing for some time. */
struct SilenceElapsed
{
    /** The number of the wait. */
    std::uint64_t wait = 0;
    /** When the time was over. */
    Instant dueAt;
};

/** The caller is about to abandon a stream that goes on. */
struct PatienceElapsed
{
    /** The number of the wait. */
    std::uint64_t wait = 0;
    /** When the time was over. */
    Instant dueAt;
};

/** The backend server of a silent attempt may be lost: its agent is silent as well. */
struct ReplicaMayBeLost
{
    /** The number of the wait after which that was asked. */
    std::uint64_t wait = 0;
    std::uint64_t lease = 0;
};

/** Messages to the proxy of a request. */
using ProxyMessage = std::variant<SearchEnded, AttemptSent, EventsReceived, AttemptEnded,
                                  SilenceElapsed, PatienceElapsed, ReplicaMayBeLost>;

/** Why an attempt is given up. */
enum class AttemptAbort {
    /** The caller has gone. */
    CallerGone,
    /** The process ends. */
    ProcessEnds,
    /** It was silent, and the response to a later attempt has begun. */
    Superseded,
    /** It was silent for as long as the caller waits, and its backend server may be lost. */
    Lost,
    /** It is not needed, since an earlier attempt goes on. */
    Withdrawn,
};

/**
 * The start of the response to an attempt. It is shared with the hook that cuts the attempt off,
 * which the dispatcher gets before the attempt exists.
 */
struct AttemptStart
{
    /** Null until the connection is ready. */
    HttpConnectionPtr connection;
    /** The response has started, so that it may no longer be cut off. */
    bool hasStarted = false;
    bool isExpired = false;
};

/** What an attempt is made with. */
struct AttemptOptions
{
    ReplicaLease lease;
    /** Id of the caller's attempt. */
    std::string attemptId;
    double promptTokens = 0;
    /** The shared parts of the prompt. */
    std::vector<PromptPartId> promptParts;
    /** Empty if the route does not require a client account. */
    AccountName account;
    /** When the request times out. */
    Instant deadline;
    /** Id of the last event that the caller has; empty for a new stream. */
    std::optional<std::uint64_t> lastEventId;
    /** Whether no backend server can have received the request yet. */
    bool isFirst = false;
    /** Whether the request may run more than once. */
    bool isIdempotent = false;
    /** Whether the caller has received the start of a stream. */
    bool isResumption = false;
    /** Not null. */
    std::shared_ptr<AttemptStart> start;
    /** Hook that asks whether the process may hold the bytes of an answer. */
    std::function<bool(std::size_t bytes)> mayHold;
};

/**
 * Makes one upstream attempt. Owns its connection until it ends; then hands it back to the pool if
 * it can be reused, and releases the lease. Construct it with std::make_shared.
 */
class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt>
{
public:
    /**
     * @param context outlives the attempt
     * @param request not null
     * @param inbox receives AttemptSent, EventsReceived and at last AttemptEnded
     */
    UpstreamAttempt(const RequestContext &context, HttpRequestPtr request, AttemptOptions options,
                    MailboxPtr<ProxyMessage> inbox);

    /** Starts the task. */
    void start();
    /** Gives the attempt up at once. Only the task of the caller's connection may call it. */
    void abort(AttemptAbort reason);
    /** @returns the id of its lease */
    std::uint64_t lease() const { return m_options.lease.id; }
    /** @returns the backend server that the request is sent to */
    const ReplicaId &replica() const { return m_options.lease.replica.id; }

private:
    /** How the attempt ended, and what is passed on then. */
    struct Result
    {
        UpstreamOutcome outcome = UpstreamOutcome::NotConnected;
        std::optional<HttpResponse> response;
        HttpResponseHeadPtr streamHead;
        /** How long the backend server keeps the idle connection open; empty if it did not say. */
        std::optional<Duration> keepAliveTimeout;
    };

    /** @returns a result without a response */
    static Result failed(UpstreamOutcome outcome);

    Awaitable<void> run();
    /** Connects, sends the request and receives the response. */
    Awaitable<Result> exchange();
    Awaitable<HttpIoStatus> connect();
    /** @returns the head of the request with the fields that are set for this attempt */
    std::string encodeRequest() const;
    /** @returns the body of the request, which is not copied for the attempt */
    std::shared_ptr<const std::string> requestBody() const;
    /** @returns whether the request could no longer begin in time on the chosen weights */
    bool isChoiceExpired() const;
    /** Reads the head of the response, checks it, and passes on what may be relayed. */
    Awaitable<Result> receiveResponse();
    /**
     * Waits until the process may hold an answer, which stays with the backend server meanwhile.
     * @returns false if the time of the request is over
     */
    Awaitable<bool> awaitRoom(std::size_t bytes);
    /** Reads a response whose body is relayed as a whole. */
    Awaitable<Result> receiveBody(const HttpResponseHead &head, const ResponseMetadata &fields);
    /** Passes an event stream on as it arrives, in complete events. */
    Awaitable<Result> receiveStream(HttpResponseHeadPtr head, std::optional<Duration> keepAlive);
    /** @returns whether a response certainly belongs to this attempt */
    bool isForThisAttempt(const ResponseMetadata &fields) const;
    /** @returns how the attempt ended, given the error of a read from the backend server */
    UpstreamOutcome classifyReadEnd(HttpIoStatus end, bool hasHead) const;
    /** Tells the dispatcher what the backend server announces in a response. */
    void reportStatement(const HttpResponseHead &head, const ResponseMetadata &fields);
    void recordResponseStart(Instant now);
    /** Counts the events; two of them show that the backend server lives on. */
    void recordEvents(std::uint32_t count);
    void reportPartsAnswered();
    /** @returns whether the connection was lost before the response had begun */
    bool isLost(UpstreamOutcome outcome) const;
    void recordLoss();
    /** Reports the result to the dispatcher and hands a reusable connection back to the pool. */
    void releaseLease(const Result &result);
    AttemptEnded endedWith(Result result) const;

    /** @returns the time until the request times out */
    Duration remainingTime() const;
    /** @returns how long to wait for the response before the attempt fails */
    Duration readTimeout() const;

    const RequestContext &m_context;
    HttpRequestPtr m_request;
    AttemptOptions m_options;
    MailboxPtr<ProxyMessage> m_inbox;
    HttpConnectionPtr m_connection;
    EventSplitter m_events;
    /** Why it was given up; empty unless it was. */
    std::optional<AttemptAbort> m_abort;
    /** When the request was sent; empty before. */
    std::optional<Instant> m_sentAt;
    /** When the response started; empty before. */
    std::optional<Instant> m_responseStartedAt;
    std::optional<Instant> m_lastEventAt;
    std::uint32_t m_eventCount = 0;
};

/** @returns the hook that cuts an attempt off as long as its response has not started */
std::function<void()> makeStartExpiry(const std::shared_ptr<AttemptStart> &start);

} // namespace greengageseam
