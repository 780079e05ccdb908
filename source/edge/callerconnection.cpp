#include "edge/callerconnection.h"

#include "net/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace greengageseam {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/** Size of the read that waits for the first bytes of a request. */
constexpr std::size_t readAheadBytes = 8 * 1024;
/** Interval at which a connection checks its timeouts. */
constexpr auto timeoutCheckInterval = std::chrono::milliseconds(500);
/** The same interval once the server has stopped, so that requests expire in time. */
constexpr auto stoppedCheckInterval = std::chrono::milliseconds(100);
/** Longer than callers wait for a response, so that one that reads slowly is not cut off. */
constexpr auto unreadResponseTimeout = std::chrono::seconds(30);
constexpr int statusHeaderTooLarge = 431;
constexpr int http10Version = 10;

RequestRejected rejectionFor(const boost::system::error_code &ec)
{
    if (ec == http::error::header_limit) {
        return {ErrorKind::TooLarge, statusHeaderTooLarge};
    }
    if (ec == http::error::body_limit) {
        return {ErrorKind::TooLarge, 0};
    }
    return {ErrorKind::InvalidRequest, 0};
}

/** @returns whether the error is a closed or broken connection rather than a malformed request */
bool isDisconnect(const boost::system::error_code &ec)
{
    const auto &httpCategory = http::make_error_code(http::error::end_of_stream).category();
    return ec == http::error::end_of_stream || ec == http::error::partial_message
            || ec.category() != httpCategory;
}

std::string_view nameOf(CloseCause cause)
{
    switch (cause) {
    case CloseCause::CallerLeft:
        return "caller-left";
    case CloseCause::Announced:
        return "announced";
    case CloseCause::ResponseIncomplete:
        return "response-incomplete";
    case CloseCause::Stopped:
        return "stopped";
    case CloseCause::Idle:
        break;
    }
    return "idle";
}

/** @returns why the connection closes after a response; empty if it stays open */
std::optional<CloseCause> closeCauseAfter(const ResponseWriter &writer)
{
    if (writer.isDisconnected()) {
        return CloseCause::CallerLeft;
    }
    if (writer.hasAnnouncedClose()) {
        return CloseCause::Announced;
    }
    return writer.closesConnection() ? std::optional(CloseCause::ResponseIncomplete) : std::nullopt;
}

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, const RequestContext &context,
                                   std::shared_ptr<CallerServerState> server)
    : m_socket(std::move(socket)), m_context(context), m_server(std::move(server)),
      m_events(makeMailbox<ConnectionEvent>(m_socket.get_executor(), 1)),
      m_timer(m_socket.get_executor()), m_activity(monotonicNow())
{
    ++m_server->connections;
}

void CallerConnection::start()
{
    setTcpOptions(m_socket, unreadResponseTimeout);
    const auto executor = m_socket.get_executor();
    asio::co_spawn(
            executor, [self = shared_from_this()] { return self->readLoop(); }, asio::detached);
    asio::co_spawn(executor, [self = shared_from_this()] { return self->serve(); }, asio::detached);
    checkTimeouts();
}

void CallerConnection::close(CloseCause cause)
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    recordClose(cause);
    --m_server->connections;
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
    m_timer.cancel();
    m_events->close();
}

/** Counts the close, and logs it if the caller may believe that it can send another request. */
void CallerConnection::recordClose(CloseCause cause) const
{
    m_context.metrics->count("caller_closes_total", "Connections of callers that were closed",
                             {{"cause", std::string(nameOf(cause))}});
    if (cause != CloseCause::Stopped) {
        return;
    }
    m_context.log.info("caller.closed",
                       {{"cause", nameOf(cause)},
                        {"requests", m_requests},
                        {"phase_ms", (monotonicNow() - m_activity.answeredAt()).count() / 1000}});
}

/**
 * Closes a connection that is idle for too long, rejects a request that arrives too slowly, and
 * expires the request in progress at the end of the grace period.
 */
void CallerConnection::checkTimeouts()
{
    m_timer.expires_after(m_server->isStopped ? stoppedCheckInterval : timeoutCheckInterval);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (ec || !self || self->m_isClosed) {
            return;
        }
        const std::optional<PlannedStop> &stop = self->m_server->plannedStop;
        if (stop && stop->isExpired && self->m_proxy != nullptr) {
            self->m_proxy->expire();
        }
        const TimeoutAction action =
                self->m_activity.timeoutAction(self->m_server->limits, stop, monotonicNow());
        if (action == TimeoutAction::CloseIdle && !self->hasUnreadBytes()) {
            self->close(stop ? CloseCause::Stopped : CloseCause::Idle);
            return;
        }
        if (action == TimeoutAction::RejectSlow && !self->hasUnreadBytes()) {
            self->m_activity.endRequest();
            self->m_events->post(RequestRejected {ErrorKind::SlowCaller, 0});
        }
        self->checkTimeouts();
    });
}

/** @returns whether bytes of a request wait in the socket, which the read loop is about to read */
bool CallerConnection::hasUnreadBytes() const
{
    boost::system::error_code ec;
    return m_socket.available(ec) > 0;
}

Awaitable<void> CallerConnection::readLoop()
{
    bool canContinue = true;
    while (canContinue && !m_isClosed) {
        canContinue = co_await readRequest();
    }
}

/**
 * Reads the next request. It reads ahead even while a response is in progress, because a read is
 * the only way to notice that the caller has disconnected.
 *
 * @returns false if nothing more can be read from the connection
 */
Awaitable<bool> CallerConnection::readRequest()
{
    if (m_buf.size() == 0) {
        auto [ec, n] = co_await m_socket.async_read_some(m_buf.prepare(readAheadBytes), asTuple);
        if (ec) {
            if (m_writer != nullptr) {
                m_writer->markDisconnected();
            }
            ConnectionEvent disconnected = CallerDisconnected {};
            co_await m_events->send(std::move(disconnected));
            co_return false;
        }
        m_buf.commit(n);
    }
    m_activity.beginRequest(monotonicNow());
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(m_server->limits.maxHeaderBytes));
    parser.body_limit(m_server->limits.maxBodyBytes);
    auto [headerError, headerBytes] =
            co_await http::async_read_header(m_socket, m_buf, parser, asTuple);
    boost::system::error_code ec = headerError;
    if (!ec && !parser.is_done()) {
        m_activity.beginBody(monotonicNow());
        if (parser.get()[http::field::expect] == "100-continue") {
            const std::string text = "HTTP/1.1 100 Continue\r\n\r\n";
            co_await asio::async_write(m_socket, asio::buffer(text), asTuple);
        }
        auto [bodyError, bodyBytes] = co_await http::async_read(m_socket, m_buf, parser, asTuple);
        ec = bodyError;
    }
    if (ec) {
        if (m_writer != nullptr) {
            m_writer->markDisconnected();
        }
        m_activity.endRequest();
        ConnectionEvent event = isDisconnect(ec) ? ConnectionEvent(CallerDisconnected {})
                                                 : ConnectionEvent(rejectionFor(ec));
        co_await m_events->send(std::move(event));
        co_return false;
    }
    auto &message = parser.get();
    RequestReceived call;
    call.arrivedAt = monotonicNow();
    call.isKeepAlive = message.keep_alive();
    call.isHttp10 = message.version() <= http10Version;
    call.request.method = std::string(message.method_string());
    call.request.target = std::string(message.target());
    for (const auto &field : message) {
        call.request.headers.push_back(
                {std::string(field.name_string()), std::string(field.value())});
    }
    call.request.body = std::move(message.body());
    const bool isAmbiguous =
            call.request.header("Transfer-Encoding") && call.request.header("Content-Length");
    ConnectionEvent event = isAmbiguous
            ? ConnectionEvent(RequestRejected {ErrorKind::InvalidRequest, 0})
            : ConnectionEvent(std::move(call));
    m_activity.endRequest();
    co_return co_await m_events->send(std::move(event));
}

Awaitable<void> CallerConnection::serve()
{
    std::optional<CloseCause> closeCause;
    while (!closeCause && !m_isClosed) {
        std::optional<ConnectionEvent> event = co_await m_events->receive();
        if (!event) {
            break;
        }
        if (const auto *call = std::get_if<RequestReceived>(&*event)) {
            closeCause = co_await handleRequest(*call);
        } else if (const auto *rejected = std::get_if<RequestRejected>(&*event)) {
            co_await rejectRequest(*rejected);
            closeCause = CloseCause::Announced;
        } else {
            closeCause = CloseCause::CallerLeft;
        }
    }
    close(closeCause.value_or(CloseCause::CallerLeft));
}

Awaitable<std::optional<CloseCause>> CallerConnection::handleRequest(const RequestReceived &call)
{
    ++m_server->inProgress;
    ++m_requests;
    const auto closesAfter = [server = m_server, isKeepAlive = call.isKeepAlive] {
        return !isKeepAlive || server->plannedStop;
    };
    ResponseWriter writer(m_socket, call.request.method == "HEAD", call.isHttp10, closesAfter);
    m_writer = &writer;
    RequestProxy proxy(m_context, call.request, writer, call.arrivedAt);
    m_proxy = &proxy;
    if (m_server->isStopped) {
        co_await proxy.refuse(ErrorKind::Draining);
    } else {
        co_await proxy.run();
    }
    m_proxy = nullptr;
    m_writer = nullptr;
    --m_server->inProgress;
    m_activity.endResponse(monotonicNow());
    co_return closeCauseAfter(writer);
}

Awaitable<void> CallerConnection::rejectRequest(const RequestRejected &call)
{
    ResponseWriter writer(m_socket, false, false, [] { return true; });
    const ErrorDescriptor &answer = descriptorFor(call.kind);
    const int status = call.status == 0 ? answer.httpStatus : call.status;
    const std::vector<HttpHeader> fields;
    std::string body;
    co_await writer.respond(status, fields, std::move(body));
    m_context.log.info("caller.rejected", {{"status", status}, {"cause", answer.name}});
}

} // namespace greengageseam
