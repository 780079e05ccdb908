/**
 * The part of RequestProxy that sends one upstream attempt: it connects, checks that the choice of
 * the backend server still holds, sends the request, and releases the lease afterwards.
 */
#include "edge/requestproxy.h"
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

ReplicaVerdict verdictOf(UpstreamOutcome end)
{
    switch (end) {
    case UpstreamOutcome::Answered:
        return ReplicaVerdict::Answered;
    case UpstreamOutcome::Rejected:
        return ReplicaVerdict::Full;
    case UpstreamOutcome::Misdirected:
        return ReplicaVerdict::Misdirected;
    case UpstreamOutcome::DeadlineReached:
    case UpstreamOutcome::ChoiceExpired:
        return ReplicaVerdict::Neutral;
    default:
        return ReplicaVerdict::Failed;
    }
}

/** Sends a request with a large body, concurrently with the task that reads the response. */
Awaitable<void> sendConcurrently(HttpConnectionPtr connection, std::string text, Duration timeout)
{
    co_await connection->send(std::move(text), timeout);
}

} // namespace

Awaitable<RequestProxy::AttemptResult> RequestProxy::sendAttempt(const ReplicaLease &lease)
{
    if (m_isExpired) {
        co_return AttemptResult {m_ran == ExecutionStatus::NotExecuted
                                         ? UpstreamOutcome::NotConnected
                                         : UpstreamOutcome::DeadlineReached,
                                 {},
                                 {}};
    }
    const HttpIoStatus connected = co_await connect(lease);
    if (connected != HttpIoStatus::Done) {
        co_return AttemptResult {UpstreamOutcome::NotConnected, {}, {}};
    }
    m_attemptStart->connection = m_connection;
    if (isChoiceExpired(lease)) {
        m_connection->abort();
        co_return AttemptResult {UpstreamOutcome::ChoiceExpired, {}, {}};
    }
    if (remainingTime() < minAttemptTime) {
        m_connection->abort();
        co_return AttemptResult {m_attempts == 0 ? UpstreamOutcome::NotConnected
                                                 : UpstreamOutcome::DeadlineReached,
                                 {},
                                 {}};
    }
    UpstreamRequestMetadata fields;
    fields.replica = lease.replica.id;
    fields.remaining = remainingTime();
    fields.weightsVersion = lease.weightsVersion;
    if (m_admission.routed.account != nullptr) {
        fields.account = m_admission.routed.account->name;
    }
    if (lease.isLate && !m_isStreaming) {
        fields.priority = lateUrgency;
    }
    fields.lastEventId = m_events.lastId();
    m_events.beginAttempt();
    m_attemptEvents = 0;
    std::string text = m_context.codec.encodeUpstreamRequest(m_request, fields);
    ++m_attempts;
    m_attemptStartedAt = monotonicNow();
    m_startDeadline = lease.startDeadline;
    if (m_startDeadline) {
        m_startTimeLeft = *m_startDeadline - m_attemptStartedAt;
    }
    if (m_request.body.size() > maxSequentialBody) {
        asio::co_spawn(m_context.executor,
                       sendConcurrently(m_connection, std::move(text), remainingTime()),
                       asio::detached);
        co_return co_await receiveResponse();
    }
    const HttpIoStatus end = co_await m_connection->send(std::move(text), remainingTime());
    if (end != HttpIoStatus::Done && m_attemptStart->isExpired) {
        co_return AttemptResult {UpstreamOutcome::Silent, {}, {}};
    }
    if (end != HttpIoStatus::Done && end != HttpIoStatus::ConnectionLost) {
        co_return AttemptResult {end == HttpIoStatus::TimedOut || m_isExpired
                                         ? UpstreamOutcome::DeadlineReached
                                         : UpstreamOutcome::BrokenWhileSending,
                                 {},
                                 {}};
    }
    // A backend server that breaks the connection may already have sent its response.
    co_return co_await receiveResponse();
}

std::function<void()> RequestProxy::makeStartExpiry()
{
    m_attemptStart = std::make_shared<AttemptStart>();
    return [weak = std::weak_ptr<AttemptStart>(m_attemptStart)] {
        const auto start = weak.lock();
        if (start == nullptr || start->hasStarted) {
            return;
        }
        start->isExpired = true;
        if (start->connection) {
            start->connection->abort();
        }
    };
}

bool RequestProxy::isChoiceExpired(const ReplicaLease &lease) const
{
    const bool isPastDeadline = lease.startDeadline && monotonicNow() >= *lease.startDeadline;
    return isPastDeadline || m_attemptStart->isExpired;
}

Awaitable<HttpIoStatus> RequestProxy::connect(const ReplicaLease &lease)
{
    m_isConnectionPooled = lease.connection != nullptr;
    if (m_isConnectionPooled) {
        m_connection = lease.connection;
        co_return HttpIoStatus::Done;
    }
    m_connection = std::make_shared<HttpConnection>(m_context.executor);
    const auto endpoint = toOutcome([&] { return parseEndpoint(lease.replica.address); });
    if (failureOf(endpoint) != nullptr) {
        co_return HttpIoStatus::ConnectFailed;
    }
    const Duration timeout = std::min<Duration>(connectTimeout, remainingTime());
    m_context.metrics->count("connects_total", "Connections opened to backend servers");
    co_return co_await m_connection->connect(std::get<asio::ip::tcp::endpoint>(endpoint), timeout);
}

void RequestProxy::releaseLease(const ReplicaLease &lease, const AttemptResult &result)
{
    LeaseReleased released;
    released.lease = lease.id;
    released.replica = lease.replica.id;
    released.address = lease.replica.address;
    released.isStartReported = m_responseStartedAt.has_value();
    released.promptTokens = static_cast<double>(m_call.promptTokens);
    released.verdict = m_writer.isDisconnected() ? ReplicaVerdict::Neutral : verdictOf(result.end);
    released.keepAliveTimeout = result.keepAliveTimeout;
    if (m_responseStartedAt) {
        released.timeToResponseStart = *m_responseStartedAt - m_attemptStartedAt;
    } else if (result.end == UpstreamOutcome::Silent) {
        released.timeToResponseStart = monotonicNow() - m_attemptStartedAt;
    }
    const HttpConnectionPtr connection = m_connection ? m_connection : lease.connection;
    // After bytes that are no response to the request, the response may still follow.
    if (connection && connection->isReusable() && result.end != UpstreamOutcome::Garbled) {
        released.connection = connection;
    } else if (connection) {
        connection->abort();
    }
    m_connection.reset();
    m_context.dispatcher->post(std::move(released));
}

} // namespace greengageseam
