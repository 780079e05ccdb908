/**
 * The part of RequestProxy that reads the response from a backend server and relays it to the
 * caller.
 */
#include "edge/requestrun.h"
#include "net/clock.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr std::size_t maxBufferedBody = 16ULL * 1024 * 1024;
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusServerError = 500;

} // namespace

SendEnd RequestRun::endOfWait(WireEnd end, bool hasHead) const
{
    if (end == WireEnd::TimedOut) {
        return left() <= shortestSend ? SendEnd::DeadlineReached : SendEnd::Silent;
    }
    if (end == WireEnd::Malformed) {
        return SendEnd::Garbled;
    }
    return hasHead ? SendEnd::BrokenAnswer : SendEnd::BrokenBeforeAnswer;
}

Awaitable<RequestRun::Sent> RequestRun::receive()
{
    WireRead<WireHead> head =
            co_await m_connection->readHead(m_request.method == "HEAD", silenceLimit());
    if (head.end != WireEnd::Done) {
        co_return Sent {endOfWait(head.end, false), {}, {}};
    }
    const AnswerFields fields = m_context.codec.decodeAnswer(head.value);
    const bool isOther = !fields.attemptId.empty() && fields.attemptId != m_call.attemptId;
    const bool isSuccess = head.value.status >= statusOk && head.value.status < statusBadRequest;
    if (isOther || fields.isEncoded || (isSuccess && !fields.isSealed)) {
        co_return Sent {SendEnd::Garbled, {}, {}};
    }
    if (fields.isNotRun) {
        co_await m_connection->readBody(maxBufferedBody, silenceLimit());
        co_return Sent {fields.isMisdirected ? SendEnd::Misdirected : SendEnd::Rejected,
                        {},
                        fields.keptFor};
    }
    if (isSuccess && fields.isEventStream) {
        co_return co_await receiveStream(head.value);
    }
    co_return co_await receiveWhole(head.value, fields);
}

Awaitable<RequestRun::Sent> RequestRun::receiveWhole(const WireHead &head,
                                                     const AnswerFields &fields)
{
    WireRead<std::string> body = co_await m_connection->readBody(maxBufferedBody, silenceLimit());
    if (body.end != WireEnd::Done) {
        co_return Sent {endOfWait(body.end, true), {}, {}};
    }
    HttpResponse answer;
    answer.status = head.status;
    answer.headers = m_context.codec.forwardedFields(head);
    answer.body = std::move(body.value);
    if (answer.status >= statusServerError) {
        co_return Sent {SendEnd::FailedAnswer, std::move(answer), fields.keptFor};
    }
    if (m_isStreaming) {
        co_return Sent {SendEnd::Garbled, {}, fields.keptFor};
    }
    const int status = answer.status;
    const std::vector<HttpHeader> headers = answer.headers;
    co_await m_caller.respond(status, headers, std::move(answer.body));
    note("answered", status, {});
    co_return Sent {SendEnd::Answered, {}, fields.keptFor};
}

Awaitable<RequestRun::Sent> RequestRun::receiveStream(const WireHead &head)
{
    const std::optional<Duration> keptFor = m_context.codec.decodeAnswer(head).keptFor;
    while (true) {
        WireRead<std::string> part = co_await m_connection->readPart(silenceLimit());
        WholeEvents events = m_events.feed(part.value);
        if (m_events.hasGap()) {
            co_return Sent {SendEnd::Garbled, {}, {}};
        }
        const Instant now = monotonicNow();
        if (events.count > 0) {
            noteBegun(now);
            m_longestGap =
                    m_lastEventAt ? std::max(m_longestGap, now - *m_lastEventAt) : m_longestGap;
            m_lastEventAt = now;
        }
        if (events.count > 0 && !m_isStreaming) {
            m_isStreaming = true;
            m_firstEventAt = now;
            const std::vector<HttpHeader> fields = m_context.codec.forwardedFields(head);
            co_await m_caller.beginStream(head.status, fields, std::move(events.bytes));
        } else if (events.count > 0) {
            co_await m_caller.sendPart(std::move(events.bytes));
        }
        if (part.end != WireEnd::Done) {
            co_return Sent {endOfWait(part.end, true), {}, {}};
        }
        if (!part.value.empty()) {
            continue;
        }
        if (m_events.hasPartial()) {
            co_return Sent {SendEnd::BrokenAnswer, {}, {}};
        }
        if (!m_isStreaming) {
            m_isStreaming = true;
            const std::vector<HttpHeader> fields = m_context.codec.forwardedFields(head);
            std::string nothing;
            co_await m_caller.beginStream(head.status, fields, std::move(nothing));
        }
        co_await m_caller.endStream();
        note("answered", head.status, {});
        co_return Sent {SendEnd::Answered, {}, keptFor};
    }
}

void RequestRun::noteBegun(Instant now)
{
    if (m_answeredAt) {
        return;
    }
    m_answeredAt = now;
    m_context.dispatcher->post(LeaseBegun {m_replica, static_cast<double>(m_call.promptTokens)});
}

} // namespace greengageseam
