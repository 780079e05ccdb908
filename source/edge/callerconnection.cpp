#include "edge/callerconnection.h"

#include "net/clock.h"

#include <algorithm>
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
/** Bytes of a body that are charged to the budget in one step. */
constexpr std::size_t bodyStepBytes = 8 * 1024;
/** Most bytes that are reserved for a chunked body before it arrives, whatever the limit is. */
constexpr std::size_t maxReservedBody = 8UL * 1024 * 1024;
/** Retry-After in seconds of a request for which there is no room. */
constexpr std::string_view noRoomRetryAfter = "0.500";
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
    if (ec == asio::error::no_buffer_space) {
        return {ErrorKind::Overloaded, 0};
    }
    // Chunk headers and trailers that do not end fill the buffer.
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
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
            || (ec.category() != httpCategory && ec != asio::error::no_buffer_space);
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
    case CloseCause::NoRoom:
        return "no-room";
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
      m_responseEnds(makeMailbox<ResponseEnded>(m_socket.get_executor(), 1)),
      m_timer(m_socket.get_executor()), m_activity(monotonicNow())
{
    ++m_server->connections;
}

void CallerConnection::start()
{
    m_holder = m_server->budget->add([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->closeForRoom();
        }
    });
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
    m_server->budget->remove(m_holder);
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
    m_timer.cancel();
    m_events->close();
    m_responseEnds->close();
}

void CallerConnection::closeForRoom()
{
    if (m_writer != nullptr) {
        m_writer->markDisconnected();
    }
    // A reset would destroy the end of an answer that was written to an idle connection.
    if (!m_activity.isIdle()) {
        boost::system::error_code ignored;
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    close(CloseCause::NoRoom);
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

Awaitable<bool> CallerConnection::awaitBytes()
{
    // An idle connection holds no buffer.
    m_buf = beast::flat_buffer(m_server->limits.maxHeaderBytes + readAheadBytes);
    auto [waitError] = co_await m_socket.async_wait(asio::socket_base::wait_read, asTuple);
    boost::system::error_code ec = waitError;
    if (!ec) {
        auto [error, n] = co_await m_socket.async_read_some(m_buf.prepare(readAheadBytes), asTuple);
        m_buf.commit(n);
        ec = error;
    }
    co_return !ec;
}

/**
 * Reads the next request. It reads the first piece even while a response is in progress, because a
 * read is the only way to notice that the caller has disconnected. The rest is read after the
 * response, when the request counts as one that can be timed out or closed for others.
 *
 * @returns false if nothing more can be read from the connection
 */
Awaitable<bool> CallerConnection::readRequest()
{
    bool isConnected = m_buf.size() > 0;
    if (!isConnected) {
        isConnected = co_await awaitBytes();
    }
    if (!isConnected) {
        if (m_writer != nullptr) {
            m_writer->markDisconnected();
        }
        ConnectionEvent disconnected = CallerDisconnected {};
        co_await m_events->send(std::move(disconnected));
        co_return false;
    }
    m_activity.beginRequest(monotonicNow());
    Parser parser;
    const auto held = std::make_shared<HeldBytes>(m_server->budget, m_holder);
    boost::system::error_code ec;
    if (!held->resize(m_buf.size())) {
        ec = asio::error::no_buffer_space;
    } else {
        co_await awaitResponseEnd();
        if (m_isClosed) {
            co_return false;
        }
        ec = co_await readMessage(parser, *held);
    }
    m_activity.endRequest();
    if (ec) {
        // It is answered after the response in progress, which the caller still gets.
        ConnectionEvent event = isDisconnect(ec) ? ConnectionEvent(CallerDisconnected {})
                                                 : ConnectionEvent(rejectionFor(ec));
        co_await m_events->send(std::move(event));
        co_return false;
    }
    RequestReceived call = takeRequest(parser, held);
    const bool isAmbiguous =
            call.request->header("Transfer-Encoding") && call.request->header("Content-Length");
    ConnectionEvent event = isAmbiguous
            ? ConnectionEvent(RequestRejected {ErrorKind::InvalidRequest, 0})
            : ConnectionEvent(std::move(call));
    m_isResponseDue = true;
    co_return co_await m_events->send(std::move(event));
}

Awaitable<void> CallerConnection::awaitResponseEnd()
{
    if (m_isResponseDue) {
        m_isResponseDue = false;
        co_await m_responseEnds->receive();
    }
}

Awaitable<boost::system::error_code> CallerConnection::readMessage(Parser &parser, HeldBytes &held)
{
    const CallerLimits &limits = m_server->limits;
    parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    parser.body_limit(limits.maxBodyBytes);
    m_buf.max_size(std::max(limits.maxHeaderBytes + readAheadBytes, m_buf.size()));
    if (!held.resize(limits.maxHeaderBytes + readAheadBytes)) {
        co_return asio::error::no_buffer_space;
    }
    auto [ec, n] = co_await http::async_read_header(m_socket, m_buf, parser, asTuple);
    if (ec || parser.is_done()) {
        // A head that fills the buffer is as long as one that exceeds the limit.
        co_return ec == http::error::buffer_overflow ? http::error::header_limit : ec;
    }
    m_activity.beginBody(monotonicNow());
    if (parser.get()[http::field::expect] == "100-continue") {
        const std::string text = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(m_socket, asio::buffer(text), asTuple);
    }
    co_return co_await readBody(parser, held);
}

Awaitable<boost::system::error_code> CallerConnection::readBody(Parser &parser, HeldBytes &held)
{
    const std::size_t headBytes = held.bytes();
    if (parser.chunked()) {
        // A string that grows step by step holds its bytes twice for a moment. Pages that are not
        // written take no memory.
        parser.get().body().reserve(std::min(m_server->limits.maxBodyBytes, maxReservedBody));
    }
    parser.eager(true);
    while (!parser.is_done()) {
        const std::size_t needed = headBytes + parser.get().body().size() + bodyStepBytes;
        if (needed > held.bytes() && !held.resize(needed + bodyStepBytes)) {
            co_return asio::error::no_buffer_space;
        }
        auto [ec, n] = co_await http::async_read_some(m_socket, m_buf, parser, asTuple);
        if (ec) {
            co_return ec;
        }
        m_server->budget->recordProgress(m_holder);
    }
    held.resize(headBytes + parser.get().body().size());
    co_return boost::system::error_code();
}

RequestReceived CallerConnection::takeRequest(Parser &parser, HeldBytesPtr held) const
{
    auto &message = parser.get();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    RequestReceived call;
    call.request = std::make_shared<const HttpRequest>(std::move(request));
    call.held = std::move(held);
    call.arrivedAt = monotonicNow();
    call.isKeepAlive = message.keep_alive();
    call.isHttp10 = message.version() <= http10Version;
    return call;
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
    m_server->budget->setPhase(m_holder, HolderPhase::Serving);
    m_server->budget->makeRoomForSockets(0, m_server->inProgress);
    ResponseWriter writer(m_socket, call.request->method == "HEAD", call.isHttp10, closesAfter,
                          budgetHooks());
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
    m_heldAnswer.reset();
    m_activity.endResponse(monotonicNow());
    m_server->budget->setPhase(m_holder, HolderPhase::Reading);
    m_responseEnds->post(ResponseEnded {});
    co_return closeCauseAfter(writer);
}

/** Bytes that were held when the answer was read are not charged again as it is written. */
HeldBytes &CallerConnection::heldAnswer()
{
    if (!m_heldAnswer) {
        m_heldAnswer = std::make_shared<HeldBytes>(m_server->budget, m_holder);
    }
    return *m_heldAnswer;
}

ResponseBudgetHooks CallerConnection::budgetHooks()
{
    ResponseBudgetHooks hooks;
    hooks.hold = [this](std::size_t bytes) {
        HeldBytes &held = heldAnswer();
        return held.resize(std::max(bytes, held.bytes()));
    };
    hooks.begin = [this](std::size_t bytes) {
        m_server->budget->setPhase(m_holder, HolderPhase::Responding);
        // Its request has run. If it is not read, others get its room once it is stalled.
        heldAnswer().growInAnyCase(bytes);
    };
    hooks.onProgress = [this] { m_server->budget->setPhase(m_holder, HolderPhase::Responding); };
    hooks.end = [this] {
        m_heldAnswer.reset();
        m_server->budget->setPhase(m_holder, HolderPhase::Serving);
    };
    return hooks;
}

Awaitable<void> CallerConnection::rejectRequest(const RequestRejected &call)
{
    ResponseWriter writer(m_socket, false, false, [] { return true; });
    const ErrorDescriptor &answer = descriptorFor(call.kind);
    const int status = call.status == 0 ? answer.httpStatus : call.status;
    std::vector<HttpHeader> fields;
    if (call.kind == ErrorKind::Overloaded) {
        fields.push_back({"Retry-After", std::string(noRoomRetryAfter)});
    }
    const std::string body;
    co_await writer.respond(status, fields, body);
    m_context.log.info("caller.rejected", {{"status", status}, {"cause", answer.name}});
}

} // namespace greengageseam
