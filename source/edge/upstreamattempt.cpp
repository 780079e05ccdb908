#include "edge/upstreamattempt.h"

#include "core/fleet/attemptpolicy.h"
#include "net/clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

/** Short enough that another backend server can still be tried and respond in time. */
constexpr auto connectTimeout = std::chrono::milliseconds(300);
/** Larger bodies are sent concurrently with reading the response, which may arrive early. */
constexpr std::size_t maxSequentialBody = 16 * 1024;
/** Request-Priority of a request that will miss its latency target; others have the default 5. */
constexpr std::uint32_t lateUrgency = 7;
/** A backend server that crashes as it begins to respond may have sent one event. */
constexpr std::uint32_t minEventsOfBegun = 2;
/** Number of prompt parts in a log line. */
constexpr std::size_t maxLoggedParts = 8;

ReplicaVerdict verdictOf(UpstreamOutcome outcome)
{
    switch (outcome) {
    case UpstreamOutcome::Answered:
        return ReplicaVerdict::Answered;
    case UpstreamOutcome::Rejected:
        return ReplicaVerdict::Full;
    case UpstreamOutcome::Misdirected:
        return ReplicaVerdict::Misdirected;
    case UpstreamOutcome::DeadlineReached:
    case UpstreamOutcome::ChoiceExpired:
    case UpstreamOutcome::Withdrawn:
        return ReplicaVerdict::Neutral;
    default:
        return ReplicaVerdict::Failed;
    }
}

UpstreamOutcome outcomeOf(AttemptAbort reason)
{
    switch (reason) {
    case AttemptAbort::ProcessEnds:
        return UpstreamOutcome::DeadlineReached;
    case AttemptAbort::Superseded:
    case AttemptAbort::Lost:
        return UpstreamOutcome::Silent;
    default:
        return UpstreamOutcome::Withdrawn;
    }
}

/** Sends a request with a large body, concurrently with the task that reads the response. */
Awaitable<void> sendConcurrently(HttpConnectionPtr connection, std::string text,
                                 std::shared_ptr<const std::string> body, Duration timeout)
{
    co_await connection->send(std::move(text), timeout, std::move(body));
}

} // namespace

std::function<void()> makeStartExpiry(const std::shared_ptr<AttemptStart> &start)
{
    return [weak = std::weak_ptr<AttemptStart>(start)] {
        const auto it = weak.lock();
        if (it == nullptr || it->hasStarted) {
            return;
        }
        it->isExpired = true;
        if (it->connection) {
            it->connection->abort();
        }
    };
}

UpstreamAttempt::UpstreamAttempt(const RequestContext &context, HttpRequestPtr request,
                                 AttemptOptions options, MailboxPtr<ProxyMessage> inbox)
    : m_context(context), m_request(std::move(request)), m_options(std::move(options)),
      m_inbox(std::move(inbox)), m_events(m_options.lastEventId)
{ }

UpstreamAttempt::Result UpstreamAttempt::failed(UpstreamOutcome outcome)
{
    Result result;
    result.outcome = outcome;
    return result;
}

void UpstreamAttempt::start()
{
    asio::co_spawn(
            m_context.executor, [self = shared_from_this()] { return self->run(); },
            asio::detached);
}

void UpstreamAttempt::abort(AttemptAbort reason)
{
    if (m_abort) {
        return;
    }
    m_abort = reason;
    if (m_connection) {
        m_connection->abort();
    }
}

Awaitable<void> UpstreamAttempt::run()
{
    Result result = co_await exchange();
    if (m_abort) {
        result = failed(m_sentAt ? outcomeOf(*m_abort) : UpstreamOutcome::NotConnected);
    }
    releaseLease(result);
    if (isLost(result.outcome)) {
        recordLoss();
    }
    ProxyMessage message = endedWith(std::move(result));
    co_await m_inbox->send(std::move(message));
}

Awaitable<UpstreamAttempt::Result> UpstreamAttempt::exchange()
{
    if (m_abort) {
        co_return failed(UpstreamOutcome::NotConnected);
    }
    const HttpIoStatus connected = co_await connect();
    if (connected != HttpIoStatus::Done || m_abort) {
        co_return failed(UpstreamOutcome::NotConnected);
    }
    m_options.start->connection = m_connection;
    if (isChoiceExpired()) {
        m_connection->abort();
        co_return failed(UpstreamOutcome::ChoiceExpired);
    }
    if (remainingTime() < minAttemptTime) {
        m_connection->abort();
        co_return failed(m_options.isFirst ? UpstreamOutcome::NotConnected
                                           : UpstreamOutcome::DeadlineReached);
    }
    std::string text = encodeRequest();
    std::shared_ptr<const std::string> body = requestBody();
    m_sentAt = monotonicNow();
    AttemptSent sent {lease(), std::nullopt};
    if (m_options.lease.startDeadline) {
        sent.startTimeLeft = *m_options.lease.startDeadline - *m_sentAt;
    }
    ProxyMessage message = sent;
    co_await m_inbox->send(std::move(message));
    if (m_abort) {
        m_sentAt.reset();
        co_return failed(UpstreamOutcome::NotConnected);
    }
    if (body->size() > maxSequentialBody) {
        asio::co_spawn(
                m_context.executor,
                sendConcurrently(m_connection, std::move(text), std::move(body), remainingTime()),
                asio::detached);
        co_return co_await receiveResponse();
    }
    const HttpIoStatus end =
            co_await m_connection->send(std::move(text), remainingTime(), std::move(body));
    if (end != HttpIoStatus::Done && m_options.start->isExpired) {
        co_return failed(UpstreamOutcome::Silent);
    }
    if (end != HttpIoStatus::Done && end != HttpIoStatus::ConnectionLost) {
        co_return failed(end == HttpIoStatus::TimedOut ? UpstreamOutcome::DeadlineReached
                                                       : UpstreamOutcome::BrokenWhileSending);
    }
    // A backend server that breaks the connection may already have sent its response.
    co_return co_await receiveResponse();
}

Awaitable<HttpIoStatus> UpstreamAttempt::connect()
{
    if (m_options.lease.connection != nullptr) {
        m_connection = m_options.lease.connection;
        co_return HttpIoStatus::Done;
    }
    m_connection = std::make_shared<HttpConnection>(m_context.executor);
    const auto endpoint = toOutcome([&] { return parseEndpoint(m_options.lease.replica.address); });
    if (failureOf(endpoint) != nullptr) {
        co_return HttpIoStatus::ConnectFailed;
    }
    const Duration timeout = std::min<Duration>(connectTimeout, remainingTime());
    m_context.metrics->count("connects_total", "Connections opened to backend servers");
    co_return co_await m_connection->connect(std::get<asio::ip::tcp::endpoint>(endpoint), timeout);
}

std::string UpstreamAttempt::encodeRequest() const
{
    const ReplicaLease &lease = m_options.lease;
    UpstreamRequestMetadata fields;
    fields.replica = lease.replica.id;
    fields.remaining = remainingTime();
    fields.account = m_options.account;
    fields.weightsVersion = lease.weightsVersion;
    if (lease.isLate && !m_options.isResumption) {
        fields.priority = lateUrgency;
    } else if (lease.priority.isRanked()) {
        fields.priority = upstreamUrgency(lease.priority);
    }
    fields.lastEventId = m_options.lastEventId;
    return m_context.codec.encodeUpstreamRequest(*m_request, fields);
}

std::shared_ptr<const std::string> UpstreamAttempt::requestBody() const
{
    return {m_request, &m_request->body};
}

bool UpstreamAttempt::isChoiceExpired() const
{
    const auto &deadline = m_options.lease.startDeadline;
    return (deadline && monotonicNow() >= *deadline) || m_options.start->isExpired;
}

Duration UpstreamAttempt::remainingTime() const
{
    return m_options.deadline - monotonicNow();
}

Duration UpstreamAttempt::readTimeout() const
{
    const auto &startDeadline = m_options.lease.startDeadline;
    const Duration remaining = remainingTime();
    return startDeadline && !m_responseStartedAt
            ? std::min<Duration>(remaining, *startDeadline - monotonicNow())
            : remaining;
}

void UpstreamAttempt::recordResponseStart(Instant now)
{
    if (m_responseStartedAt) {
        return;
    }
    m_responseStartedAt = now;
    m_options.start->hasStarted = true;
    m_context.dispatcher->post(
            ResponseStarted {lease(), m_options.lease.replica.id, m_options.promptTokens});
}

void UpstreamAttempt::recordEvents(std::uint32_t count)
{
    const bool wasBegun = m_eventCount >= minEventsOfBegun;
    m_eventCount += count;
    if (!wasBegun && m_eventCount >= minEventsOfBegun) {
        reportPartsAnswered();
    }
}

void UpstreamAttempt::reportPartsAnswered()
{
    if (!m_options.promptParts.empty()) {
        m_context.quarantine->post(PartsAnswered {m_options.promptParts});
    }
}

bool UpstreamAttempt::isLost(UpstreamOutcome outcome) const
{
    const bool isConnectionLoss = outcome == UpstreamOutcome::BrokenWhileSending
            || outcome == UpstreamOutcome::BrokenBeforeAnswer
            || outcome == UpstreamOutcome::BrokenAnswer;
    return isConnectionLoss && m_eventCount < minEventsOfBegun;
}

/** Logs and reports the loss to the task that looks for prompts that crash backend servers. */
void UpstreamAttempt::recordLoss()
{
    const ReplicaEntry &replica = m_options.lease.replica;
    boost::json::array parts;
    for (const PromptPartId &part : m_options.promptParts) {
        if (parts.size() < maxLoggedParts) {
            parts.emplace_back(part.text());
        }
    }
    m_context.log.info("request.attempt-lost",
                       {{"request", m_options.attemptId},
                        {"replica", replica.id.text()},
                        {"born", replica.startedAtMs},
                        {"events", m_eventCount},
                        {"parts", std::move(parts)}});
    m_context.metrics->count("attempts_lost_total",
                             "Upstream attempts whose connection was lost before the response");
    if (!m_options.promptParts.empty()) {
        m_context.quarantine->post(
                AttemptLost {{replica.id, replica.startedAtMs}, m_options.promptParts});
    }
}

void UpstreamAttempt::releaseLease(const Result &result)
{
    LeaseReleased released;
    released.lease = lease();
    released.replica = m_options.lease.replica.id;
    released.address = m_options.lease.replica.address;
    released.isStartReported = m_responseStartedAt.has_value();
    released.promptTokens = m_options.promptTokens;
    released.verdict = m_abort ? ReplicaVerdict::Neutral : verdictOf(result.outcome);
    released.keepAliveTimeout = result.keepAliveTimeout;
    if (m_responseStartedAt) {
        released.timeToResponseStart = *m_responseStartedAt - *m_sentAt;
    } else if (result.outcome == UpstreamOutcome::Silent && m_sentAt) {
        released.timeToResponseStart = monotonicNow() - *m_sentAt;
    }
    const HttpConnectionPtr connection = m_connection ? m_connection : m_options.lease.connection;
    // After bytes that are no response to the request, the response may still follow.
    if (connection && connection->isReusable() && result.outcome != UpstreamOutcome::Garbled) {
        released.connection = connection;
    } else if (connection) {
        connection->abort();
    }
    m_context.dispatcher->post(std::move(released));
}

AttemptEnded UpstreamAttempt::endedWith(Result result) const
{
    AttemptEnded ended;
    ended.lease = lease();
    ended.replica = m_options.lease.replica.id;
    ended.outcome = result.outcome;
    ended.response = std::move(result.response);
    ended.streamHead = std::move(result.streamHead);
    ended.events = m_eventCount;
    if (m_sentAt) {
        ended.silence = monotonicNow() - m_lastEventAt.value_or(*m_sentAt);
    }
    ended.wasSent = m_sentAt.has_value();
    ended.wasLost = isLost(result.outcome);
    return ended;
}

} // namespace greengageseam
