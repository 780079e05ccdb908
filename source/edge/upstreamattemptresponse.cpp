/**
 * The part of UpstreamAttempt that reads the response from a backend server and checks it.
 */
#include "core/fleet/attemptpolicy.h"
#include "core/fleet/memorybudget.h"
#include "edge/upstreamattempt.h"
#include "net/clock.h"

#include <algorithm>
#include <array>

namespace greengageseam {

namespace {

/** Small enough that an entry holds the responses to many requests at once. */
constexpr std::size_t maxBufferedBody = 1024ULL * 1024;
/** Room for the head that is written before a body. */
constexpr std::size_t answerHeadBytes = 4UL * 1024;
/** Interval at which an answer for which there is no room is tried again. */
constexpr auto roomCheckInterval = std::chrono::milliseconds(20);
/** The body of a response that is not relayed is read only to reuse the connection. */
constexpr std::size_t maxDiscardedBody = 64ULL * 1024;
constexpr auto discardTimeout = std::chrono::milliseconds(100);
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusServerError = 500;
constexpr int statusUnavailable = 503;
/** Statuses that tell a caller that its request was not executed. */
constexpr std::array refusalStatuses {408, 429, 503};

bool promisesNotExecuted(int status)
{
    return std::find(refusalStatuses.begin(), refusalStatuses.end(), status)
            != refusalStatuses.end();
}

} // namespace

/**
 * A response without an attempt id is accepted only on a new connection. On one that carried an
 * earlier request, it may be that request's response once more.
 */
bool UpstreamAttempt::isForThisAttempt(const ResponseMetadata &fields) const
{
    const bool isConnectionPooled = m_options.lease.connection != nullptr;
    return fields.attemptId == m_options.attemptId
            || (fields.attemptId.empty() && !isConnectionPooled);
}

UpstreamOutcome UpstreamAttempt::classifyReadEnd(HttpIoStatus end, bool hasHead) const
{
    if (m_options.start->isExpired && end == HttpIoStatus::Aborted) {
        return UpstreamOutcome::Silent;
    }
    if (end == HttpIoStatus::TimedOut) {
        return remainingTime() <= minAttemptTime ? UpstreamOutcome::DeadlineReached
                                                 : UpstreamOutcome::Silent;
    }
    if (end == HttpIoStatus::Malformed) {
        return UpstreamOutcome::Garbled;
    }
    return hasHead ? UpstreamOutcome::BrokenAnswer : UpstreamOutcome::BrokenBeforeAnswer;
}

Awaitable<UpstreamAttempt::Result> UpstreamAttempt::receiveResponse()
{
    HttpReadResult<HttpResponseHead> head =
            co_await m_connection->readHead(m_request->method == "HEAD", readTimeout());
    if (head.ioStatus != HttpIoStatus::Done || m_abort) {
        co_return failed(classifyReadEnd(head.ioStatus, false));
    }
    const ResponseMetadata fields = m_context.codec.decodeResponseMetadata(head.value);
    const bool isForOtherAttempt = !isForThisAttempt(fields);
    const bool isSuccess = head.value.status >= statusOk && head.value.status < statusBadRequest;
    if (isForOtherAttempt || fields.isEncoded || (isSuccess && !fields.isSealed)) {
        co_return failed(UpstreamOutcome::Garbled);
    }
    reportStatement(head.value, fields);
    if (fields.isNotExecuted) {
        co_await m_connection->readBody(maxDiscardedBody,
                                        std::min<Duration>(discardTimeout, remainingTime()));
        co_return Result {fields.isMisdirected ? UpstreamOutcome::Misdirected
                                               : UpstreamOutcome::Rejected,
                          {},
                          {},
                          fields.keepAliveTimeout};
    }
    if (isSuccess && fields.isEventStream) {
        HttpResponseHeadPtr shared = std::make_shared<HttpResponseHead>(std::move(head.value));
        co_return co_await receiveStream(std::move(shared), fields.keepAliveTimeout);
    }
    co_return co_await receiveBody(head.value, fields);
}

Awaitable<bool> UpstreamAttempt::awaitRoom(std::size_t bytes)
{
    const std::size_t needed = bytes + answerHeadBytes;
    // Small answers are charged only while they are written.
    if (needed <= smallHolderBytes) {
        co_return true;
    }
    Timer timer(m_context.executor);
    while (!m_options.mayHold(needed)) {
        if (m_abort || remainingTime() < minAttemptTime) {
            co_return false;
        }
        timer.expires_after(roomCheckInterval);
        co_await timer.async_wait(asTuple);
    }
    co_return true;
}

Awaitable<UpstreamAttempt::Result> UpstreamAttempt::receiveBody(const HttpResponseHead &head,
                                                                const ResponseMetadata &fields)
{
    const std::uint64_t length = head.length.value_or(maxBufferedBody);
    const bool hasRoom = co_await awaitRoom(std::min<std::uint64_t>(length, maxBufferedBody));
    if (!hasRoom) {
        m_connection->abort();
        co_return failed(UpstreamOutcome::DeadlineReached);
    }
    HttpReadResult<std::string> body =
            co_await m_connection->readBody(maxBufferedBody, readTimeout());
    if (body.ioStatus != HttpIoStatus::Done) {
        co_return failed(classifyReadEnd(body.ioStatus, true));
    }
    HttpResponse response;
    response.status = head.status;
    response.headers = m_context.codec.forwardedFields(head);
    response.body = std::move(body.value);
    const bool isRefusal = !m_options.isIdempotent && promisesNotExecuted(response.status);
    if (isRefusal) {
        // The status promises the caller what the backend server has not said.
        co_return Result {UpstreamOutcome::FailedAnswer, {}, {}, fields.keepAliveTimeout};
    }
    if (response.status >= statusServerError) {
        co_return Result {
                UpstreamOutcome::FailedAnswer, std::move(response), {}, fields.keepAliveTimeout};
    }
    if (m_options.isResumption) {
        co_return Result {UpstreamOutcome::Garbled, {}, {}, fields.keepAliveTimeout};
    }
    reportPartsAnswered();
    co_return Result {UpstreamOutcome::Answered, std::move(response), {}, fields.keepAliveTimeout};
}

Awaitable<UpstreamAttempt::Result> UpstreamAttempt::receiveStream(HttpResponseHeadPtr head,
                                                                  std::optional<Duration> keepAlive)
{
    while (true) {
        HttpReadResult<std::string> part = co_await m_connection->readBodyPart(readTimeout());
        if (m_abort) {
            co_return failed(UpstreamOutcome::BrokenAnswer);
        }
        CompleteEvents events = m_events.feed(part.value);
        if (events.count > 0) {
            const Instant now = monotonicNow();
            recordResponseStart(now);
            m_lastEventAt = now;
            recordEvents(events.count);
            ProxyMessage message =
                    EventsReceived {lease(), head, std::move(events), m_events.lastId()};
            co_await m_inbox->send(std::move(message));
        }
        if (m_events.isOutOfOrder() || m_events.isOverlong()) {
            co_return failed(UpstreamOutcome::Garbled);
        }
        if (part.ioStatus != HttpIoStatus::Done) {
            co_return failed(classifyReadEnd(part.ioStatus, true));
        }
        if (!part.value.empty()) {
            continue;
        }
        // A server that stops after its head also ends an unframed stream, before its first event.
        if (m_events.hasPartial() || (!head->isFramed && !m_events.hasEvents())) {
            co_return failed(UpstreamOutcome::BrokenAnswer);
        }
        co_return Result {UpstreamOutcome::Answered, {}, head, keepAlive};
    }
}

void UpstreamAttempt::reportStatement(const HttpResponseHead &head, const ResponseMetadata &fields)
{
    const ReplicaProcess replica = processOf(m_options.lease.replica);
    ReplicaStatement statement;
    statement.isLeaving = fields.isLeaving;
    if (head.status == statusUnavailable) {
        statement.pause = fields.retryAfter;
        if (fields.isRetryAfterInvalid) {
            m_context.log.info("replica.pause-invalid", {{"replica", replica.id.text()}});
        }
    }
    if (statement != ReplicaStatement()) {
        m_context.dispatcher->post(ReplicaSpoke {replica, statement});
    }
}

} // namespace greengageseam
