/**
 * Forwards one request of a caller to agents, with retries, and relays the response. The caller
 * receives either the complete response or an error or aborted connection, never a truncated
 * response that looks complete.
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

/** A parsed and validated request of a caller. */
struct CallerRequest
{
    RequestId id;
    RouteQuery routeQuery;
    std::string contentType;
    std::string body;
    /** Path and query string as sent to the backend server. */
    std::string path;
    /** The caller's `Idempotency-Key`; empty if the request has none. */
    std::string idempotencyKey;
    /** True if the caller requested a streamed response. */
    bool isStreamed = false;

    auto operator<=>(const CallerRequest &) const = default;
};

/** Result of an attempt as known to the entry. */
struct AttemptResult
{
    /** Empty if the caller received the complete response. */
    std::optional<Failure> failure;
    ExecutionStatus ran = ExecutionStatus::Unknown;
    /** True if the caller has disconnected; no response can be sent then. */
    bool isCallerDisconnected = false;

    auto operator<=>(const AttemptResult &) const = default;
};

/** Mailboxes and hooks that a Forwarder uses. */
struct ForwarderChannels
{
    MailboxPtr<RouterCommand> router;
    MailboxPtr<ClaimCommand> claims;
    QueryExecutionStatus queryExecutionStatus;
};

/** The task of one request. Owns the HTTP exchange with the caller while it runs. */
class Forwarder
{
public:
    /** @param timeout time limit for the request, from now to the end of its response */
    Forwarder(const asio::any_io_executor &executor, HttpExchange &exchange, CallerRequest request,
              ForwarderChannels channels, Duration timeout, std::shared_ptr<Metrics> metrics,
              Log log);

    /** Runs the request, and returns when its response was sent or aborted. */
    Awaitable<void> run();

private:
    Awaitable<Outcome<RouteGrant>> admit();
    Awaitable<Outcome<RouteGrant>> routeRetry(const RouteGrant &previous);
    /** @returns whether the request was executed */
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
    /** The claim of the request; empty if it was not claimed. */
    std::optional<ClaimGrant> m_claim;
    /** The response to store in the claim log, for a caller that repeats the request. */
    std::optional<StoredResponse> m_storedResponse;
    /** The response body received so far, unless the response is streamed. */
    std::string m_bufferedBody;
    HeadMessage m_head;
    std::int64_t m_receivedBytes = 0;
    std::uint64_t m_checksum = 0;
    /** True if the attempt ended without an outcome from the agent. */
    bool m_isResponseLost = false;
    /** Number of tokens of a streamed response that were relayed. */
    std::uint32_t m_streamedTokens = 0;
};

} // namespace greengageseam
