/**
 * The part of RequestProxy that reads the response from a backend server and relays it to the
 * caller.
 */
#include "edge/requestproxy.h"
#include "net/clock.h"

#include <algorithm>
#include <array>

namespace greengageseam {

namespace {

/** Small enough that an entry holds the responses to many requests at once. */
constexpr std::size_t maxBufferedBody = 1024ULL * 1024;
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
bool RequestProxy::isForThisAttempt(const ResponseMetadata &fields) const
{
    return fields.attemptId == m_call.attemptId
            || (fields.attemptId.empty() && !m_isConnectionPooled);
}

UpstreamOutcome RequestProxy::classifyReadEnd(HttpIoStatus end, bool hasHead) const
{
    if (m_isExpired && end == HttpIoStatus::Aborted) {
        return UpstreamOutcome::DeadlineReached;
    }
    if (m_attemptStart->isExpired && end == HttpIoStatus::Aborted) {
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

Awaitable<RequestProxy::AttemptResult> RequestProxy::receiveResponse()
{
    HttpReadResult<HttpResponseHead> head =
            co_await m_connection->readHead(m_request.method == "HEAD", readTimeout());
    if (head.ioStatus != HttpIoStatus::Done) {
        co_return AttemptResult {classifyReadEnd(head.ioStatus, false), {}, {}};
    }
    const ResponseMetadata fields = m_context.codec.decodeResponseMetadata(head.value);
    const bool isForOtherAttempt = !isForThisAttempt(fields);
    const bool isSuccess = head.value.status >= statusOk && head.value.status < statusBadRequest;
    if (isForOtherAttempt || fields.isEncoded || (isSuccess && !fields.isSealed)) {
        co_return AttemptResult {UpstreamOutcome::Garbled, {}, {}};
    }
    reportStatement(head.value, fields);
    if (fields.isNotExecuted) {
        co_await m_connection->readBody(maxDiscardedBody,
                                        std::min<Duration>(discardTimeout, remainingTime()));
        co_return AttemptResult {fields.isMisdirected ? UpstreamOutcome::Misdirected
                                                      : UpstreamOutcome::Rejected,
                                 {},
                                 fields.keepAliveTimeout};
    }
    if (isSuccess && fields.isEventStream) {
        co_return co_await relayStream(head.value);
    }
    co_return co_await relayBufferedResponse(head.value, fields);
}

Awaitable<RequestProxy::AttemptResult>
RequestProxy::relayBufferedResponse(const HttpResponseHead &head, const ResponseMetadata &fields)
{
    HttpReadResult<std::string> body =
            co_await m_connection->readBody(maxBufferedBody, readTimeout());
    if (body.ioStatus != HttpIoStatus::Done) {
        co_return AttemptResult {classifyReadEnd(body.ioStatus, true), {}, {}};
    }
    HttpResponse response;
    response.status = head.status;
    response.headers = m_context.codec.forwardedFields(head);
    response.body = std::move(body.value);
    const bool isRefusal = !canRetry() && promisesNotExecuted(response.status);
    if (isRefusal) {
        // The status promises the caller what the backend server has not said.
        co_return AttemptResult {UpstreamOutcome::FailedAnswer, {}, fields.keepAliveTimeout};
    }
    if (response.status >= statusServerError) {
        co_return AttemptResult {UpstreamOutcome::FailedAnswer, std::move(response),
                                 fields.keepAliveTimeout};
    }
    if (m_isStreaming) {
        co_return AttemptResult {UpstreamOutcome::Garbled, {}, fields.keepAliveTimeout};
    }
    const int status = response.status;
    const std::vector<HttpHeader> headers = response.headers;
    co_await m_writer.respond(status, headers, std::move(response.body));
    reportPartsAnswered();
    recordOutcome("answered", status, {});
    co_return AttemptResult {UpstreamOutcome::Answered, {}, fields.keepAliveTimeout};
}

Awaitable<RequestProxy::AttemptResult> RequestProxy::relayStream(const HttpResponseHead &head)
{
    const std::optional<Duration> keepAliveTimeout =
            m_context.codec.decodeResponseMetadata(head).keepAliveTimeout;
    Instant eventDeadline = monotonicNow() + readTimeout();
    while (true) {
        HttpReadResult<std::string> chunk =
                co_await m_connection->readBodyPart(eventDeadline - monotonicNow());
        CompleteEvents events = m_events.feed(chunk.value);
        const Instant now = monotonicNow();
        if (events.count > 0) {
            recordResponseStart(now);
            m_longestGap =
                    m_lastEventAt ? std::max(m_longestGap, now - *m_lastEventAt) : m_longestGap;
            m_lastEventAt = now;
            recordEvents(events.count);
        }
        if (events.count > 0 && !m_isStreaming) {
            m_isStreaming = true;
            m_firstEventAt = now;
            const std::vector<HttpHeader> fields = m_context.codec.forwardedFields(head);
            co_await m_writer.startStream(head.status, fields, std::move(events.bytes));
        } else if (events.count > 0) {
            co_await m_writer.writeChunk(std::move(events.bytes));
        }
        if (events.count > 0) {
            eventDeadline = monotonicNow() + readTimeout();
        }
        if (m_events.isOutOfOrder() || m_events.isOverlong()) {
            co_return AttemptResult {UpstreamOutcome::Garbled, {}, {}};
        }
        if (chunk.ioStatus != HttpIoStatus::Done) {
            co_return AttemptResult {classifyReadEnd(chunk.ioStatus, true), {}, {}};
        }
        if (!chunk.value.empty()) {
            continue;
        }
        // A server that stops after its head also ends an unframed stream, before its first event.
        if (m_events.hasPartial() || (!head.isFramed && !m_events.hasEvents())) {
            co_return AttemptResult {UpstreamOutcome::BrokenAnswer, {}, {}};
        }
        if (!m_isStreaming) {
            m_isStreaming = true;
            const std::vector<HttpHeader> fields = m_context.codec.forwardedFields(head);
            std::string empty;
            co_await m_writer.startStream(head.status, fields, std::move(empty));
        }
        co_await m_writer.endStream();
        recordOutcome("answered", head.status, {});
        co_return AttemptResult {UpstreamOutcome::Answered, {}, keepAliveTimeout};
    }
}

void RequestProxy::reportStatement(const HttpResponseHead &head, const ResponseMetadata &fields)
{
    ReplicaStatement statement;
    statement.isLeaving = fields.isLeaving;
    if (head.status == statusUnavailable) {
        statement.pause = fields.retryAfter;
        if (fields.isRetryAfterInvalid) {
            m_context.log.info("replica.pause-invalid", {{"replica", m_replica.id.text()}});
        }
    }
    if (statement != ReplicaStatement()) {
        m_context.dispatcher->post(ReplicaSpoke {m_replica, statement});
    }
}

void RequestProxy::recordResponseStart(Instant now)
{
    if (m_responseStartedAt) {
        return;
    }
    m_responseStartedAt = now;
    m_attemptStart->hasStarted = true;
    m_context.dispatcher->post(
            ResponseStarted {m_lease, m_replica.id, static_cast<double>(m_call.promptTokens)});
}

} // namespace greengageseam
