/**
 * One caller's connection: a task that owns the socket, reads requests and has each answered.
 */
#pragma once

#include "edge/requestproxy.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <variant>

namespace greengageseam {

/** A request was read whole. */
struct RequestReceived
{
    HttpRequest request;
    Instant arrivedAt;
    bool isKeepAlive = true;
    bool isHttp10 = false;
};

/** The bytes that came are no request, or more than is allowed. */
struct RequestRejected
{
    ErrorKind kind = ErrorKind::InvalidRequest;
    /** Status that says more than the kind's own; 0 for the kind's. */
    int status = 0;
};

/** The caller has closed the connection. */
struct CallerDisconnected
{ };

/** What the reading side of a connection tells the answering side. */
using ConnectionEvent = std::variant<RequestReceived, RequestRejected, CallerDisconnected>;

/** What all connections of a server share. */
struct CallerServerState
{
    CallerLimits limits;
    /** Each connection ends after its next answer. */
    bool isDraining = false;
    /** Idle connections are closed now. */
    bool closesIdle = false;
    std::size_t connections = 0;
    std::size_t inProgress = 0;
};

/** A connection. Construct it with std::make_shared. */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(asio::ip::tcp::socket socket, const RequestContext &context,
                     std::shared_ptr<CallerServerState> server);

    /** Starts the task. */
    void start();

private:
    /** What the reading side waits for. */
    enum class Phase { Idle, Header, Body, Busy };

    Awaitable<void> serve();
    Awaitable<bool> handleRequest(const RequestReceived &call);
    Awaitable<bool> rejectRequest(const RequestRejected &call);
    Awaitable<void> readLoop();
    Awaitable<bool> readRequest();
    void checkTimeouts();
    void enterPhase(Phase phase);
    void close();

    asio::ip::tcp::socket m_socket;
    const RequestContext &m_context;
    std::shared_ptr<CallerServerState> m_server;
    MailboxPtr<ConnectionEvent> m_events;
    asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buf;
    Phase m_phase = Phase::Idle;
    Instant m_phaseSince;
    /** The answer in progress; null between requests. */
    ResponseWriter *m_writer = nullptr;
    bool m_isClosed = false;
};

} // namespace greengageseam
