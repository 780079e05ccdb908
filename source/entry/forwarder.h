/**
 * Forwards one request of a caller to agents, with retries, and relays the response. The caller
 * receives either the complete response or an error or aborted connection, never a truncated
 * response that looks complete.
 */
#pragma once

#include "entry/attemptquery.h"
#include "entry/attemptresult.h"
#include "entry/callerrequest.h"
#include "entry/requestclaim.h"
#include "entry/responserelay.h"
#include "entry/router.h"
#include "net/httpserver.h"
#include "net/log.h"
#include "net/metrics.h"

#include <memory>
#include <set>

namespace greengageseam {

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
    Awaitable<void> replayResponse(StoredResponse stored);
    Awaitable<AttemptResult> runAttempts(RouteGrant grant);
    Awaitable<void> completeResponse(AttemptResult result);
    Awaitable<AttemptResult> resolveUnknownOutcome(RouteGrant grant, AttemptId attempt,
                                                   AttemptResult result);
    Awaitable<AttemptResult> attempt(RouteGrant grant);
    Awaitable<AttemptResult> readResponse(MailboxPtr<StreamEvent> events, PeerLinkHandle link,
                                          StreamId stream);
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
    RequestClaim m_claim;
    ResponseRelay m_response;
    /** True if the attempt ended without an outcome from the agent. */
    bool m_isResponseLost = false;
};

} // namespace greengageseam
