#include "net/httpserver.h"

#include <algorithm>
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

constexpr auto acceptRetryDelay = std::chrono::milliseconds(20);
/** Size of the read that waits for the first bytes of a request. */
constexpr std::size_t readAheadBytes = 4 * 1024;
/** Memory of a connection besides its request: its task, and the buffer in which it waits. */
constexpr std::size_t connectionBytes = 8 * 1024;
/** Bytes of an answer that are written at a time, after which the caller has made progress. */
constexpr std::size_t pieceBytes = 64 * 1024;

HttpRequest toRequest(http::request<http::string_body> message)
{
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
    if (ec == asio::error::no_buffer_space) {
        return {ErrorKind::Overloaded, "the process holds too much for its callers"};
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
    return ec == asio::error::no_buffer_space
            || (ec.category() == http::make_error_code(http::error::bad_method).category()
                && ec != http::error::end_of_stream && ec != http::error::partial_message);
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

HttpServerOptions HttpServerOptions::withBodyCopies(std::size_t value) const
{
    HttpServerOptions options = *this;
    options.bodyCopies = value;
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

HttpServerConnection::HttpServerConnection(asio::ip::tcp::socket socket, std::size_t maxBufferBytes,
                                           ProcessBudgetPtr sharedBudget)
    : stream(std::move(socket)), buf(maxBufferBytes), budget(std::move(sharedBudget))
{ }

void HttpServerConnection::closeForRoom()
{
    // A reset would destroy the end of an answer that was written to an idle connection.
    if (!isIdle) {
        beast::error_code ec;
        stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
    }
    stream.close();
}

HttpExchange::HttpExchange(HttpServerConnection &connection, HttpRequest request, HeldBytes &held,
                           bool keepAlive, const bool &isServerDraining, Duration writeTimeout)
    : m_connection(connection), m_request(std::move(request)), m_held(held),
      m_requestBytes(held.bytes()), m_keepAlive(keepAlive), m_isServerDraining(isServerDraining),
      m_writeTimeout(writeTimeout)
{ }

bool HttpExchange::holdAnswer(std::size_t bytes)
{
    const std::size_t total = m_requestBytes + bytes;
    if (bytes <= smallHolderBytes) {
        m_held.growInAnyCase(total);
        return true;
    }
    return m_held.resize(total);
}

Awaitable<bool> HttpExchange::respond(HttpResponse response)
{
    m_held.growInAnyCase(m_requestBytes + response.body.size());
    std::string head = serializeHead(response, response.body.size());
    m_hasStarted = true;
    m_isComplete = co_await write(std::move(head), std::move(response.body));
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
    m_connection.stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
    m_connection.stream.close();
}

Awaitable<void> HttpExchange::waitForDisconnect()
{
    auto &socket = m_connection.stream.socket();
    auto [ec] = co_await socket.async_wait(asio::socket_base::wait_read, asTuple);
    char byte = 0;
    const bool hasMore = !ec && recv(socket.native_handle(), &byte, 1, MSG_PEEK) > 0;
    if (hasMore) {
        Timer never(socket.get_executor(), Instant::max());
        co_await never.async_wait(asTuple);
    }
}

/** Writes a small body together with the head, and does not copy a large one. */
Awaitable<bool> HttpExchange::write(std::string head, std::string body)
{
    if (body.size() <= pieceBytes) {
        head += body;
        body.clear();
    }
    m_connection.budget->setPhase(m_connection.holder, HolderPhase::Responding);
    m_connection.stream.expires_after(m_writeTimeout);
    bool isWritten = co_await writePieces(head);
    if (isWritten) {
        isWritten = co_await writePieces(body);
    }
    m_connection.stream.expires_never();
    m_connection.budget->setPhase(m_connection.holder, HolderPhase::Serving);
    co_return isWritten;
}

Awaitable<bool> HttpExchange::writePieces(const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const std::size_t size = std::min(pieceBytes, bytes.size() - written);
        auto [ec, n] = co_await asio::async_write(
                m_connection.stream, asio::buffer(bytes.data() + written, size), asTuple);
        if (ec) {
            co_return false;
        }
        written += n;
        m_connection.budget->recordProgress(m_connection.holder);
    }
    co_return true;
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
                       ProcessBudgetPtr budget, HttpHandler handler, Log log)
    : m_executor(executor), m_options(options), m_budget(std::move(budget)),
      m_handler(std::move(handler)), m_log(std::move(log)), m_acceptor(executor)
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
    for (const auto &connection : m_idleConnections) {
        connection->stream.cancel();
    }
}

Awaitable<void> HttpServer::acceptLoop()
{
    Timer pause(m_executor);
    while (!m_isStopping) {
        auto [ec, socket] = co_await m_acceptor.async_accept(asTuple);
        if (ec && !m_isStopping) {
            m_log.warning("http.accept-failed", {{"reason", ec.message()}});
            pause.expires_after(acceptRetryDelay);
            co_await pause.async_wait(asTuple);
            continue;
        }
        while (!m_isStopping && !makeRoom()) {
            pause.expires_after(acceptRetryDelay);
            co_await pause.async_wait(asTuple);
        }
        if (m_isStopping) {
            co_return;
        }
        beast::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        auto connection = std::make_shared<HttpServerConnection>(
                std::move(socket), m_options.maxHeaderBytes + readAheadBytes, m_budget);
        asio::co_spawn(
                m_executor,
                [self = shared_from_this(), connection] {
                    return self->serveConnection(connection);
                },
                asio::detached);
    }
}

bool HttpServer::makeRoom()
{
    const bool isWithinBudget = m_budget->makeRoomForSockets(1, 0);
    const bool isFull = m_connectionCount >= m_options.maxConnections;
    if (isFull && !m_idleConnections.empty()) {
        m_idleConnections.front()->stream.cancel();
    }
    return isWithinBudget && !isFull;
}

Awaitable<void> HttpServer::serveConnection(HttpServerConnectionPtr connection)
{
    ++m_connectionCount;
    connection->holder = m_budget->add([weak = std::weak_ptr(connection)] {
        if (const auto closed = weak.lock()) {
            closed->closeForRoom();
        }
    });
    HeldBytes held(m_budget, connection->holder);
    held.growInAnyCase(connectionBytes);
    bool keepsServing = true;
    while (keepsServing && !m_isStopping) {
        m_budget->setPhase(connection->holder, HolderPhase::Reading);
        keepsServing = connection->buf.size() > 0 || co_await awaitRequest(connection);
        if (keepsServing) {
            keepsServing = co_await serveRequest(*connection);
        }
    }
    m_budget->remove(connection->holder);
    beast::error_code ec;
    connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    --m_connectionCount;
}

Awaitable<bool> HttpServer::awaitRequest(const HttpServerConnectionPtr &connection)
{
    connection->buf.shrink_to_fit();
    connection->stream.expires_after(m_options.idleTimeout);
    connection->isIdle = true;
    m_idleConnections.push_back(connection);
    auto [ec, n] = co_await connection->stream.async_read_some(
            connection->buf.prepare(readAheadBytes), asTuple);
    std::erase(m_idleConnections, connection);
    connection->isIdle = false;
    beast::error_code ignored;
    const bool hasMore = m_isStopping && connection->stream.socket().available(ignored) > 0;
    connection->buf.commit(n);
    co_return !ec || hasMore;
}

Awaitable<bool> HttpServer::serveRequest(HttpServerConnection &connection)
{
    HeldBytes held(m_budget, connection.holder);
    Parser parser;
    connection.stream.expires_after(m_options.readTimeout);
    const beast::error_code ec = co_await readRequest(connection, parser, held);
    connection.stream.expires_never();
    m_budget->setPhase(connection.holder, HolderPhase::Serving);
    if (ec) {
        if (needsErrorResponse(ec, connection.buf.size() > 0 || parser.got_some())) {
            HttpExchange exchange(connection, HttpRequest(), held, false, m_isDraining,
                                  m_options.writeTimeout);
            co_await exchange.respond(problemResponse(failureFor(ec)));
        }
        co_return false;
    }
    const bool keepAlive = parser.get().keep_alive();
    HttpExchange exchange(connection, toRequest(parser.release()), held, keepAlive, m_isDraining,
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

Awaitable<boost::system::error_code> HttpServer::readRequest(HttpServerConnection &connection,
                                                             Parser &parser, HeldBytes &held)
{
    parser.body_limit(m_options.maxBodyBytes);
    parser.header_limit(static_cast<std::uint32_t>(m_options.maxHeaderBytes));
    parser.eager(true);
    while (!parser.is_done()) {
        auto [ec, n] =
                co_await http::async_read_some(connection.stream, connection.buf, parser, asTuple);
        // Chunk headers and trailers without end fill the buffer, which then ends the request.
        if (ec) {
            co_return ec;
        }
        m_budget->recordProgress(connection.holder);
        const std::size_t bodyBytes = m_options.bodyCopies * parser.get().body().size();
        if (!held.resize(bodyBytes + connection.buf.size())) {
            co_return asio::error::no_buffer_space;
        }
    }
    co_return boost::system::error_code();
}

} // namespace greengageseam
