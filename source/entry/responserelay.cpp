#include "entry/responserelay.h"

#include "core/common/hashing.h"
#include "net/clock.h"
#include "protocol/claimcodec.h"

#include <string_view>

namespace greengageseam {

namespace {

constexpr std::size_t maxBufferedBytes = 8U * 1024 * 1024;
/** A body is copied as it grows. */
constexpr std::size_t bufferCopies = 2;
/** Largest response of a claimed request that is stored in the claim log. */
constexpr std::size_t maxStoredResponseBytes = 4096;

/** Counts server-sent events; engines send one event per token. */
std::uint32_t countEvents(const std::string &bytes)
{
    constexpr std::string_view eventStart = "data: ";
    std::uint32_t events = 0;
    for (std::size_t n = bytes.find(eventStart); n != std::string::npos;
         n = bytes.find(eventStart, n + eventStart.size())) {
        ++events;
    }
    return events;
}

} // namespace

ResponseRelay::ResponseRelay(HttpExchange &exchange, RequestId request, bool isStreamed,
                             Instant requestStartedAt, std::shared_ptr<Metrics> metrics)
    : m_exchange(exchange), m_request(std::move(request)), m_isStreamed(isStreamed),
      m_requestStartedAt(requestStartedAt), m_metrics(std::move(metrics))
{ }

void ResponseRelay::reset()
{
    m_streamedTokens = 0;
    m_bufferedBody.clear();
    m_head = HeadMessage();
    m_receivedBytes = 0;
    m_checksum = 0;
}

void ResponseRelay::setHead(HeadMessage head)
{
    m_head = std::move(head);
}

Awaitable<bool> ResponseRelay::relay(DataMessage &data)
{
    m_receivedBytes += static_cast<std::int64_t>(data.bytes.size());
    m_checksum = checksumOf(data.bytes, m_checksum);
    if (m_isStreamed) {
        m_streamedTokens += countEvents(data.bytes);
    }
    if (!m_isStreamed && canBuffer(data.bytes.size())) {
        m_bufferedBody += data.bytes;
        co_return true;
    }
    if (!m_exchange.hasStarted()) {
        const bool hasBegun = co_await beginStream();
        if (!hasBegun) {
            co_return false;
        }
    }
    co_return co_await m_exchange.sendPart(std::move(data.bytes));
}

/** A streamed response is received only as fast as its caller reads it. */
bool ResponseRelay::canBuffer(std::size_t bytes)
{
    const std::size_t total = m_bufferedBody.size() + bytes;
    return total <= maxBufferedBytes && m_exchange.holdAnswer(bufferCopies * total);
}

/** Sends the head and what has been buffered so far; the response is streamed from then on. */
Awaitable<bool> ResponseRelay::beginStream()
{
    const Duration elapsed = monotonicNow() - m_requestStartedAt;
    m_metrics->observeSeconds("first_part_seconds",
                              "Time to the first chunk of a streamed response",
                              std::chrono::duration<double>(elapsed).count());
    HttpResponse head {m_head.status, m_head.contentType, {}, {}};
    head.headers.push_back({"X-Request-Id", m_request.text()});
    if (!co_await m_exchange.beginStream(std::move(head))) {
        co_return false;
    }
    m_isStreamed = true;
    std::string buffered = std::move(m_bufferedBody);
    m_bufferedBody.clear();
    co_return co_await m_exchange.sendPart(std::move(buffered));
}

Awaitable<AttemptResult> ResponseRelay::finish(const EndMessage &end)
{
    if (end.length != m_receivedBytes || end.checksum != m_checksum) {
        co_return failedAttempt(ErrorKind::AnswerBroken,
                                "the response does not match its length and checksum",
                                ExecutionStatus::Unknown);
    }
    bool isDelivered = false;
    storeCopy();
    if (m_exchange.hasStarted()) {
        isDelivered = co_await m_exchange.endStream();
    } else {
        HttpResponse response {m_head.status, m_head.contentType, {}, std::move(m_bufferedBody)};
        response.headers.push_back({"X-Request-Id", m_request.text()});
        isDelivered = co_await m_exchange.respond(std::move(response));
    }
    if (!isDelivered) {
        co_return callerDisconnected(ExecutionStatus::Executed);
    }
    co_return AttemptResult {std::nullopt, ExecutionStatus::Executed, false};
}

void ResponseRelay::storeCopy()
{
    const bool isStorable = m_keepsCopy && !m_exchange.hasStarted()
            && m_bufferedBody.size() <= maxStoredResponseBytes && isRecordText(m_bufferedBody);
    if (isStorable) {
        m_copy = StoredResponse {m_head.status, m_head.contentType, m_bufferedBody};
    }
}

} // namespace greengageseam
