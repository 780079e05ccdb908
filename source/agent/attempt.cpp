#include "agent/attempt.h"

#include "core/common/hashing.h"
#include "engine/engineclient.h"
#include "net/clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr int statusConflict = 409;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

} // namespace

Attempt::Attempt(const asio::any_io_executor &executor, AttemptTarget target, OpenMessage open,
                 PeerLinkHandle link, StreamId stream, MailboxPtr<StreamEvent> events,
                 OnAttemptEnded onEnded, Log log)
    : m_executor(executor), m_target(std::move(target)), m_open(std::move(open)),
      m_link(std::move(link)), m_stream(stream), m_events(std::move(events)),
      m_onEnded(std::move(onEnded)), m_log(log.withFields({{"request", m_open.request.text()},
                                                           {"attempt", m_open.attempt.text()}})),
      m_call(executor), m_creditArrived(executor), m_credit(m_open.window),
      m_deadline(monotonicNow() + m_open.remainingTime)
{ }

void Attempt::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    asio::co_spawn(
            m_executor, [self = shared_from_this()] { return self->handleEntryMessages(); },
            asio::detached);
}

Awaitable<void> Attempt::run()
{
    const VoidOutcome outcome = co_await forwardRequest();
    const Failure *failure = failureOf(outcome);
    if (failure != nullptr) {
        m_log.debug("attempt.failed", {{"reason", failure->detail}});
        FailedMessage failed {*failure, executionStatusAfter(*failure)};
        co_await m_link.send(m_stream, std::move(failed));
    } else {
        m_log.debug("attempt.done");
    }
    m_link.unsubscribe(m_stream);
    m_events->close();
    co_await m_onEnded();
}

Awaitable<void> Attempt::handleEntryMessages()
{
    while (std::optional<StreamEvent> event = co_await m_events->receive()) {
        const auto *message = std::get_if<Message>(&*event);
        if (message == nullptr || std::holds_alternative<CancelMessage>(*message)) {
            m_isCancelled = true;
            m_call.abort();
        } else if (const auto *credit = std::get_if<CreditMessage>(message)) {
            m_credit += credit->bytes;
        }
        m_creditArrived.cancel();
    }
}

Awaitable<VoidOutcome> Attempt::forwardRequest()
{
    const HttpRequest request = takeBackendRequest();
    const Outcome<HttpCallHead> head =
            co_await m_call.start(m_target.backendAddress, request, remainingTime());
    if (const Failure *failure = failureOf(head)) {
        co_return *failure;
    }
    const auto &responseHead = std::get<HttpCallHead>(head);
    if (std::optional<Failure> rejection = rejectionOf(responseHead)) {
        co_return *rejection;
    }
    HeadMessage message {responseHead.status, responseHead.contentType};
    if (!co_await m_link.send(m_stream, std::move(message))) {
        co_return Failure {ErrorKind::AnswerBroken, "the link to the entry is closed"};
    }
    co_return co_await sendBody();
}

Awaitable<VoidOutcome> Attempt::sendBody()
{
    EndMessage end;
    while (true) {
        Outcome<HttpBodyPart> read = co_await m_call.readBodyPart(remainingTime());
        if (const Failure *failure = failureOf(read)) {
            co_return *failure;
        }
        auto &part = std::get<HttpBodyPart>(read);
        if (!part.bytes.empty()) {
            if (!co_await waitForCredit()) {
                co_return Failure {ErrorKind::AnswerBroken, "the attempt was cancelled"};
            }
            const auto n = static_cast<std::int64_t>(part.bytes.size());
            m_credit -= n + partOverheadBytes;
            end.length += n;
            end.checksum = checksumOf(part.bytes, end.checksum);
            DataMessage data {std::move(part.bytes)};
            co_await m_link.send(m_stream, std::move(data));
        }
        if (part.isLast) {
            break;
        }
    }
    co_await m_link.send(m_stream, end);
    co_return std::monostate();
}

/**
 * Waits until the entry has granted credit.
 * @returns false if the attempt was cancelled or its deadline has passed
 */
Awaitable<bool> Attempt::waitForCredit()
{
    while (m_credit <= 0 && !m_isCancelled) {
        m_creditArrived.expires_after(remainingTime());
        auto [ec] = co_await m_creditArrived.async_wait(asTuple);
        if (!ec) {
            co_return false;
        }
    }
    co_return !m_isCancelled;
}

Duration Attempt::remainingTime() const
{
    return std::max<Duration>(m_deadline - monotonicNow(), Duration::zero());
}

HttpRequest Attempt::takeBackendRequest()
{
    HttpRequest request {m_open.method, m_open.path, {}, std::move(m_open.body)};
    request.headers.push_back({"Content-Type", m_open.contentType});
    request.headers.push_back({"X-Request-Id", m_open.request.text()});
    request.headers.push_back({attemptIdHeader, m_open.attempt.text()});
    if (m_target.service.isEmpty()) {
        request.headers.push_back({manifestHeader, m_open.manifest.text()});
        request.headers.push_back({"X-Priority", std::to_string(m_open.priority)});
    }
    return request;
}

/**
 * Recognizes responses by which an engine rejects a request before it executes anything. A plain
 * service may use the same statuses for its own purposes, so its responses are always relayed.
 * @returns the failure to report, or an empty optional if the response is to be relayed
 */
std::optional<Failure> Attempt::rejectionOf(const HttpCallHead &head) const
{
    if (!m_target.service.isEmpty()) {
        return std::nullopt;
    }
    if (head.status == statusConflict) {
        return Failure {ErrorKind::NoBackendServer, "the engine does not serve this version"};
    }
    if (head.status == statusTooManyRequests || head.status == statusUnavailable) {
        return Failure {ErrorKind::Overloaded, "the engine is overloaded"};
    }
    return std::nullopt;
}

ExecutionStatus Attempt::executionStatusAfter(const Failure &failure) const
{
    const bool isRejection =
            failure.kind == ErrorKind::NoBackendServer || failure.kind == ErrorKind::Overloaded;
    return isRejection ? ExecutionStatus::NotExecuted : ExecutionStatus::Unknown;
}

} // namespace greengageseam
