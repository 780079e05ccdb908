/**
 * The steps of a request: admission, claim, attempts, and errors.
 */
#include "entry/forwarder.h"

#include "net/clock.h"

namespace greengageseam {

namespace {

constexpr std::size_t maxAttempts = 3;
constexpr std::size_t streamCapacity = 4096;
constexpr std::int64_t streamWindowBytes = 128 * 1024;
constexpr std::int64_t chunkOverheadBytes = 64;

} // namespace

Forwarder::Forwarder(const asio::any_io_executor &executor, HttpExchange &exchange,
                     CallerRequest request, ForwarderChannels channels, Duration timeout,
                     std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_exchange(exchange), m_request(std::move(request)),
      m_channels(std::move(channels)), m_deadline(monotonicNow() + timeout),
      m_metrics(std::move(metrics)), m_log(log.withFields({{"request", m_request.id.text()}})),
      m_startedAt(monotonicNow()), m_claim(executor, m_channels.claims),
      m_response(exchange, m_request.id, m_request.isStreamed, m_startedAt, m_metrics)
{
    m_request.routeQuery.deadline = m_deadline;
}

Awaitable<void> Forwarder::run()
{
    const Outcome<RouteGrant> admitted = co_await admit();
    if (const Failure *failure = failureOf(admitted)) {
        AttemptResult rejected {*failure, ExecutionStatus::NotExecuted, false};
        co_await respondWithError(rejected);
        co_return;
    }
    RouteGrant grant = std::get<RouteGrant>(admitted);
    const AccountName account = grant.account;
    const ExecutionStatus ran = co_await runAdmitted(std::move(grant));
    const std::uint32_t charged = m_request.routeQuery.estimatedTokens;
    const std::uint32_t streamed = m_response.streamedTokens();
    const std::uint32_t used =
            ran == ExecutionStatus::NotExecuted ? 0 : (streamed > 0 ? streamed : charged);
    RouterCommand finished = RequestFinished {account, charged, used};
    co_await m_channels.router->send(std::move(finished));
    const Duration elapsed = monotonicNow() - m_startedAt;
    m_metrics->observeSeconds("request_seconds",
                              "Time from the arrival of a request to the end of its response",
                              std::chrono::duration<double>(elapsed).count());
}

/** Claims a non-idempotent request before its first attempt, if it has an idempotency key. */
Awaitable<ExecutionStatus> Forwarder::runAdmitted(RouteGrant grant)
{
    const bool needsClaim = !grant.isIdempotent && !m_request.idempotencyKey.empty();
    if (needsClaim && !co_await claim(grant)) {
        RouterCommand finished =
                AttemptFinished {grant.instance, AttemptVerdict::Neutral, Duration::zero()};
        co_await m_channels.router->send(std::move(finished));
        co_return ExecutionStatus::NotExecuted;
    }
    AttemptResult result = co_await runAttempts(std::move(grant));
    const ExecutionStatus ran = result.ran;
    m_claim.finish(ran, m_response.takeCopy());
    co_await completeResponse(std::move(result));
    co_return ran;
}

/** @returns true if the request may run; if false, the response was already sent to the caller */
Awaitable<bool> Forwarder::claim(RouteGrant grant)
{
    ClaimReply reply = co_await m_claim.acquire(grant.account, m_request, m_deadline);
    if (std::holds_alternative<ClaimGrant>(reply)) {
        m_response.keepCopy();
        co_return true;
    }
    if (auto *stored = std::get_if<StoredResponse>(&reply)) {
        StoredResponse recorded = std::move(*stored);
        co_await replayResponse(std::move(recorded));
        co_return false;
    }
    const auto &rejection = std::get<ClaimRejection>(reply);
    AttemptResult rejected {rejection.failure, rejection.ran, false};
    co_await respondWithError(rejected);
    co_return false;
}

/** Sends the stored response of an earlier request with the same key. */
Awaitable<void> Forwarder::replayResponse(StoredResponse stored)
{
    m_metrics->count("requests_total", "Requests by their outcome", {{"outcome", "replayed"}});
    HttpResponse response {stored.status, stored.contentType, {}, std::move(stored.body)};
    response.headers.push_back({"X-Request-Id", m_request.id.text()});
    response.headers.push_back({"Idempotency-Replayed", "true"});
    co_await m_exchange.respond(std::move(response));
}

Awaitable<Outcome<RouteGrant>> Forwarder::admit()
{
    const auto reply = makeMailbox<Outcome<RouteGrant>>(m_executor, 1);
    if (!m_channels.router->post(AdmitRequest {m_request.routeQuery, reply})) {
        co_return Failure {ErrorKind::Overloaded, "the entry's request queue is full"};
    }
    co_return *(co_await reply->receive());
}

Awaitable<Outcome<RouteGrant>> Forwarder::routeRetry(const RouteGrant &previous)
{
    const auto reply = makeMailbox<Outcome<RouteGrant>>(m_executor, 1);
    RouterCommand command = RouteRetry {m_request.routeQuery, previous, m_triedAgents, reply};
    co_await m_channels.router->send(std::move(command));
    co_return *(co_await reply->receive());
}

Awaitable<AttemptResult> Forwarder::runAttempts(RouteGrant grant)
{
    AttemptResult result;
    while (true) {
        m_triedAgents.insert(grant.instance);
        const Instant startedAt = monotonicNow();
        result = co_await attempt(grant);
        RouterCommand finished =
                AttemptFinished {grant.instance, verdictOf(result), monotonicNow() - startedAt};
        co_await m_channels.router->send(std::move(finished));
        if (!result.failure || result.isCallerDisconnected || !canRetry(result, grant)) {
            break;
        }
        const Outcome<RouteGrant> next = co_await routeRetry(grant);
        if (failureOf(next) != nullptr) {
            break;
        }
        grant = std::get<RouteGrant>(next);
        m_metrics->count("retries_total", "Attempts after the first attempt of a request");
    }
    if (!result.failure) {
        m_log.debug("request.done",
                    {{"agent", grant.instance.text()},
                     {"manifest", grant.manifest.text()},
                     {"bytes", m_response.receivedBytes()}});
    }
    co_return result;
}

Awaitable<void> Forwarder::completeResponse(AttemptResult result)
{
    if (result.isCallerDisconnected) {
        m_log.debug("request.caller-gone");
        m_exchange.abort();
    } else if (result.failure) {
        co_await respondWithError(result);
    } else {
        m_metrics->count("requests_total", "Requests by their outcome", {{"outcome", "answered"}});
    }
}

Awaitable<AttemptResult> Forwarder::attempt(RouteGrant grant)
{
    using namespace asio::experimental::awaitable_operators;
    m_response.reset();
    m_isResponseLost = false;
    const StreamId stream = grant.link.nextStream();
    const auto events = makeMailbox<StreamEvent>(m_executor, streamCapacity);
    OpenMessage open = openMessage(grant);
    const AttemptId attempt = open.attempt;
    if (m_claim.isExpired()) {
        co_return failedAttempt(ErrorKind::PlatformUnavailable,
                                "the claim is too old to start an attempt",
                                ExecutionStatus::NotExecuted);
    }
    const bool isSubscribed = grant.link.subscribe(stream, events);
    if (!isSubscribed || !grant.link.post(stream, std::move(open))) {
        grant.link.unsubscribe(stream);
        co_return failedAttempt(ErrorKind::NoBackendServer, "the link to the agent is down",
                                ExecutionStatus::NotExecuted);
    }
    AttemptResult result;
    if (m_claim.isHeld()) {
        // A claimed request continues after its caller disconnects, so that a caller that repeats
        // it receives its outcome.
        result = co_await readResponse(events, grant.link, stream);
    } else {
        auto completed = co_await (readResponse(events, grant.link, stream)
                                   || m_exchange.waitForDisconnect());
        result = completed.index() == 0 ? std::get<0>(std::move(completed))
                                        : callerDisconnected(ExecutionStatus::Unknown);
    }
    if (result.failure && !result.isCallerDisconnected && result.ran == ExecutionStatus::Unknown
        && m_response.receivedBytes() == 0) {
        result = co_await resolveUnknownOutcome(grant, attempt, std::move(result));
    }
    if (result.failure) {
        grant.link.post(stream, CancelMessage {attempt, grant.agentTimestamp});
        m_log.debug("attempt.failed",
                    {{"attempt", attempt.text()},
                     {"agent", grant.instance.text()},
                     {"ran", textOf(result.ran)},
                     {"reason", result.failure->detail}});
    }
    grant.link.unsubscribe(stream);
    co_return result;
}

/** Queries the agent for the execution status, unless the agent itself reported it as unknown. */
Awaitable<AttemptResult> Forwarder::resolveUnknownOutcome(RouteGrant grant, AttemptId attempt,
                                                          AttemptResult result)
{
    if (!m_isResponseLost) {
        co_return result;
    }
    const ExecutionStatus ran =
            co_await m_channels.queryExecutionStatus(std::move(grant), std::move(attempt));
    if (ran == ExecutionStatus::NotExecuted) {
        result.ran = ExecutionStatus::NotExecuted;
        result.failure->kind = ErrorKind::NoBackendServer;
    }
    co_return result;
}

Awaitable<AttemptResult> Forwarder::readResponse(MailboxPtr<StreamEvent> events,
                                                 PeerLinkHandle link, StreamId stream)
{
    while (true) {
        std::optional<StreamEvent> event = co_await events->receiveWithin(remainingTime());
        if (!event) {
            m_isResponseLost = true;
            co_return failedAttempt(ErrorKind::DeadlineExceeded,
                                    "the response was not complete before the deadline",
                                    ExecutionStatus::Unknown);
        }
        if (const auto *closed = std::get_if<LinkClosed>(&*event)) {
            m_isResponseLost = true;
            co_return failedAttempt(ErrorKind::AnswerBroken, closed->reason,
                                    ExecutionStatus::Unknown);
        }
        auto &message = std::get<Message>(*event);
        if (const auto *failure = std::get_if<FailedMessage>(&message)) {
            co_return AttemptResult {failure->failure, failure->ran, false};
        }
        if (const auto *head = std::get_if<HeadMessage>(&message)) {
            if (classOfStatus(head->status) != StatusClass::Final) {
                co_return failedAttempt(ErrorKind::AnswerBroken,
                                        "the status is not that of a response",
                                        ExecutionStatus::Unknown);
            }
            m_response.setHead(*head);
        } else if (auto *data = std::get_if<DataMessage>(&message)) {
            const auto n = static_cast<std::int64_t>(data->bytes.size());
            const bool isRelayed = co_await m_response.relay(*data);
            if (!isRelayed) {
                co_return callerDisconnected(ExecutionStatus::Unknown);
            }
            link.post(stream, CreditMessage {n + chunkOverheadBytes});
        } else if (const auto *end = std::get_if<EndMessage>(&message)) {
            co_return co_await m_response.finish(*end);
        }
    }
}

OpenMessage Forwarder::openMessage(const RouteGrant &grant) const
{
    OpenMessage open;
    open.attempt = AttemptId(makeUniqueId());
    open.request = m_request.id;
    open.model = m_request.routeQuery.model;
    open.manifest = grant.manifest;
    open.service = m_request.routeQuery.service;
    open.method = m_request.routeQuery.method;
    open.path = m_request.path;
    open.contentType = m_request.contentType;
    open.body = m_request.body;
    open.remainingTime = remainingTime();
    open.priority = static_cast<std::int32_t>(grant.priority);
    open.window = streamWindowBytes;
    open.incarnation = grant.incarnation;
    open.stamp = grant.agentTimestamp;
    m_claim.addTo(open);
    return open;
}

Duration Forwarder::remainingTime() const
{
    const Instant now = monotonicNow();
    return now < m_deadline ? m_deadline - now : Duration::zero();
}

bool Forwarder::canRetry(const AttemptResult &result, const RouteGrant &grant) const
{
    if (m_exchange.hasStarted() || m_triedAgents.size() >= maxAttempts) {
        return false;
    }
    if (remainingTime() == Duration::zero()) {
        return false;
    }
    return result.ran == ExecutionStatus::NotExecuted || grant.isIdempotent;
}

Awaitable<void> Forwarder::respondWithError(const AttemptResult &result)
{
    const std::string kind(descriptorFor(result.failure->kind).name);
    m_metrics->count("requests_total", "Requests by their outcome", {{"outcome", kind}});
    m_log.debug("request.failed", {{"kind", kind}, {"reason", result.failure->detail}});
    if (m_exchange.hasStarted()) {
        m_exchange.abort();
        co_return;
    }
    HttpResponse response = problemResponse(*result.failure, result.ran);
    response.headers.push_back({"X-Request-Id", m_request.id.text()});
    co_await m_exchange.respond(std::move(response));
}

} // namespace greengageseam
