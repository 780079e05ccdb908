/**
 * Proxies one caller's request to backend servers, from its arrival to the end of its response.
 */
#pragma once

#include "core/fleet/attemptpolicy.h"
#include "edge/responsewriter.h"
#include "edge/upstreamattempt.h"

#include <set>

namespace greengageseam {

/**
 * Proxies one request: admits it, makes one or more upstream attempts, and relays the response.
 *
 * Requests that may run more than once are hedged: an attempt that is silent goes on while another
 * backend server is searched for and asked. The one whose response begins, or goes on, first is
 * relayed from then on, and the other is given up. If the operator has set a share of the requests
 * for it, a request is hedged earlier, once its first attempt is later than usual.
 */
class RequestProxy
{
public:
    /**
     * @param request not null
     * @param arrivedAt time at which the request was read completely; its timeout starts there
     */
    RequestProxy(const RequestContext &context, HttpRequestPtr request, ResponseWriter &writer,
                 Instant arrivedAt);

    /** Sends a complete response, or aborts a stream so that the caller sees it is incomplete. */
    Awaitable<void> run();
    /** Sends an error response instead of run(). @param kind an error that promises no execution */
    Awaitable<void> refuse(ErrorKind kind);
    /**
     * Makes run() end soon: it gives up its search and its attempts and makes no further ones. Only
     * the task of the caller's connection may call it, while run() is in progress.
     */
    void expire();

private:
    using AttemptPtr = std::shared_ptr<UpstreamAttempt>;

    /** How the last attempt failed. */
    struct Failed
    {
        UpstreamOutcome outcome = UpstreamOutcome::NotConnected;
        /** An error response from the backend server itself, which may be relayed. */
        std::optional<HttpResponse> response;
    };

    /** Obtains the route. @returns false if the request was rejected and answered */
    Awaitable<bool> admit();
    Awaitable<void> handle(const ProxyMessage &message);
    Awaitable<void> apply(const SearchEnded &message);
    void apply(const AttemptSent &message);
    Awaitable<void> apply(const EventsReceived &message);
    Awaitable<void> apply(const AttemptEnded &message);
    void apply(const SilenceElapsed &message);
    void apply(const PatienceElapsed &message);
    void apply(const ReplicaMayBeLost &message);

    /** The hedge beside an attempt that is late, but not silent yet. */
    struct LateHedge
    {
        /** Time after which the last attempt that was started may be hedged. */
        std::optional<HedgeDelay> delay;
        /** Whether one was asked for; there is at most one in a request. */
        bool wasAsked = false;
        /** Whether the search in progress is for it. */
        bool isSearched = false;
        /** Its lease; 0 if it was not granted. */
        std::uint64_t lease = 0;
        bool wasSent = false;
        bool hasWon = false;
    };

    /** Asks the dispatcher for a backend server. */
    void startSearch();
    AcquireReplica searchQuery() const;
    /** Gives the search in progress up; its end is not reported any more. */
    void endSearch();
    void startAttempt(ReplicaLease lease);
    /** Ends the request after a search without result, unless an attempt is in progress. */
    Awaitable<void> endWithoutReplica(const ReplicaUnavailable &unavailable);
    /** Decides how the request goes on after an attempt in progress has failed. */
    Awaitable<void> goOnAfter(UpstreamOutcome outcome);
    /** Relays a complete response, or the end of a stream. */
    Awaitable<void> complete(const AttemptEnded &ended);
    Awaitable<void> giveUp();
    Awaitable<void> respondWithError(ErrorKind kind, ExecutionStatus ran, Duration retryAfter);
    /** Gives up the search and all attempts but the one whose response is relayed. */
    void keepOnly(std::uint64_t lease);
    /** Gives up the search and all attempts, which report their ends. */
    void abortAll(AttemptAbort reason);
    /** Ends the request if nothing is in progress for a caller that has gone. */
    void endIfAbandoned(std::string_view cause);
    void watchForSilence();
    void startSilenceTimer(Instant dueAt);
    /** @returns the time after which the attempt in progress is late; empty if that is unknown */
    std::optional<Duration> lateHedgeDelay() const;
    void startLateHedgeSearch();
    /** Waits for silence after a hedge was denied. */
    void endLateHedgeSearch();
    void recordLateHedge(const ReplicaLease &lease);
    void reportSilence();
    /** Starts to wait for the moment shortly before the caller abandons the stream. */
    void watchForPatience();

    void recordEvents(const EventsReceived &message);
    void recordFailedAttempt(const AttemptEnded &ended) const;
    void addReplicaFields(boost::json::object &fields) const;
    void addStreamFields(boost::json::object &fields) const;
    /** Ends run(), and writes the log record and the metrics of the request. */
    void finish(std::string_view outcome, int status, std::string_view cause);

    /** @returns the attempt if it is in progress, otherwise the end of m_attempts */
    std::vector<AttemptPtr>::iterator find(std::uint64_t lease);
    AttemptProgress progress() const;
    /** @returns whether the request may run more than once */
    bool canRetry() const;
    /** @returns the time until the request times out */
    Duration remainingTime() const;

    const RequestContext &m_context;
    HttpRequestPtr m_request;
    ResponseWriter &m_writer;
    Instant m_arrivedAt;
    Instant m_deadline;
    RequestMetadata m_call;
    Admission m_admission;
    /** The shared parts of the prompt. */
    std::vector<PromptPartId> m_promptParts;
    MailboxPtr<ProxyMessage> m_inbox;
    /** Runs while the next part of a response is awaited. */
    Timer m_silenceTimer;
    /** Counts the waits; a message of an earlier one is obsolete. */
    std::uint64_t m_silenceWait = 0;
    /** When the attempt in progress is silent; the wait may end earlier for a late hedge. */
    Instant m_silentAt;
    LateHedge m_lateHedge;
    /** Runs until shortly before the caller abandons the stream. */
    Timer m_patienceTimer;
    /** Counts the waits, which end with each event. */
    std::uint64_t m_patienceWait = 0;
    /** Where the result of the search in progress is awaited; null without one. */
    SearchReply m_searchReply;
    std::uint64_t m_search = 0;
    /** For the attempt that the search in progress is made for. */
    std::shared_ptr<AttemptStart> m_nextStart;
    /** Attempts in progress, the earliest first. */
    std::vector<AttemptPtr> m_attempts;
    /** Number of attempts that have not reported their end, also those that were given up. */
    std::size_t m_unreported = 0;
    /** Leases of attempts that have neither reported that they were sent nor ended. */
    std::set<std::uint64_t> m_unsent;
    /** Lease of the last attempt that was reported as silent; 0 if none was. */
    std::uint64_t m_silentLease = 0;
    std::set<ReplicaId> m_triedReplicas;
    Failed m_lastFailure;
    /** Whether the request must end early because the process ends. */
    bool m_isExpired = false;
    /** Whether the request has its outcome. */
    bool m_isDone = false;
    /** Whether a backend server was lost while the request had not begun on it. */
    bool m_wasLost = false;
    /** Whether any attempt so far has run the request. */
    ExecutionStatus m_ran = ExecutionStatus::NotExecuted;
    /** Number of attempts of which a backend server may have received something. */
    std::uint32_t m_sends = 0;
    /** Invariant: true only after the head of a stream was sent to the caller. */
    bool m_isStreaming = false;
    /** Id of the last event that the caller has; empty if events have none. */
    std::optional<std::uint64_t> m_lastEventId;
    /** Events that were relayed to the caller. */
    std::uint32_t m_relayedEvents = 0;
    /** When the first event was relayed to the caller; empty before. */
    std::optional<Instant> m_firstEventAt;
    std::optional<Instant> m_lastEventAt;
    /** Longest time between two consecutive events so far. */
    Duration m_longestGap {};
    /** Time that was left until a start deadline when the last attempt was sent; empty without one.
     */
    std::optional<Duration> m_startTimeLeft;
    /** Why no backend server was available for a further attempt; empty if one was. */
    std::optional<ErrorKind> m_unavailableFor;
    /** Backend server of the last attempt. */
    ReplicaProcess m_replica;
    /** What its choice was based on. */
    WeightsBasis m_weightsBasis;
};

} // namespace greengageseam
