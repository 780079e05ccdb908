#include "net/httpclient.h"

#include "core/common/httpstatus.h"
#include "core/fleet/eventsplitter.h"
#include "net/clock.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

namespace greengageseam {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t maxBodyPartBytes = 64 * 1024;
/** Maximum number of received bytes that are buffered unparsed, such as a chunk header. */
constexpr std::size_t maxUnparsedBytes = 64 * 1024;
/** A body may take this many times the timeout of a call, as long as it makes progress. */
constexpr int bodyTimeoutRatio = 10;

std::string serializeRequest(const Address &address, const HttpRequest &request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    text += "Host: " + address.text() + "\r\nConnection: close\r\n";
    for (const HttpHeader &field : request.headers) {
        text += field.name + ": " + field.value + "\r\n";
    }
    if (!request.body.empty() || request.method != "GET") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

std::uint32_t parseSeconds(std::string_view text)
{
    std::uint32_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return seconds;
}

} // namespace

HttpCall::HttpCall(const asio::any_io_executor &executor)
    : m_stream(executor), m_buf(maxUnparsedBytes)
{ }

Awaitable<Outcome<HttpCallHead>> HttpCall::start(const Address &address, const HttpRequest &request,
                                                 Duration timeout)
{
    const Outcome<asio::ip::tcp::endpoint> endpoint =
            toOutcome([&] { return parseEndpoint(address); });
    if (const Failure *failure = failureOf(endpoint)) {
        co_return *failure;
    }
    m_stream.expires_after(timeout);
    auto [connectError] =
            co_await m_stream.async_connect(std::get<asio::ip::tcp::endpoint>(endpoint), asTuple);
    if (connectError) {
        co_return Failure {ErrorKind::NoBackendServer,
                           address.text() + ": " + connectError.message()};
    }
    beast::error_code ignored;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    m_stream.expires_after(timeout);
    const std::string text = serializeRequest(address, request);
    auto [writeError, written] = co_await asio::async_write(m_stream, asio::buffer(text), asTuple);
    if (writeError) {
        co_return Failure {ErrorKind::OutcomeUnknown, address.text() + ": " + writeError.message()};
    }
    m_stream.expires_after(timeout);
    StatusClass statusClass = StatusClass::Interim;
    for (int heads = 0; heads <= maxInterimHeads && statusClass == StatusClass::Interim; ++heads) {
        const Outcome<int> status = co_await parseHead(address);
        if (const Failure *failure = failureOf(status)) {
            co_return *failure;
        }
        statusClass = classOfStatus(std::get<int>(status));
    }
    const auto &head = m_parser->get();
    if (statusClass != StatusClass::Final) {
        co_return Failure {ErrorKind::OutcomeUnknown,
                           address.text() + ": the status " + std::to_string(head.result_int())
                                   + " is not that of a response"};
    }
    const std::string contentType(head[http::field::content_type]);
    m_isUnframedStream =
            contentType.starts_with("text/event-stream") && !m_parser->is_done() && head.need_eof();
    const auto retryAfter = head[http::field::retry_after];
    co_return HttpCallHead {static_cast<int>(head.result_int()), contentType,
                            parseSeconds({retryAfter.data(), retryAfter.size()})};
}

Awaitable<Outcome<int>> HttpCall::parseHead(const Address &address)
{
    m_parser.emplace();
    m_parser->body_limit(boost::none);
    auto [ec, n] = co_await http::async_read_header(m_stream, m_buf, *m_parser, asTuple);
    if (ec) {
        co_return Failure {ErrorKind::OutcomeUnknown, address.text() + ": " + ec.message()};
    }
    co_return static_cast<int>(m_parser->get().result_int());
}

Awaitable<Outcome<HttpBodyPart>> HttpCall::readBodyPart(Duration timeout)
{
    if (m_parser->is_done()) {
        co_return HttpBodyPart {std::string(), true};
    }
    if (timeout <= Duration::zero()) {
        // The read would succeed all the same if bytes were ready.
        co_return Failure {ErrorKind::AnswerBroken, "the response body did not end in time"};
    }
    std::string bytes(maxBodyPartBytes, '\0');
    auto &body = m_parser->get().body();
    body.data = bytes.data();
    body.size = bytes.size();
    m_stream.expires_after(timeout);
    auto [ec, n] = co_await http::async_read_some(m_stream, m_buf, *m_parser, asTuple);
    if (ec && ec != http::error::need_buffer) {
        co_return Failure {ErrorKind::AnswerBroken, ec.message()};
    }
    bytes.resize(bytes.size() - body.size);
    m_bodyEnd += bytes.substr(bytes.size() - std::min(bytes.size(), eventEndBytes));
    m_bodyEnd.erase(0, m_bodyEnd.size() - std::min(m_bodyEnd.size(), eventEndBytes));
    if (m_parser->is_done() && isBrokenStream()) {
        co_return Failure {ErrorKind::AnswerBroken, "the event stream ended inside an event"};
    }
    co_return HttpBodyPart {std::move(bytes), m_parser->is_done()};
}

bool HttpCall::isBrokenStream() const
{
    return m_isUnframedStream && !endsWithEvent(m_bodyEnd);
}

void HttpCall::abort()
{
    m_stream.close();
}

Awaitable<Outcome<HttpResponse>> callHttp(asio::any_io_executor executor, Address address,
                                          HttpRequest request, Duration timeout,
                                          std::size_t maxBytes)
{
    HttpCall call(executor);
    const Outcome<HttpCallHead> started = co_await call.start(address, request, timeout);
    if (const Failure *failure = failureOf(started)) {
        co_return *failure;
    }
    const auto &head = std::get<HttpCallHead>(started);
    HttpResponse response {head.status, head.contentType, {}, {}};
    if (head.retryAfterSeconds > 0) {
        response.headers.push_back({"Retry-After", std::to_string(head.retryAfterSeconds)});
    }
    const Instant end = monotonicNow() + bodyTimeoutRatio * timeout;
    while (true) {
        const Duration left = end - monotonicNow();
        const Outcome<HttpBodyPart> part = co_await call.readBodyPart(std::min(left, timeout));
        if (const Failure *failure = failureOf(part)) {
            co_return *failure;
        }
        response.body += std::get<HttpBodyPart>(part).bytes;
        if (response.body.size() > maxBytes) {
            co_return Failure {ErrorKind::TooLarge,
                               address.text() + ": the response body exceeds the size limit"};
        }
        if (std::get<HttpBodyPart>(part).isLast) {
            co_return response;
        }
    }
}

} // namespace greengageseam
