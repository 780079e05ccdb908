#include "edge/requestproxy.h"

#include "net/clock.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace greengageseam {

namespace {

/** Retry-After of a request that another entry can serve at once. */
constexpr auto refusalRetryAfter = std::chrono::milliseconds(200);
/** Retry-After of a request that this entry is too busy to look at. */
constexpr auto busyRetryAfter = std::chrono::milliseconds(500);
/** An attempt that has more messages than this waits for the caller to read. */
constexpr std::size_t inboxCapacity = 4;

/** @returns the time in seconds with three decimal places, as Retry-After has it on the platform */
std::string formatSeconds(Duration time)
{
    std::array<char, 32> buf {};
    std::snprintf(buf.data(), buf.size(), "%.3f", std::chrono::duration<double>(time).count());
    return buf.data();
}

} // namespace

RequestProxy::RequestProxy(const RequestContext &context, HttpRequestPtr request,
                           ResponseWriter &writer, Instant arrivedAt)
    : m_context(context), m_request(std::move(request)), m_writer(writer), m_arrivedAt(arrivedAt),
      m_deadline(arrivedAt), m_call(context.codec.decodeRequestMetadata(*m_request)),
      m_promptParts(sharedParts(m_call.promptParts)),
      m_inbox(makeMailbox<ProxyMessage>(context.executor, inboxCapacity)),
      m_silenceTimer(context.executor), m_patienceTimer(context.executor),
      m_lastEventId(m_call.lastEventId)
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

Awaitable<void> RequestProxy::run()
{
    m_writer.onDisconnect([this] { abortAll(AttemptAbort::CallerGone); });
    const bool isAdmitted = co_await admit();
    if (isAdmitted) {
        startSearch();
    }
    while (isAdmitted && (!m_isDone || m_unreported > 0)) {
        const std::optional<ProxyMessage> message = co_await m_inbox->receive();
        if (!message) {
            break;
        }
        co_await handle(*message);
    }
    m_writer.onDisconnect({});
    m_silenceTimer.cancel();
    m_patienceTimer.cancel();
    m_inbox->close();
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
    abortAll(AttemptAbort::ProcessEnds);
}

Awaitable<bool> RequestProxy::admit()
{
    const auto reply = makeMailbox<Outcome<Admission>>(m_context.executor, 1);
    AdmissionQuery query {m_call.attemptId,  m_request->header("Host").value_or(std::string()),
                          m_request->target, m_call.apiKey,
                          m_call.remaining,  reply};
    if (!m_context.dispatcher->post(std::move(query))) {
        co_await respondWithError(ErrorKind::Overloaded, ExecutionStatus::NotExecuted,
                                  busyRetryAfter);
        co_return false;
    }
    std::optional<Outcome<Admission>> answer = co_await reply->receive();
    const Failure *failure = answer ? failureOf(*answer) : nullptr;
    if (!answer || failure != nullptr) {
        co_await respondWithError(failure == nullptr ? ErrorKind::Internal : failure->kind,
                                  ExecutionStatus::NotExecuted, busyRetryAfter);
        co_return false;
    }
    m_admission = std::get<Admission>(std::move(*answer));
    const Route &route = *m_admission.routed.route;
    m_deadline = m_arrivedAt + std::min(m_call.remaining.value_or(route.timeout), route.timeout);
    co_return true;
}

Awaitable<void> RequestProxy::handle(const ProxyMessage &message)
{
    if (const auto *events = std::get_if<EventsReceived>(&message)) {
        co_await apply(*events);
    } else if (const auto *ended = std::get_if<AttemptEnded>(&message)) {
        co_await apply(*ended);
    } else if (const auto *search = std::get_if<SearchEnded>(&message)) {
        co_await apply(*search);
    } else if (const auto *sent = std::get_if<AttemptSent>(&message)) {
        apply(*sent);
    } else if (const auto *silence = std::get_if<SilenceElapsed>(&message)) {
        apply(*silence);
    } else if (const auto *patience = std::get_if<PatienceElapsed>(&message)) {
        apply(*patience);
    } else {
        apply(std::get<ReplicaMayBeLost>(message));
    }
}

Awaitable<void> RequestProxy::apply(const SearchEnded &message)
{
    if (message.search != m_search || !m_searchReply) {
        co_return;
    }
    m_searchReply.reset();
    const bool wasForLateHedge = std::exchange(m_lateHedge.isSearched, false);
    if (m_writer.isDisconnected()) {
        endIfAbandoned("before an attempt");
        co_return;
    }
    if (message.lease && !m_isExpired) {
        startAttempt(message.lease->take());
        co_return;
    }
    if (wasForLateHedge) {
        endLateHedgeSearch();
        co_return;
    }
    const ErrorKind kind = m_isExpired ? ErrorKind::Draining : ErrorKind::Overloaded;
    const Duration retryAfter = m_isExpired ? refusalRetryAfter : busyRetryAfter;
    const ReplicaUnavailable given =
            message.unavailable.value_or(ReplicaUnavailable {kind, retryAfter});
    co_await endWithoutReplica(given);
}

Awaitable<void> RequestProxy::endWithoutReplica(const ReplicaUnavailable &unavailable)
{
    m_unavailableFor = unavailable.kind;
    if (!m_attempts.empty()) {
        watchForSilence();
        co_return;
    }
    const bool isQuarantined = unavailable.kind == ErrorKind::PromptQuarantined
            && m_ran == ExecutionStatus::NotExecuted;
    if ((m_sends > 0 && !isQuarantined) || m_isStreaming) {
        co_await giveUp();
    } else {
        co_await respondWithError(unavailable.kind, m_ran, unavailable.retryAfter);
    }
}

Awaitable<void> RequestProxy::apply(const EventsReceived &message)
{
    if (find(message.lease) == m_attempts.end() || m_writer.isDisconnected()) {
        co_return;
    }
    keepOnly(message.lease);
    m_silenceTimer.cancel();
    recordEvents(message);
    std::string bytes = message.events.bytes;
    if (m_isStreaming) {
        co_await m_writer.writeChunk(std::move(bytes));
    } else {
        m_isStreaming = true;
        const std::vector<HttpHeader> fields = m_context.codec.forwardedFields(*message.head);
        co_await m_writer.startStream(message.head->status, fields, std::move(bytes));
    }
    watchForSilence();
    watchForPatience();
}

Awaitable<void> RequestProxy::apply(const AttemptEnded &message)
{
    --m_unreported;
    m_unsent.erase(message.lease);
    const auto it = find(message.lease);
    const bool wasInProgress = it != m_attempts.end();
    if (wasInProgress) {
        m_attempts.erase(it);
    }
    const bool isBodyAfterStream = m_isStreaming && message.response.has_value()
            && message.outcome == UpstreamOutcome::Answered;
    const UpstreamOutcome outcome = isBodyAfterStream ? UpstreamOutcome::Garbled : message.outcome;
    if (message.wasSent) {
        m_ran = combine(m_ran, outcomeInfo(outcome).ran);
    }
    if (outcome == UpstreamOutcome::Withdrawn) {
        m_triedReplicas.erase(message.replica);
    }
    if (m_writer.isDisconnected()) {
        endIfAbandoned(outcomeInfo(outcome).name);
        co_return;
    }
    m_context.metrics->count("sends_total", "Upstream attempts, by how they ended",
                             {{"end", std::string(outcomeInfo(outcome).name)}});
    if (outcome == UpstreamOutcome::Answered && wasInProgress) {
        co_await complete(message);
        co_return;
    }
    recordFailedAttempt(message);
    if (!wasInProgress || m_isDone) {
        co_return;
    }
    m_wasLost = m_wasLost || message.wasLost;
    if (message.response || !m_lastFailure.response) {
        m_lastFailure = {outcome, message.response};
    }
    co_await goOnAfter(outcome);
}

Awaitable<void> RequestProxy::goOnAfter(UpstreamOutcome outcome)
{
    if (!m_attempts.empty()) {
        watchForSilence();
        co_return;
    }
    const Route &route = *m_admission.routed.route;
    const bool isAllowed = mayRetry(outcome, route.kind, route.canResume)
            && allowsFurtherAttempt(route, progress()) && !m_isExpired;
    // A search that was begun for a hedge would end sooner than one that the request depends on.
    endSearch();
    if (isAllowed) {
        startSearch();
    } else {
        co_await giveUp();
    }
}

Awaitable<void> RequestProxy::complete(const AttemptEnded &ended)
{
    keepOnly(ended.lease);
    m_silenceTimer.cancel();
    if (ended.response) {
        co_await m_writer.respond(ended.response->status, ended.response->headers,
                                  ended.response->body);
        finish("answered", ended.response->status, {});
        co_return;
    }
    if (!m_isStreaming) {
        m_isStreaming = true;
        const std::vector<HttpHeader> fields = m_context.codec.forwardedFields(*ended.streamHead);
        std::string empty;
        co_await m_writer.startStream(ended.streamHead->status, fields, std::move(empty));
    }
    co_await m_writer.endStream();
    finish("answered", ended.streamHead->status, {});
}

/** Ends the request after its last upstream attempt has failed. */
Awaitable<void> RequestProxy::giveUp()
{
    const std::string_view cause = outcomeInfo(m_lastFailure.outcome).name;
    if (m_isStreaming) {
        m_writer.abortStream();
        finish("broken-off", 0, cause);
        co_return;
    }
    if (m_lastFailure.response) {
        const HttpResponse &response = *m_lastFailure.response;
        co_await m_writer.respond(response.status, response.headers, response.body);
        finish("failed-by-replica", response.status, cause);
        co_return;
    }
    co_await respondWithError(errorAfter(m_lastFailure.outcome, m_ran), m_ran, refusalRetryAfter);
}

void RequestProxy::endIfAbandoned(std::string_view cause)
{
    if (m_attempts.empty() && !m_searchReply && !m_isDone) {
        finish("caller-gone", 0, cause);
    }
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
    co_await m_writer.respond(problem.status, fields, problem.body);
    finish("refused", problem.status, answer.name);
}

} // namespace greengageseam
