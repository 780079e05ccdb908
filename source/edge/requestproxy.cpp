#include "edge/requestproxy.h"

#include "net/clock.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdio>

namespace greengageseam {

namespace {

/** Idle timeout of a stream, after which it resumes on another backend server if it may. */
constexpr auto streamIdleTimeout = std::chrono::milliseconds(1500);
/** Retry-After of a request that another entry can serve at once. */
constexpr auto refusalRetryAfter = std::chrono::milliseconds(200);
/** Share of the remaining time for which the response to a retryable request is awaited. */
constexpr double readTimeoutRatio = 0.4;

Duration scaled(Duration time, double ratio)
{
    return std::chrono::duration_cast<Duration>(time * ratio);
}

/** @returns the time in seconds with three decimal places, as Retry-After has it on the platform */
std::string formatSeconds(Duration time)
{
    std::array<char, 32> buf {};
    std::snprintf(buf.data(), buf.size(), "%.3f", std::chrono::duration<double>(time).count());
    return buf.data();
}

} // namespace

RequestProxy::RequestProxy(const RequestContext &context, const HttpRequest &request,
                           ResponseWriter &writer, Instant arrivedAt)
    : m_context(context), m_request(request), m_writer(writer), m_arrivedAt(arrivedAt),
      m_deadline(arrivedAt), m_call(context.codec.decodeRequestMetadata(request)),
      m_events(m_call.lastEventId), m_promptParts(sharedParts(m_call.promptParts))
{ }

Duration RequestProxy::remainingTime() const
{
    return m_deadline - monotonicNow();
}

bool RequestProxy::canRetry() const
{
    const Route &route = *m_admission.routed.route;
    return isIdempotent(route.kind, route.canResume);
}

/** @returns how long to wait for the response, or for its next event, before the attempt fails */
Duration RequestProxy::readTimeout() const
{
    const bool hasStartDeadline = m_startDeadline && !m_responseStartedAt;
    const Duration defaultTimeout = defaultReadTimeout();
    return hasStartDeadline ? std::min<Duration>(defaultTimeout, *m_startDeadline - monotonicNow())
                            : defaultTimeout;
}

Duration RequestProxy::defaultReadTimeout() const
{
    if (!canRetry() || m_attempts >= m_admission.routed.route->maxAttempts) {
        return remainingTime();
    }
    if (m_admission.routed.route->kind == RouteKind::Streaming) {
        return std::min<Duration>(remainingTime(), streamIdleTimeout);
    }
    return scaled(remainingTime(), readTimeoutRatio);
}

Awaitable<void> RequestProxy::run()
{
    m_writer.onDisconnect([this] {
        if (m_connection) {
            m_connection->abort();
        }
    });
    if (co_await admit()) {
        co_await attemptUntilDone();
    }
    m_writer.onDisconnect({});
}

Awaitable<void> RequestProxy::refuse(ErrorKind kind)
{
    co_await respondWithError(kind, ExecutionStatus::NotExecuted, refusalRetryAfter);
}

void RequestProxy::expire()
{
    if (m_isExpired) {
        return;
    }
    m_isExpired = true;
    if (m_acquisition) {
        m_acquisition->post(ReplicaUnavailable {ErrorKind::Draining, refusalRetryAfter});
        m_acquisition->close();
    }
    if (m_connection) {
        m_connection->abort();
    }
}

Awaitable<bool> RequestProxy::admit()
{
    const auto reply = makeMailbox<Outcome<Admission>>(m_context.executor, 1);
    AdmissionQuery query {m_request.header("Host").value_or(std::string()), m_request.target,
                          m_call.apiKey, m_call.remaining, reply};
    if (!m_context.dispatcher->post(std::move(query))) {
        co_await respondWithError(ErrorKind::Overloaded, ExecutionStatus::NotExecuted,
                                  std::chrono::milliseconds(500));
        co_return false;
    }
    std::optional<Outcome<Admission>> answer = co_await reply->receive();
    const Failure *failure = answer ? failureOf(*answer) : nullptr;
    if (!answer || failure != nullptr) {
        co_await respondWithError(failure == nullptr ? ErrorKind::Internal : failure->kind,
                                  ExecutionStatus::NotExecuted, std::chrono::milliseconds(500));
        co_return false;
    }
    m_admission = std::get<Admission>(std::move(*answer));
    const Route &route = *m_admission.routed.route;
    m_deadline = m_arrivedAt + std::min(m_call.remaining.value_or(route.timeout), route.timeout);
    co_return true;
}

Awaitable<void> RequestProxy::attemptUntilDone()
{
    const Route &route = *m_admission.routed.route;
    AttemptResult last;
    while (true) {
        const auto acquired = co_await acquireReplica();
        if (const auto *unavailable = std::get_if<ReplicaUnavailable>(&acquired)) {
            const bool isQuarantined = unavailable->kind == ErrorKind::PromptQuarantined
                    && m_ran == ExecutionStatus::NotExecuted;
            m_unavailableFor = unavailable->kind;
            if ((m_attempts > 0 && !isQuarantined) || m_isStreaming) {
                co_await giveUp(last);
            } else {
                co_await respondWithError(unavailable->kind, m_ran, unavailable->retryAfter);
            }
            co_return;
        }
        const auto &lease = std::get<ReplicaLease>(acquired);
        m_unavailableFor.reset();
        m_responseStartedAt.reset();
        m_replica = processOf(lease.replica);
        m_weightsBasis = lease.weightsBasis;
        m_startTimeLeft.reset();
        m_lease = lease.id;
        if (m_writer.isDisconnected()) {
            releaseLease(lease, AttemptResult {UpstreamOutcome::DeadlineReached, {}, {}});
            recordOutcome("caller-gone", 0, "before an attempt");
            co_return;
        }
        last = co_await sendAttempt(lease);
        m_ran = combine(m_ran, outcomeInfo(last.end).ran);
        releaseLease(lease, last);
        recordLostAttempt(lease, last);
        if (m_writer.isDisconnected()) {
            recordOutcome("caller-gone", 0, outcomeInfo(last.end).name);
            co_return;
        }
        m_context.metrics->count("sends_total", "Upstream attempts, by how they ended",
                                 {{"end", std::string(outcomeInfo(last.end).name)}});
        if (last.end == UpstreamOutcome::Answered) {
            co_return;
        }
        recordFailedAttempt(lease, last.end);
        const bool isResumable = !m_isStreaming || m_events.lastId();
        const bool isAllowed = mayRetry(last.end, route.kind, route.canResume) && isResumable
                && m_attempts < route.maxAttempts && remainingTime() > minAttemptTime
                && !m_isExpired;
        if (!isAllowed) {
            co_await giveUp(last);
            co_return;
        }
        m_triedReplicas.insert(lease.replica.id);
    }
}

Awaitable<std::variant<ReplicaLease, ReplicaUnavailable>> RequestProxy::acquireReplica()
{
    if (m_isExpired) {
        co_return ReplicaUnavailable {ErrorKind::Draining, refusalRetryAfter};
    }
    const Route &route = *m_admission.routed.route;
    const auto reply =
            makeMailbox<std::variant<ReplicaLease, ReplicaUnavailable>>(m_context.executor, 1);
    AcquireReplica query;
    query.attemptId = m_call.attemptId;
    query.requirements.service = m_admission.service;
    query.requirements.tried = m_triedReplicas;
    query.requirements.latencyObjective = route.latencyObjective;
    query.requirements.promptTokens = static_cast<double>(m_call.promptTokens);
    query.isRetry = m_attempts > 0;
    // Without an attempt id, a late response to an earlier request could not be told apart.
    query.allowsPooledConnection = canRetry() && !m_call.attemptId.empty();
    const bool isLikelyRetry = m_arrivedAt - m_admission.firstAttemptAt > route.latencyObjective;
    WaitingRequest waiting;
    waiting.latencyObjective = route.latencyObjective;
    waiting.remaining = remainingTime();
    waiting.mayReturn = !isLikelyRetry && m_ran == ExecutionStatus::NotExecuted;
    query.wait = queueWait(waiting);
    query.waitsSince = monotonicNow();
    query.deadline = m_deadline;
    query.promptParts = m_promptParts;
    query.wasLost = m_wasLost;
    query.lateAfter = m_admission.firstAttemptAt + route.latencyObjective;
    query.onStartExpired = makeStartExpiry();
    query.reply = reply;
    if (m_context.dispatcher->post(std::move(query))) {
        m_acquisition = reply;
        auto answer = co_await reply->receive();
        m_acquisition.reset();
        if (answer) {
            co_return std::move(*answer);
        }
    }
    co_return ReplicaUnavailable {ErrorKind::Overloaded, std::chrono::milliseconds(500)};
}

/** Ends the request after its last upstream attempt has failed. */
Awaitable<void> RequestProxy::giveUp(const AttemptResult &result)
{
    if (m_isStreaming) {
        m_writer.abortStream();
        recordOutcome("broken-off", 0, outcomeInfo(result.end).name);
        co_return;
    }
    if (result.response) {
        const int status = result.response->status;
        const std::vector<HttpHeader> headers = result.response->headers;
        std::string body = result.response->body;
        co_await m_writer.respond(status, headers, std::move(body));
        recordOutcome("failed-by-replica", status, outcomeInfo(result.end).name);
        co_return;
    }
    co_await respondWithError(errorAfter(result.end, m_ran), m_ran, std::chrono::milliseconds(200));
}

Awaitable<void> RequestProxy::respondWithError(ErrorKind kind, ExecutionStatus ran,
                                               Duration retryAfter)
{
    const ErrorDescriptor &answer = descriptorFor(kind);
    HttpResponse problem = problemResponse(Failure {kind, std::string(answer.title)}, ran);
    std::vector<HttpHeader> fields {{"Content-Type", problem.contentType}};
    if (answer.ran == ExecutionStatus::NotExecuted && answer.retry == RetryAdvice::Later) {
        fields.push_back({"Retry-After", formatSeconds(retryAfter)});
    }
    co_await m_writer.respond(problem.status, fields, std::move(problem.body));
    recordOutcome("refused", problem.status, answer.name);
}

} // namespace greengageseam
