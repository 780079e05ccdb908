#include "net/httpconnection.h"

#include "core/common/httpstatus.h"
#include "net/clock.h"

#include <algorithm>
#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace greengageseam {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t maxBodyPartBytes = 16 * 1024;
/** Maximum size of a head, and of the chunk headers and trailers that are buffered unparsed. */
constexpr std::size_t maxHeadBytes = 64 * 1024;
constexpr auto unreadRequestTimeout = std::chrono::milliseconds(3000);
/** Seconds without traffic before the first keep-alive probe, and between two probes. */
constexpr int keepAliveProbeSeconds = 1;
/** Number of unanswered probes after which the connection is closed. */
constexpr int maxUnansweredProbes = 2;

} // namespace

std::optional<std::string_view> HttpResponseHead::header(std::string_view name) const
{
    for (const HttpHeader &field : headers) {
        if (beast::iequals(field.name, {name.data(), name.size()})) {
            return field.value;
        }
    }
    return std::nullopt;
}

void setTcpOptions(asio::ip::tcp::socket &socket, std::chrono::milliseconds unreadTimeout)
{
    const auto userTimeoutMs = static_cast<unsigned>(unreadTimeout.count());
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveProbeSeconds,
                 sizeof(keepAliveProbeSeconds));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveProbeSeconds,
                 sizeof(keepAliveProbeSeconds));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &maxUnansweredProbes,
                 sizeof(maxUnansweredProbes));
    ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof(userTimeoutMs));
}

HttpConnection::HttpConnection(const asio::any_io_executor &executor)
    : m_socket(executor), m_timer(executor), m_buf(maxHeadBytes)
{ }

void HttpConnection::startDeadline(Duration timeout)
{
    m_deadline = monotonicNow() + timeout;
    m_isDeadlineActive = true;
    m_isTimedOut = false;
    if (!m_isTimerArmed || m_timer.expiry() > m_deadline) {
        armTimer();
    }
}

/**
 * Arms the timer for the current deadline. To keep I/O operations cheap, the timer is not rearmed
 * for each of them: when it fires before a deadline that has moved on, it is armed again.
 */
void HttpConnection::armTimer()
{
    m_isTimerArmed = true;
    m_timer.expires_at(m_deadline);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (ec || !self) {
            return;
        }
        self->m_isTimerArmed = false;
        if (!self->m_isDeadlineActive) {
            return;
        }
        if (monotonicNow() < self->m_deadline) {
            self->armTimer();
            return;
        }
        self->m_isTimedOut = true;
        self->closeWithReset();
    });
}

HttpIoStatus HttpConnection::ioStatusOf(const boost::system::error_code &ec) const
{
    if (!ec) {
        return HttpIoStatus::Done;
    }
    if (m_isAborted) {
        return HttpIoStatus::Aborted;
    }
    if (m_isTimedOut) {
        return HttpIoStatus::TimedOut;
    }
    const bool isTruncated = ec == http::error::end_of_stream || ec == http::error::partial_message;
    const bool isHttpError =
            ec.category() == http::make_error_code(http::error::end_of_stream).category();
    return isHttpError && !isTruncated ? HttpIoStatus::Malformed : HttpIoStatus::ConnectionLost;
}

Awaitable<HttpIoStatus> HttpConnection::connect(asio::ip::tcp::endpoint endpoint, Duration timeout)
{
    const auto self = shared_from_this();
    if (m_isAborted) {
        co_return HttpIoStatus::Aborted;
    }
    startDeadline(timeout);
    auto [ec] = co_await m_socket.async_connect(endpoint, asTuple);
    m_isDeadlineActive = false;
    if (!ec) {
        setTcpOptions(m_socket, unreadRequestTimeout);
        co_return HttpIoStatus::Done;
    }
    const HttpIoStatus status = ioStatusOf(ec);
    co_return status == HttpIoStatus::ConnectionLost ? HttpIoStatus::ConnectFailed : status;
}

Awaitable<HttpIoStatus> HttpConnection::send(std::string text, Duration timeout,
                                             std::shared_ptr<const std::string> body)
{
    const auto self = shared_from_this();
    m_isRequestSent = false;
    startDeadline(timeout);
    const asio::const_buffer rest = body ? asio::buffer(*body) : asio::const_buffer();
    const std::array<asio::const_buffer, 2> parts {asio::buffer(text), rest};
    auto [ec, n] = co_await asio::async_write(m_socket, parts, asTuple);
    m_isRequestSent = !ec;
    co_return ioStatusOf(ec);
}

Awaitable<HttpReadResult<HttpResponseHead>> HttpConnection::readHead(bool isHeadRequest,
                                                                     Duration timeout)
{
    const auto self = shared_from_this();
    const Instant end = monotonicNow() + timeout;
    m_isKeepAlive = false;
    for (int interimHeads = 0; interimHeads <= maxInterimHeads; ++interimHeads) {
        const HttpIoStatus status = co_await parseHead(isHeadRequest, end - monotonicNow());
        if (status != HttpIoStatus::Done) {
            co_return HttpReadResult<HttpResponseHead> {status, {}};
        }
        const StatusClass statusClass =
                classOfStatus(static_cast<int>(m_parser->get().result_int()));
        if (statusClass == StatusClass::Final) {
            co_return HttpReadResult<HttpResponseHead> {HttpIoStatus::Done, takeHead()};
        }
        if (statusClass == StatusClass::Invalid) {
            break;
        }
    }
    co_return HttpReadResult<HttpResponseHead> {HttpIoStatus::Malformed, {}};
}

Awaitable<HttpIoStatus> HttpConnection::parseHead(bool isHeadRequest, Duration timeout)
{
    m_parser.emplace();
    m_parser->body_limit(boost::none);
    m_parser->header_limit(maxHeadBytes);
    m_parser->skip(isHeadRequest);
    startDeadline(timeout);
    auto [ec, n] = co_await http::async_read_header(m_socket, m_buf, *m_parser, asTuple);
    m_isDeadlineActive = false;
    m_receivedAt = monotonicNow();
    co_return ioStatusOf(ec);
}

HttpResponseHead HttpConnection::takeHead()
{
    const auto &message = m_parser->get();
    HttpResponseHead head;
    head.status = static_cast<int>(message.result_int());
    head.isKeepAlive = message.keep_alive() && !message.need_eof();
    head.isFramed = m_parser->is_done() || !message.need_eof();
    m_isFramed = head.isFramed;
    const auto length = m_parser->content_length();
    if (length) {
        head.length = *length;
    }
    for (const auto &field : message) {
        head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    m_isKeepAlive = head.isKeepAlive;
    if (m_parser->is_done()) {
        m_idleSince = monotonicNow();
    }
    return head;
}

Awaitable<HttpReadResult<std::string>> HttpConnection::readBodyPart(Duration timeout)
{
    const auto self = shared_from_this();
    const Instant end = monotonicNow() + timeout;
    std::string bytes;
    while (bytes.empty() && !m_parser->is_done()) {
        const Duration left = end - monotonicNow();
        if (left <= Duration()) {
            // The read would succeed all the same if bytes were ready.
            closeWithReset();
            co_return HttpReadResult<std::string> {
                    m_isAborted ? HttpIoStatus::Aborted : HttpIoStatus::TimedOut, {}};
        }
        bytes.resize(maxBodyPartBytes);
        auto &body = m_parser->get().body();
        body.data = bytes.data();
        body.size = bytes.size();
        body.more = true;
        startDeadline(left);
        auto [ec, n] = co_await http::async_read_some(m_socket, m_buf, *m_parser, asTuple);
        m_isDeadlineActive = false;
        m_receivedAt = monotonicNow();
        bytes.resize(bytes.size() - body.size);
        if (ec && ec != http::error::need_buffer) {
            co_return HttpReadResult<std::string> {ioStatusOf(ec), std::move(bytes)};
        }
    }
    if (m_parser->is_done()) {
        m_idleSince = monotonicNow();
    }
    // A failed write consumes the error of a reset, so that reads see a normal end.
    const bool mayBeReset = m_parser->is_done() && !m_isFramed && !m_isRequestSent;
    co_return HttpReadResult<std::string> {
            mayBeReset ? HttpIoStatus::ConnectionLost : HttpIoStatus::Done, std::move(bytes)};
}

Awaitable<HttpReadResult<std::string>>
HttpConnection::readBody(std::size_t maxBytes, Duration timeout, Duration partTimeout)
{
    const auto length = m_parser->content_length_remaining();
    if (length && *length > maxBytes && !m_parser->is_done()) {
        co_return HttpReadResult<std::string> {HttpIoStatus::Malformed, {}};
    }
    const Instant end = monotonicNow() + timeout;
    std::string body;
    while (true) {
        const Duration left = end - monotonicNow();
        if (left <= Duration() && !m_parser->is_done()) {
            co_return HttpReadResult<std::string> {HttpIoStatus::TimedOut, std::move(body)};
        }
        HttpReadResult<std::string> part = co_await readBodyPart(std::min(left, partTimeout));
        body += part.value;
        if (part.ioStatus != HttpIoStatus::Done || part.value.empty()) {
            co_return HttpReadResult<std::string> {part.ioStatus, std::move(body)};
        }
        if (body.size() > maxBytes) {
            co_return HttpReadResult<std::string> {HttpIoStatus::Malformed, {}};
        }
    }
}

void HttpConnection::abort()
{
    m_isAborted = true;
    closeWithReset();
    m_timer.cancel();
}

/** With SO_LINGER 0, close() sends a reset and discards unsent data, which must not arrive later.
 */
void HttpConnection::closeWithReset()
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

bool HttpConnection::isReusable() const
{
    return m_isRequestSent && m_isKeepAlive && !m_isAborted && m_socket.is_open() && m_parser
            && m_parser->is_done() && m_buf.size() == 0;
}

bool HttpConnection::isIdleAndOpen()
{
    char c = 0;
    const ssize_t n = ::recv(m_socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace greengageseam
