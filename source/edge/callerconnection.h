/**
 * Task that owns one caller's connection: it reads requests from the socket and proxies each of
 * them to a backend server.
 */
#pragma once

#include "core/fleet/calleractivity.h"
#include "edge/requestproxy.h"
#include "net/processbudget.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace greengageseam {

/** A complete request was read. */
struct RequestReceived
{
    /** Not null. */
    HttpRequestPtr request;
    /** The bytes that the request holds; released with the message. */
    HeldBytesPtr held;
    Instant arrivedAt;
    /** Whether the caller keeps the connection open for further requests. */
    bool isKeepAlive = true;
    /** Whether the caller uses HTTP/1.0. */
    bool isHttp10 = false;
};

/** The received bytes are not a valid request, exceed a size limit or arrived too slowly. */
struct RequestRejected
{
    ErrorKind kind = ErrorKind::InvalidRequest;
    /** A more specific status than the default one of the error kind; 0 to use the default. */
    int status = 0;
};

/** The caller closed the connection. */
struct CallerDisconnected
{ };

/** Messages from the reading side of a connection to the responding side. */
using ConnectionEvent = std::variant<RequestReceived, RequestRejected, CallerDisconnected>;

/** The response to a request has ended: message from the responding side to the reading side. */
struct ResponseEnded
{ };

/** Why the server closes a caller's connection. */
enum class CloseCause {
    /** The caller closed it, or it broke. */
    CallerLeft,
    /** The last response announced it. */
    Announced,
    /** The last response could not be completed. */
    ResponseIncomplete,
    /** The server stops, and the connection was idle for the notice that it gives. */
    Stopped,
    /** It was idle for longer than the limit. */
    Idle,
    /** It held memory or a descriptor that others needed. */
    NoRoom,
};

/** State shared by all connections of a server. */
struct CallerServerState
{
    /** Not null. */
    ProcessBudgetPtr budget;
    CallerLimits limits;
    /**
     * Once it is set, each response announces that its connection closes. Once it has expired,
     * requests in progress expire at the next timeout check.
     */
    std::optional<PlannedStop> plannedStop;
    /** Further requests are refused. */
    bool isStopped = false;
    /** Number of open connections. */
    std::size_t connections = 0;
    /** Number of requests in progress. */
    std::size_t inProgress = 0;
};

/** One caller's connection. Construct it with std::make_shared. */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(asio::ip::tcp::socket socket, const RequestContext &context,
                     std::shared_ptr<CallerServerState> server);

    /** Starts the task. */
    void start();

private:
    Awaitable<void> serve();
    /** @returns why the connection closes after the response; empty if it stays open */
    Awaitable<std::optional<CloseCause>> handleRequest(const RequestReceived &call);
    Awaitable<void> rejectRequest(const RequestRejected &call);
    Awaitable<void> readLoop();
    Awaitable<bool> readRequest();
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    /** Waits for the first bytes of a request. @returns false if the caller has disconnected */
    Awaitable<bool> awaitBytes();
    /** Waits until the response to the request before has ended. */
    Awaitable<void> awaitResponseEnd();
    /** Reads a request into the parser, and charges what arrives to the budget. */
    Awaitable<boost::system::error_code> readMessage(Parser &parser, HeldBytes &held);
    Awaitable<boost::system::error_code> readBody(Parser &parser, HeldBytes &held);
    RequestReceived takeRequest(Parser &parser, HeldBytesPtr held) const;
    /** @returns what is held for the answer in progress */
    HeldBytes &heldAnswer();
    ResponseBudgetHooks budgetHooks();
    /** Closes the connection because others need what it holds. */
    void closeForRoom();
    void checkTimeouts();
    bool hasUnreadBytes() const;
    void close(CloseCause cause);
    void recordClose(CloseCause cause) const;

    asio::ip::tcp::socket m_socket;
    const RequestContext &m_context;
    std::shared_ptr<CallerServerState> m_server;
    MailboxPtr<ConnectionEvent> m_events;
    MailboxPtr<ResponseEnded> m_responseEnds;
    /** Whether the end of a response has yet to be received. */
    bool m_isResponseDue = false;
    Timer m_timer;
    /** Received bytes that are not parsed yet. Its size is limited. */
    boost::beast::flat_buffer m_buf;
    /** Identifies the connection in the budget. */
    HolderId m_holder = 0;
    /** Bytes of the answer that is being read or written; null without one. */
    HeldBytesPtr m_heldAnswer;
    CallerActivity m_activity;
    /** Writer of the response in progress; null between requests. */
    ResponseWriter *m_writer = nullptr;
    /** Proxy of the request in progress; null between requests. */
    RequestProxy *m_proxy = nullptr;
    /** Number of requests that were received. */
    std::uint64_t m_requests = 0;
    bool m_isClosed = false;
};

} // namespace greengageseam
