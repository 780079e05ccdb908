#include "net/httpserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

namespace greengageseam {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

using Parser = http::request_parser<http::string_body>;

constexpr auto acceptRetryDelay = std::chrono::milliseconds(20);
/** Size of the read that waits for the first bytes of a request. */
constexpr std::size_t readAheadBytes = 4 * 1024;

HttpRequest toRequest(Parser &parser)
{
    auto message = parser.release();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    return request;
}

Failure failureFor(const beast::error_code &ec)
{
    if (ec == http::error::body_limit || ec == http::error::header_limit
        || ec == http::error::buffer_overflow) {
        return {ErrorKind::TooLarge, ec.message()};
    }
    if (ec == beast::error::timeout) {
        return {ErrorKind::SlowCaller,
                "the request was not received completely within the time limit"};
    }
    return {ErrorKind::InvalidRequest, ec.message()};
}

/**
 * A timeout or a disconnect between two requests, before the first byte of the next one, needs no
 * error response.
 */
bool needsErrorResponse(const beast::error_code &ec, bool hasStarted)
{
    if (ec == beast::error::timeout) {
        return hasStarted;
    }
    return ec.category() == http::make_error_code(http::error::bad_method).category()
            && ec != http::error::end_of_stream && ec != http::error::partial_message;
}

std::string reasonPhrase(int status)
{
    return std::string(http::obsolete_reason(static_cast<http::status>(status)));
}

} // namespace

HttpServerOptions HttpServerOptions::withMaxBodyBytes(std::size_t value) const
{
    HttpServerOptions options = *this;
    options.maxBodyBytes = value;
    return options;
}

HttpServerOptions HttpServerOptions::withReadTimeout(Duration value) const
{
    HttpServerOptions options = *this;
    options.readTimeout = value;
    return options;
}

HttpServerOptions HttpServerOptions::withWriteTimeout(Duration value) const
{
    HttpServerOptions options = *this;
    options.writeTimeout = value;
    return options;
}

HttpServerOptions HttpServerOptions::withMaxConnections(std::size_t value) const
{
    HttpServerOptions options = *this;
    options.maxConnections = value;
    return options;
}

HttpExchange::HttpExchange(beast::tcp_stream &stream, HttpRequest request, bool keepAlive,
                           const bool &isServerDraining, Duration writeTimeout)
    : m_stream(stream), m_request(std::move(request)), m_keepAlive(keepAlive),
      m_isServerDraining(isServerDraining), m_writeTimeout(writeTimeout)
{ }

Awaitable<bool> HttpExchange::respond(HttpResponse response)
{
    std::string bytes = serializeHead(response, response.body.size());
    bytes += response.body;
    m_hasStarted = true;
    m_isComplete = co_await write(std::move(bytes));
    co_return m_isComplete;
}

Awaitable<bool> HttpExchange::beginStream(HttpResponse head)
{
    m_hasStarted = true;
    co_return co_await write(serializeHead(head, std::nullopt));
}

Awaitable<bool> HttpExchange::sendPart(std::string part)
{
    if (part.empty()) {
        co_return true;
    }
    std::array<char, 20> size {};
    const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    std::string bytes(size.data(), static_cast<std::size_t>(n));
    bytes += part;
    bytes += "\r\n";
    co_return co_await write(std::move(bytes));
}

Awaitable<bool> HttpExchange::endStream()
{
    m_isComplete = co_await write("0\r\n\r\n");
    co_return m_isComplete;
}

void HttpExchange::abort()
{
    m_isComplete = false;
    beast::error_code ec;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
    m_stream.close();
}

Awaitable<void> HttpExchange::waitForDisconnect()
{
    auto &socket = m_stream.socket();
    auto [ec] = co_await socket.async_wait(asio::socket_base::wait_read, asTuple);
    char byte = 0;
    const bool hasMore = !ec && recv(socket.native_handle(), &byte, 1, MSG_PEEK) > 0;
    if (hasMore) {
        Timer never(socket.get_executor(), Instant::max());
        co_await never.async_wait(asTuple);
    }
}

Awaitable<bool> HttpExchange::write(std::string bytes)
{
    m_stream.expires_after(m_writeTimeout);
    auto [ec, n] = co_await asio::async_write(m_stream, asio::buffer(bytes), asTuple);
    m_stream.expires_never();
    co_return !ec;
}

std::string HttpExchange::serializeHead(const HttpResponse &response,
                                        std::optional<std::size_t> length) const
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " "
            + reasonPhrase(response.status) + "\r\n";
    text += "Content-Type: " + response.contentType + "\r\n";
    for (const HttpHeader &field : response.headers) {
        text += field.name + ": " + field.value + "\r\n";
    }
    text += length ? "Content-Length: " + std::to_string(*length) + "\r\n"
                   : std::string("Transfer-Encoding: chunked\r\n");
    if (!m_keepAlive || m_isServerDraining) {
        text += "Connection: close\r\n";
    }
    return text + "\r\n";
}

HttpServer::HttpServer(const asio::any_io_executor &executor, HttpServerOptions options,
                       HttpHandler handler, Log log)
    : m_executor(executor), m_options(options), m_handler(std::move(handler)),
      m_log(std::move(log)), m_acceptor(executor)
{ }

Result<Address> HttpServer::listen(const Address &address)
{
    BOOST_LEAF_CHECK(openAcceptor(m_acceptor, address));
    return addressOf(m_acceptor.local_endpoint());
}

void HttpServer::start()
{
    asio::co_spawn(
            m_executor, [self = shared_from_this()] { return self->acceptLoop(); }, asio::detached);
}

void HttpServer::stop()
{
    m_isDraining = true;
    m_isStopping = true;
    beast::error_code ec;
    m_acceptor.close(ec);
    for (const auto &stream : m_idleConnections) {
        stream->cancel();
    }
}

Awaitable<void> HttpServer::acceptLoop()
{
    Timer pause(m_executor);
    while (!m_isStopping) {
        if (m_connectionCount >= m_options.maxConnections) {
            closeLongestIdle();
            pause.expires_after(acceptRetryDelay);
            co_await pause.async_wait(asTuple);
            continue;
        }
        auto [ec, socket] = co_await m_acceptor.async_accept(asTuple);
        if (ec && m_isStopping) {
            co_return;
        }
        if (ec) {
            m_log.warning("http.accept-failed", {{"reason", ec.message()}});
            pause.expires_after(acceptRetryDelay);
            co_await pause.async_wait(asTuple);
            continue;
        }
        beast::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
        asio::co_spawn(
                m_executor,
                [self = shared_from_this(), stream] { return self->serveConnection(stream); },
                asio::detached);
    }
}

void HttpServer::closeLongestIdle()
{
    if (!m_idleConnections.empty()) {
        m_idleConnections.front()->cancel();
    }
}

Awaitable<void> HttpServer::serveConnection(std::shared_ptr<beast::tcp_stream> stream)
{
    ++m_connectionCount;
    // Chunk headers and trailers without end fill the buffer, which then ends the request.
    beast::flat_buffer buf(m_options.maxHeaderBytes + readAheadBytes);
    bool keepsServing = true;
    while (keepsServing && !m_isStopping) {
        if (buf.size() == 0) {
            stream->expires_after(m_options.idleTimeout);
            m_idleConnections.push_back(stream);
            auto [ec, n] = co_await stream->async_read_some(buf.prepare(readAheadBytes), asTuple);
            std::erase(m_idleConnections, stream);
            beast::error_code ignored;
            const bool hasMore = m_isStopping && stream->socket().available(ignored) > 0;
            if (ec && !hasMore) {
                break;
            }
            buf.commit(n);
        }
        keepsServing = co_await serveRequest(*stream, buf);
    }
    beast::error_code ec;
    stream->socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    --m_connectionCount;
}

Awaitable<bool> HttpServer::serveRequest(beast::tcp_stream &stream, beast::flat_buffer &buf)
{
    Parser parser;
    parser.body_limit(m_options.maxBodyBytes);
    parser.header_limit(static_cast<std::uint32_t>(m_options.maxHeaderBytes));
    stream.expires_after(m_options.readTimeout);
    auto [ec, n] = co_await http::async_read(stream, buf, parser, asTuple);
    stream.expires_never();
    if (ec) {
        if (needsErrorResponse(ec, buf.size() > 0 || parser.got_some())) {
            HttpExchange exchange(stream, HttpRequest(), false, m_isDraining,
                                  m_options.writeTimeout);
            co_await exchange.respond(problemResponse(failureFor(ec)));
        }
        co_return false;
    }
    const bool keepAlive = parser.get().keep_alive();
    HttpExchange exchange(stream, toRequest(parser), keepAlive, m_isDraining,
                          m_options.writeTimeout);
    ++m_inProgress;
    try {
        co_await m_handler(exchange);
    } catch (const std::exception &e) {
        m_log.error("http.handler-failed", {{"reason", e.what()}});
        exchange.abort();
    }
    --m_inProgress;
    co_return exchange.canReuseConnection();
}

} // namespace greengageseam
