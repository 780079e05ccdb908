/**
 * Carries one request of a caller through its attempts, and its answer back whole or visibly
 * broken.
 */
#pragma once

#include "entry/attemptquery.h"
#include "entry/claimmanager.h"
#include "entry/router.h"
#include "net/httpserver.h"
#include "net/log.h"
#include "net/metrics.h"

#include <memory>
#include <set>

namespace greengageseam {

/** A request that was read and understood. */
struct CallerRequest
{
    RequestId id;
    RouteQuery routeQuery;
    std::string contentType;
    std::string body;
    /** Path as the backend server gets it. */
    std::string path;
    /** The caller's `Idempotency-Key`; empty without one. */
    std::string idempotencyKey;
    /** Whether the caller wants the answer as it is made. */
    bool isStreamed = false;

    auto operator<=>(const CallerRequest &) const = default;
};

/** How an attempt ended, as the entry knows it. */
struct AttemptResult
{
    /** Nothing if the caller has the whole answer. */
    std::optional<Failure> failure;
    ExecutionStatus ran = ExecutionStatus::Unknown;
    /** Whether the caller has gone; then there is nobody to answer. */
    bool isCallerDisconnected = false;

    auto operator<=>(const AttemptResult &) const = default;
};

/** What a forwarder speaks to. */
struct ForwarderChannels
{
    MailboxPtr<RouterCommand> router;
    MailboxPtr<ClaimCommand> claims;
    QueryExecutionStatus queryExecutionStatus;
};

/** The task of one request. It owns the way back to the caller while it runs. */
class Forwarder
{
public:
    /** @param limit longest time for the request */
    Forwarder(const asio::any_io_executor &executor, HttpExchange &exchange, CallerRequest request,
              ForwarderChannels channels, Duration timeout, std::shared_ptr<Metrics> metrics,
              Log log);

    /** Runs the request to its end. */
    Awaitable<void> run();

private:
    Awaitable<Outcome<RouteGrant>> admit();
    Awaitable<Outcome<RouteGrant>> routeRetry(const RouteGrant &previous);
    /** @returns whether the request ran */
    Awaitable<ExecutionStatus> runAdmitted(RouteGrant grant);
    Awaitable<bool> claim(RouteGrant grant);
    Awaitable<ClaimReply> requestClaim(AccountName account);
    Awaitable<void> replayResponse(StoredResponse stored);
    Awaitable<AttemptResult> runAttempts(RouteGrant grant);
    Awaitable<void> completeResponse(AttemptResult result);
    void finishClaim(const AttemptResult &result);
    bool isClaimExpired() const;
    Awaitable<AttemptResult> resolveUnknownOutcome(RouteGrant grant, AttemptId attempt,
                                                   AttemptResult result);
    void resetResponse();
    Awaitable<AttemptResult> attempt(RouteGrant grant);
    Awaitable<AttemptResult> readResponse(MailboxPtr<StreamEvent> events, PeerLinkHandle link,
                                          StreamId stream);
    Awaitable<bool> relayData(DataMessage data);
    Awaitable<AttemptResult> finishResponse(EndMessage end);
    void storeResponse();
    OpenMessage openMessage(const RouteGrant &grant) const;
    Duration remainingTime() const;
    bool canRetry(const AttemptResult &result, const RouteGrant &grant) const;
    Awaitable<void> respondWithError(const AttemptResult &result);

    asio::any_io_executor m_executor;
    HttpExchange &m_exchange;
    CallerRequest m_request;
    ForwarderChannels m_channels;
    Instant m_deadline;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
    Instant m_startedAt;
    std::set<InstanceId> m_triedAgents;
    /** The claim under which the call runs, if it was claimed. */
    std::optional<ClaimGrant> m_claim;
    /** The answer as it is recorded for a caller that repeats the call. */
    std::optional<StoredResponse> m_storedResponse;
    /** The answer so far, unless it is streamed. */
    std::string m_bufferedBody;
    HeadMessage m_head;
    std::int64_t m_receivedBytes = 0;
    std::uint64_t m_checksum = 0;
    /** Whether the attempt ended without a word of the agent. */
    bool m_isResponseLost = false;
    /** Tokens of a streamed answer that were passed on. */
    std::uint32_t m_streamedTokens = 0;
};

} // namespace greengageseam
