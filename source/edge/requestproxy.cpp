#include "edge/requestproxy.h"

#include "net/clock.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdio>

namespace greengageseam {

namespace {

/** Retry-After of a request that another entry can serve at once. */
constexpr auto refusalRetryAfter = std::chrono::milliseconds(200);
/** Retry-After of a request that this entry is too busy to look at. */
constexpr auto busyRetryAfter = std::chrono::milliseconds(500);
/** Time before callers abandon a stream at which its servers are looked at. */
constexpr auto patienceMargin = std::chrono::milliseconds(200);
/** A timer that is handled later than this shows that the process was not running. */
constexpr auto maxTimerDelay = std::chrono::milliseconds(100);
/** An attempt that has more messages than this waits for the caller to read. */
constexpr std::size_t inboxCapacity = 4;

/** @returns the time in seconds with three decimal places, as Retry-After has it on the platform */
std::string formatSeconds(Duration time)
{
    std::array<char, 32> buf {};
    std::snprintf(buf.data(), buf.size(), "%.3f", std::chrono::duration<double>(time).count());
    return buf.data();
}

/** Passes the end of a search on to the proxy that has started it. */
Awaitable<void> forwardSearch(std::uint64_t search, double promptTokens, SearchReply reply,
                              MailboxPtr<DispatchCommand> dispatcher,
                              MailboxPtr<ProxyMessage> inbox)
{
    SearchEnded ended = co_await awaitSearch(search, promptTokens, reply, dispatcher);
    ProxyMessage message = std::move(ended);
    co_await inbox->send(std::move(message));
}

} // namespace

RequestProxy::RequestProxy(const RequestContext &context, const HttpRequest &request,
                           ResponseWriter &writer, Instant arrivedAt)
    : m_context(context), m_request(request), m_writer(writer), m_arrivedAt(arrivedAt),
      m_deadline(arrivedAt), m_call(context.codec.decodeRequestMetadata(request)),
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

AttemptProgress RequestProxy::progress() const
{
    AttemptProgress progress;
    progress.sent = m_sends + static_cast<std::uint32_t>(m_unsent.size());
    progress.inProgress = static_cast<std::uint32_t>(m_attempts.size());
    progress.hasStarted = m_isStreaming;
    progress.hasEventId = m_lastEventId.has_value();
    progress.remaining = remainingTime();
    return progress;
}

std::vector<RequestProxy::AttemptPtr>::iterator RequestProxy::find(std::uint64_t lease)
{
    return std::find_if(m_attempts.begin(), m_attempts.end(),
                        [lease](const AttemptPtr &it) { return it->lease() == lease; });
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

void RequestProxy::abortAll(AttemptAbort reason)
{
    if (m_searchReply) {
        m_searchReply->close();
    }
    for (const AttemptPtr &it : m_attempts) {
        it->abort(reason);
    }
}

Awaitable<bool> RequestProxy::admit()
{
    const auto reply = makeMailbox<Outcome<Admission>>(m_context.executor, 1);
    AdmissionQuery query {m_request.header("Host").value_or(std::string()), m_request.target,
                          m_call.apiKey, m_call.remaining, reply};
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

void RequestProxy::startSearch()
{
    ++m_search;
    m_searchReply =
            makeMailbox<std::variant<ReplicaLease, ReplicaUnavailable>>(m_context.executor, 1);
    m_nextStart = std::make_shared<AttemptStart>();
    if (m_isExpired || !m_context.dispatcher->post(searchQuery())) {
        m_searchReply->close();
    }
    asio::co_spawn(m_context.executor,
                   forwardSearch(m_search, static_cast<double>(m_call.promptTokens), m_searchReply,
                                 m_context.dispatcher, m_inbox),
                   asio::detached);
}

AcquireReplica RequestProxy::searchQuery() const
{
    const Route &route = *m_admission.routed.route;
    AcquireReplica query;
    query.attemptId = m_call.attemptId;
    query.requirements.service = m_admission.service;
    query.requirements.tried = m_triedReplicas;
    query.requirements.latencyObjective = route.latencyObjective;
    query.requirements.promptTokens = static_cast<double>(m_call.promptTokens);
    query.isRetry = m_sends > 0;
    query.isHedge = !m_attempts.empty();
    // Without an attempt id, a late response to an earlier request could not be told apart.
    query.allowsPooledConnection = canRetry() && !m_call.attemptId.empty();
    const bool isLikelyRetry = m_arrivedAt - m_admission.firstAttemptAt > route.latencyObjective;
    WaitingRequest waiting;
    waiting.latencyObjective = route.latencyObjective;
    waiting.remaining = remainingTime();
    waiting.mayReturn = !isLikelyRetry && m_ran == ExecutionStatus::NotExecuted && !query.isHedge;
    query.wait = queueWait(waiting);
    query.waitsSince = monotonicNow();
    query.deadline = m_deadline;
    query.promptParts = m_promptParts;
    query.wasLost = m_wasLost;
    query.lateAfter = m_admission.firstAttemptAt + route.latencyObjective;
    query.onStartExpired = makeStartExpiry(m_nextStart);
    query.reply = m_searchReply;
    return query;
}

void RequestProxy::endSearch()
{
    if (m_searchReply) {
        m_searchReply->close();
        m_searchReply.reset();
    }
}

Awaitable<void> RequestProxy::apply(const SearchEnded &message)
{
    if (message.search != m_search || !m_searchReply) {
        co_return;
    }
    m_searchReply.reset();
    if (m_writer.isDisconnected()) {
        endIfAbandoned("before an attempt");
        co_return;
    }
    if (message.lease && !m_isExpired) {
        startAttempt(message.lease->take());
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

void RequestProxy::startAttempt(ReplicaLease lease)
{
    m_unavailableFor.reset();
    m_replica = processOf(lease.replica);
    m_weightsBasis = lease.weightsBasis;
    m_startTimeLeft.reset();
    m_triedReplicas.insert(lease.replica.id);
    AttemptOptions options;
    options.lease = std::move(lease);
    options.attemptId = m_call.attemptId;
    options.promptTokens = static_cast<double>(m_call.promptTokens);
    options.promptParts = m_promptParts;
    if (m_admission.routed.account != nullptr) {
        options.account = m_admission.routed.account->name;
    }
    options.deadline = m_deadline;
    options.lastEventId = m_lastEventId;
    options.isFirst = m_sends == 0;
    options.isIdempotent = canRetry();
    options.isResumption = m_isStreaming;
    options.start = m_nextStart;
    m_attempts.push_back(
            std::make_shared<UpstreamAttempt>(m_context, m_request, std::move(options), m_inbox));
    ++m_unreported;
    m_unsent.insert(m_attempts.back()->lease());
    m_attempts.back()->start();
}

void RequestProxy::apply(const AttemptSent &message)
{
    ++m_sends;
    m_unsent.erase(message.lease);
    m_startTimeLeft = message.startTimeLeft;
    watchForSilence();
    if (m_patienceWait == 0) {
        watchForPatience();
    }
}

/** Starts to wait for the next part of a response, if the request may be hedged without one. */
void RequestProxy::watchForSilence()
{
    m_silenceTimer.cancel();
    ++m_silenceWait;
    const Route &route = *m_admission.routed.route;
    if (m_isDone || m_isExpired || m_searchReply || !allowsHedge(route, progress())) {
        return;
    }
    m_silenceTimer.expires_after(silenceTimeout(route.kind, remainingTime()));
    m_silenceTimer.async_wait(
            [inbox = m_inbox, wait = m_silenceWait,
             dueAt = m_silenceTimer.expiry()](const boost::system::error_code &ec) {
                if (!ec) {
                    inbox->post(SilenceElapsed {wait, dueAt});
                }
            });
}

void RequestProxy::apply(const SilenceElapsed &message)
{
    const Route &route = *m_admission.routed.route;
    const bool isCurrent = message.wait == m_silenceWait && !m_isDone && !m_isExpired;
    if (!isCurrent || m_searchReply || m_writer.isDisconnected()
        || !allowsHedge(route, progress())) {
        return;
    }
    if (monotonicNow() - message.dueAt > maxTimerDelay) {
        // This process was not running, so parts of the response may wait to be read.
        watchForSilence();
        return;
    }
    reportSilence();
    startSearch();
}

/** Tells the dispatcher once that the backend server of the attempt in progress is silent. */
void RequestProxy::reportSilence()
{
    const std::uint64_t lease = m_attempts.front()->lease();
    if (lease != m_silentLease) {
        m_silentLease = lease;
        m_context.dispatcher->post(ReplicaSilent {m_attempts.front()->replica()});
    }
}

void RequestProxy::watchForPatience()
{
    m_patienceTimer.cancel();
    ++m_patienceWait;
    const Route &route = *m_admission.routed.route;
    if (m_isDone || route.kind != RouteKind::Streaming || !canRetry()) {
        return;
    }
    const Instant waitsSince = m_lastEventAt.value_or(m_arrivedAt);
    const Instant dueAt = waitsSince + callerPatience(route) - patienceMargin;
    m_patienceTimer.expires_at(std::max(dueAt, monotonicNow() + maxTimerDelay));
    m_patienceTimer.async_wait(
            [inbox = m_inbox, wait = m_patienceWait,
             due = m_patienceTimer.expiry()](const boost::system::error_code &ec) {
                if (!ec) {
                    inbox->post(PatienceElapsed {wait, due});
                }
            });
}

/** Asks which of the attempts in progress have lost their backend servers. */
void RequestProxy::apply(const PatienceElapsed &message)
{
    if (message.wait != m_patienceWait || m_isDone) {
        return;
    }
    if (monotonicNow() - message.dueAt > maxTimerDelay) {
        // This process was not running, so parts of the response may wait to be read.
        watchForPatience();
        return;
    }
    for (const AttemptPtr &it : m_attempts) {
        const ReplicaMayBeLost lost {message.wait, it->lease()};
        m_context.dispatcher->post(
                LossQuery {it->replica(), [inbox = m_inbox, lost] { inbox->post(lost); }});
    }
}

/** Answers the caller while it still waits, and no longer holds on to a server that stands still.
 */
void RequestProxy::apply(const ReplicaMayBeLost &message)
{
    const auto it = find(message.lease);
    if (message.wait == m_patienceWait && it != m_attempts.end()) {
        (*it)->abort(AttemptAbort::Lost);
    }
}

void RequestProxy::keepOnly(std::uint64_t lease)
{
    endSearch();
    for (const AttemptPtr &it : m_attempts) {
        if (it->lease() != lease) {
            it->abort(it->lease() < lease ? AttemptAbort::Superseded : AttemptAbort::Withdrawn);
        }
    }
    std::erase_if(m_attempts, [lease](const AttemptPtr &it) { return it->lease() != lease; });
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
        std::string body = ended.response->body;
        co_await m_writer.respond(ended.response->status, ended.response->headers, std::move(body));
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
        std::string body = response.body;
        co_await m_writer.respond(response.status, response.headers, std::move(body));
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
    co_await m_writer.respond(problem.status, fields, std::move(problem.body));
    finish("refused", problem.status, answer.name);
}

} // namespace greengageseam
