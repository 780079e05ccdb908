#include "edge/requestrun.h"

#include "net/clock.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdio>

namespace greengageseam {

namespace {

/** Short enough that another backend server can be tried and still respond in time. */
constexpr auto connectLimit = std::chrono::milliseconds(300);
/** Larger bodies are sent concurrently with reading the response, which may arrive early. */
constexpr std::size_t eagerBody = 16 * 1024;
/** Idle timeout of a stream, after which it resumes on another backend server if it may. */
constexpr auto streamSilence = std::chrono::milliseconds(1500);
/** Share of the latency target for which a request waits for a backend server with a free slot. */
constexpr double waitShare = 0.3;
/** Share of its remaining time for which a retried request waits for a usable backend server. */
constexpr double returnedWaitShare = 0.5;
/** Callers abandon a stream that has not started after about 2 s. */
constexpr auto longestWaitForAny = std::chrono::milliseconds(1200);
/** Request-Priority of a request that will miss its latency target; others have the default 5. */
constexpr std::uint32_t lateUrgency = 7;
/** Share of the remaining time for which the response to a retryable request is awaited. */
constexpr double silenceShare = 0.4;

Duration scaled(Duration time, double share)
{
    return std::chrono::duration_cast<Duration>(time * share);
}

/** @returns the time in seconds with three decimal places, as Retry-After has it here */
std::string secondsText(Duration time)
{
    std::array<char, 32> buf {};
    std::snprintf(buf.data(), buf.size(), "%.3f", std::chrono::duration<double>(time).count());
    return buf.data();
}

ReplicaVerdict verdictOf(SendEnd end)
{
    switch (end) {
    case SendEnd::Answered:
        return ReplicaVerdict::Answered;
    case SendEnd::Rejected:
        return ReplicaVerdict::Full;
    case SendEnd::Misdirected:
        return ReplicaVerdict::Misdirected;
    case SendEnd::DeadlineReached:
        return ReplicaVerdict::Neutral;
    default:
        return ReplicaVerdict::Failed;
    }
}

/** Sends a request with a large body, concurrently with the task that reads the response. */
Awaitable<void> sendBeside(HttpConnectionPtr connection, std::string text, Duration limit)
{
    co_await connection->send(std::move(text), limit);
}

} // namespace

RequestRun::RequestRun(const RequestContext &context, const HttpRequest &request,
                       CallerChannel &caller, Instant arrivedAt)
    : m_context(context), m_request(request), m_caller(caller), m_arrivedAt(arrivedAt),
      m_deadline(arrivedAt), m_call(context.codec.decodeCall(request)), m_events(m_call.lastEventId)
{ }

Duration RequestRun::left() const
{
    return m_deadline - monotonicNow();
}

bool RequestRun::mayRepeat() const
{
    const Route &route = *m_admission.routed.route;
    return isRepeatable(route.kind, route.canResume);
}

/** @returns how long to wait for the response, or for its next event, before the attempt fails */
Duration RequestRun::silenceLimit() const
{
    const bool hasToBegin = m_beginBy && !m_answeredAt;
    const Duration usual = usualSilenceLimit();
    return hasToBegin ? std::min<Duration>(usual, *m_beginBy - monotonicNow()) : usual;
}

Duration RequestRun::usualSilenceLimit() const
{
    if (!mayRepeat() || m_sends >= m_admission.routed.route->maxAttempts) {
        return left();
    }
    if (m_admission.routed.route->kind == RouteKind::Streaming) {
        return std::min<Duration>(left(), streamSilence);
    }
    return scaled(left(), silenceShare);
}

Awaitable<void> RequestRun::run()
{
    m_caller.onGone([this] {
        if (m_connection) {
            m_connection->abort();
        }
    });
    if (co_await admit()) {
        co_await sendUntilDone();
    }
    m_caller.onGone({});
}

Awaitable<bool> RequestRun::admit()
{
    const auto reply = makeMailbox<Outcome<Admission>>(m_context.executor, 1);
    AdmitCall ask {m_request.header("Host").value_or(std::string()), m_request.target, m_call.key,
                   m_call.remaining, reply};
    if (!m_context.dispatcher->post(std::move(ask))) {
        co_await fail(ErrorKind::Overloaded, Ran::No, std::chrono::milliseconds(500));
        co_return false;
    }
    std::optional<Outcome<Admission>> answer = co_await reply->receive();
    const Failure *failure = answer ? failureOf(*answer) : nullptr;
    if (!answer || failure != nullptr) {
        co_await fail(failure == nullptr ? ErrorKind::Internal : failure->kind, Ran::No,
                      std::chrono::milliseconds(500));
        co_return false;
    }
    m_admission = std::get<Admission>(std::move(*answer));
    const Route &route = *m_admission.routed.route;
    m_deadline = m_arrivedAt + std::min(m_call.remaining.value_or(route.timeout), route.timeout);
    co_return true;
}

Awaitable<void> RequestRun::sendUntilDone()
{
    const Route &route = *m_admission.routed.route;
    Sent last;
    while (true) {
        const auto taken = co_await takeReplica();
        if (const auto *none = std::get_if<NoReplica>(&taken)) {
            if (m_sends > 0 || m_isStreaming) {
                co_await giveUp(last);
            } else {
                co_await fail(none->kind, m_ran, none->retryAfter);
            }
            co_return;
        }
        const auto &lease = std::get<ReplicaLease>(taken);
        m_answeredAt.reset();
        m_replica = lease.replica.id;
        if (m_caller.isGone()) {
            finishLease(lease, Sent {SendEnd::DeadlineReached, {}, {}});
            note("caller-gone", 0, "before an attempt");
            co_return;
        }
        last = co_await send(lease);
        m_ran = combine(m_ran, meaningOf(last.end).ran);
        finishLease(lease, last);
        if (m_caller.isGone()) {
            note("caller-gone", 0, meaningOf(last.end).name);
            co_return;
        }
        m_context.metrics->count("sends_total", "Upstream attempts, by how they ended",
                                 {{"end", std::string(meaningOf(last.end).name)}});
        if (last.end == SendEnd::Answered) {
            co_return;
        }
        m_context.log.info("request.send-failed",
                           {{"request", m_call.attemptId},
                            {"replica", lease.replica.id.text()},
                            {"end", meaningOf(last.end).name},
                            {"ran", textOf(m_ran)},
                            {"left_ms", left().count() / 1000}});
        const bool isAllowed = maySendAgain(last.end, route.kind, route.canResume)
                && m_sends < route.maxAttempts && left() > shortestSend;
        if (!isAllowed) {
            co_await giveUp(last);
            co_return;
        }
        m_tried.insert(lease.replica.id);
    }
}

Awaitable<std::variant<ReplicaLease, NoReplica>> RequestRun::takeReplica()
{
    const Route &route = *m_admission.routed.route;
    const auto reply = makeMailbox<std::variant<ReplicaLease, NoReplica>>(m_context.executor, 1);
    TakeReplica ask;
    ask.attemptId = m_call.attemptId;
    ask.wish.service = m_admission.service;
    ask.wish.tried = m_tried;
    ask.wish.objective = route.objective;
    ask.wish.promptTokens = static_cast<double>(m_call.promptTokens);
    ask.isAgain = m_sends > 0;
    ask.wantsIdle = mayRepeat();
    const Duration wait = std::min(scaled(route.objective, waitShare), scaled(left(), waitShare));
    ask.waitUntil = monotonicNow() + wait;
    const bool hasReturned = m_arrivedAt - m_admission.askedAt > route.objective;
    const Duration longWait =
            std::min<Duration>(longestWaitForAny, scaled(left(), returnedWaitShare));
    const Duration waitForAny = hasReturned ? longWait : wait;
    ask.waitForAnyUntil = monotonicNow() + std::max(wait, waitForAny);
    ask.deadline = m_deadline;
    ask.lateFrom = m_admission.askedAt + route.objective;
    ask.reply = reply;
    if (m_context.dispatcher->post(std::move(ask))) {
        auto answer = co_await reply->receive();
        if (answer) {
            co_return std::move(*answer);
        }
    }
    co_return NoReplica {ErrorKind::Overloaded, std::chrono::milliseconds(500)};
}

Awaitable<RequestRun::Sent> RequestRun::send(const ReplicaLease &lease)
{
    const WireEnd connected = co_await connect(lease);
    if (connected != WireEnd::Done) {
        co_return Sent {SendEnd::NotConnected, {}, {}};
    }
    if (left() < shortestSend) {
        m_connection->abort();
        co_return Sent {m_sends == 0 ? SendEnd::NotConnected : SendEnd::DeadlineReached, {}, {}};
    }
    SendFields fields;
    fields.replica = lease.replica.id;
    fields.remaining = left();
    fields.weights = lease.weights;
    if (m_admission.routed.account != nullptr) {
        fields.account = m_admission.routed.account->name;
    }
    if (lease.isLate && !m_isStreaming) {
        fields.urgency = lateUrgency;
    }
    fields.lastEventId = m_events.lastId();
    m_events.beginRun();
    std::string text = m_context.codec.encodeSend(m_request, fields);
    ++m_sends;
    m_sentAt = monotonicNow();
    m_beginBy = lease.beginBy;
    if (m_request.body.size() > eagerBody) {
        asio::co_spawn(m_context.executor, sendBeside(m_connection, std::move(text), left()),
                       asio::detached);
        co_return co_await receive();
    }
    const WireEnd end = co_await m_connection->send(std::move(text), left());
    if (end != WireEnd::Done && end != WireEnd::Broken) {
        co_return Sent {end == WireEnd::TimedOut ? SendEnd::DeadlineReached
                                                 : SendEnd::BrokenWhileSending,
                        {},
                        {}};
    }
    // A backend server that breaks the connection may already have sent its response.
    co_return co_await receive();
}

Awaitable<WireEnd> RequestRun::connect(const ReplicaLease &lease)
{
    if (lease.connection) {
        m_connection = lease.connection;
        co_return WireEnd::Done;
    }
    m_connection = std::make_shared<HttpConnection>(m_context.executor);
    const auto endpoint = settle([&] { return parseEndpoint(lease.replica.address); });
    if (failureOf(endpoint) != nullptr) {
        co_return WireEnd::NotConnected;
    }
    const Duration limit = std::min<Duration>(connectLimit, left());
    m_context.metrics->count("connects_total", "Connections opened to backend servers");
    co_return co_await m_connection->connect(std::get<asio::ip::tcp::endpoint>(endpoint), limit);
}

void RequestRun::finishLease(const ReplicaLease &lease, const Sent &sent)
{
    LeaseEnded ended;
    ended.replica = lease.replica.id;
    ended.address = lease.replica.address;
    ended.hasBegun = m_answeredAt.has_value();
    ended.promptTokens = static_cast<double>(m_call.promptTokens);
    ended.verdict = m_caller.isGone() ? ReplicaVerdict::Neutral : verdictOf(sent.end);
    ended.keptFor = sent.keptFor;
    if (m_answeredAt) {
        ended.answeredAfter = *m_answeredAt - m_sentAt;
    } else if (sent.end == SendEnd::Silent) {
        ended.answeredAfter = monotonicNow() - m_sentAt;
    }
    const HttpConnectionPtr connection = m_connection ? m_connection : lease.connection;
    if (connection && connection->isReusable()) {
        ended.connection = connection;
    } else if (connection) {
        connection->abort();
    }
    m_connection.reset();
    m_context.dispatcher->post(std::move(ended));
}

/** Ends the request after its last upstream attempt has failed. */
Awaitable<void> RequestRun::giveUp(const Sent &sent)
{
    if (m_isStreaming) {
        m_caller.breakOff();
        note("broken-off", 0, meaningOf(sent.end).name);
        co_return;
    }
    if (sent.answer) {
        const int status = sent.answer->status;
        const std::vector<HttpHeader> headers = sent.answer->headers;
        std::string body = sent.answer->body;
        co_await m_caller.respond(status, headers, std::move(body));
        note("failed-by-replica", status, meaningOf(sent.end).name);
        co_return;
    }
    co_await fail(answerAfter(sent.end, m_ran), m_ran, std::chrono::milliseconds(200));
}

Awaitable<void> RequestRun::fail(ErrorKind kind, Ran ran, Duration retryAfter)
{
    const ErrorAnswer &answer = answerFor(kind);
    HttpResponse problem = problemResponse(Failure {kind, std::string(answer.title)}, ran);
    std::vector<HttpHeader> fields {{"Content-Type", problem.contentType}};
    if (answer.ran == Ran::No && answer.retry == RetryAdvice::Later) {
        fields.push_back({"Retry-After", secondsText(retryAfter)});
    }
    co_await m_caller.respond(problem.status, fields, std::move(problem.body));
    note("refused", problem.status, answer.name);
}

void RequestRun::note(std::string_view outcome, int status, std::string_view cause)
{
    const Instant now = monotonicNow();
    const Route *route = m_admission.routed.route;
    boost::json::object fields {{"request", m_call.attemptId},
                                {"outcome", outcome},
                                {"status", status},
                                {"ms", (now - m_arrivedAt).count() / 1000},
                                {"sends", m_sends},
                                {"ran", textOf(m_ran)}};
    if (!cause.empty()) {
        fields["cause"] = cause;
    }
    if (route != nullptr) {
        fields["asked_ms"] = (now - m_admission.askedAt).count() / 1000;
        fields["route"] = route->name.text();
        fields["config"] = m_admission.table->config().version;
    }
    if (m_firstEventAt) {
        fields["first_ms"] = (*m_firstEventAt - m_arrivedAt).count() / 1000;
        fields["gap_ms"] = m_longestGap.count() / 1000;
    }
    m_context.log.info("request.done", fields);
    m_context.metrics->count("requests_total", "Requests from callers, by outcome",
                             {{"outcome", std::string(outcome)}});
    m_context.metrics->observeSeconds("request_seconds",
                                      "Time from arrival to the end of the response",
                                      std::chrono::duration<double>(now - m_arrivedAt).count(),
                                      {{"outcome", std::string(outcome)}});
}

} // namespace greengageseam
