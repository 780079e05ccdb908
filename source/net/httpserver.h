/**
 * HTTP server. One task accepts connections; each connection is served by its own task, which owns
 * the socket. What the connections hold is charged to a budget, which may close them for others.
 */
#pragma once

#include "core/common/time.h"
#include "net/endpoint.h"
#include "net/http.h"
#include "net/log.h"
#include "net/mailbox.h"
#include "net/processbudget.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <vector>

namespace greengageseam {

/** Limits and timeouts of an HTTP server. */
struct HttpServerOptions
{
    /** Maximum size of a request body in bytes. */
    std::size_t maxBodyBytes = 1024 * 1024;
    /**
     * Number of times that the process holds a body while its request is read and handled. One that
     * arrives without its length is copied as it grows.
     */
    std::size_t bodyCopies = 2;
    /** Maximum size of a request head in bytes. */
    std::size_t maxHeaderBytes = 16 * 1024;
    /** Time limit for receiving a complete request. */
    Duration readTimeout = std::chrono::seconds(10);
    /** Idle time after which a keep-alive connection is closed. */
    Duration idleTimeout = std::chrono::seconds(60);
    /** Time limit for writing a response, or a part of a streamed one, to the socket. */
    Duration writeTimeout = std::chrono::seconds(30);
    /**
     * Maximum number of open connections. For a further one, the connection that has been idle for
     * longest is closed; without an idle one, it waits.
     */
    std::size_t maxConnections = 4096;

    HttpServerOptions withMaxBodyBytes(std::size_t value) const;
    HttpServerOptions withBodyCopies(std::size_t value) const;
    HttpServerOptions withReadTimeout(Duration value) const;
    HttpServerOptions withWriteTimeout(Duration value) const;
    HttpServerOptions withMaxConnections(std::size_t value) const;
    auto operator<=>(const HttpServerOptions &) const = default;
};

/** A connection of a server. Its task uses it; the budget may close it. */
struct HttpServerConnection
{
    HttpServerConnection(boost::asio::ip::tcp::socket socket, std::size_t maxBufferBytes,
                         ProcessBudgetPtr sharedBudget);

    /** Closes the connection because others need what it holds. */
    void closeForRoom();

    boost::beast::tcp_stream stream;
    /** Received bytes that are not parsed yet. Its size is limited. */
    boost::beast::flat_buffer buf;
    /** Not null. */
    ProcessBudgetPtr budget;
    /** Identifies the connection in the budget. */
    HolderId holder = 0;
    /** Whether it waits for the first byte of a request. */
    bool isIdle = false;
};

using HttpServerConnectionPtr = std::shared_ptr<HttpServerConnection>;

/** A request, and the connection on which it is answered. Only one task may use it. */
class HttpExchange
{
public:
    /**
     * @param held what the request holds, to which its answer is added
     * @param keepAlive whether the caller wants to keep the connection open
     * @param isServerDraining reference to the server's flag, which may become true while the
     *     request is handled; the connection then closes after the response
     */
    HttpExchange(HttpServerConnection &connection, HttpRequest request, HeldBytes &held,
                 bool keepAlive, const bool &isServerDraining, Duration writeTimeout);

    /** @returns the request, which has been received completely */
    const HttpRequest &request() const { return m_request; }
    /** @returns the request, which the exchange no longer keeps */
    HttpRequest takeRequest() { return std::move(m_request); }

    /**
     * Asks for room to collect an answer before it is sent.
     * @param bytes what is collected of it, in total
     * @returns false if the process holds too much for its callers; true for a small answer
     */
    bool holdAnswer(std::size_t bytes);

    /**
     * Sends a complete response.
     * @returns false if the caller has disconnected or does not read in time
     */
    Awaitable<bool> respond(HttpResponse response);

    /**
     * Starts a chunked response by sending its head.
     * @returns false if the caller has disconnected
     */
    Awaitable<bool> beginStream(HttpResponse head);
    /**
     * Sends a part of a chunked response and waits until it has been written to the socket, so that
     * a slow caller slows the producer down (backpressure).
     * @returns false if the caller has disconnected or does not read in time
     */
    Awaitable<bool> sendPart(std::string part);
    /** Completes a chunked response by sending the final, empty chunk. */
    Awaitable<bool> endStream();

    /**
     * Resets the connection without the final chunk, so that the caller recognizes the response as
     * truncated.
     */
    void abort();

    /**
     * Waits until the caller closes its connection. Never returns if the caller sends further bytes
     * (a pipelined request) instead.
     */
    Awaitable<void> waitForDisconnect();

    /** @returns whether another request may follow on the connection */
    bool canReuseConnection() const { return m_keepAlive && m_isComplete && !m_isServerDraining; }
    /** @returns whether sending a response has started */
    bool hasStarted() const { return m_hasStarted; }

private:
    Awaitable<bool> write(std::string head, std::string body = {});
    Awaitable<bool> writePieces(const std::string &bytes);
    std::string serializeHead(const HttpResponse &response,
                              std::optional<std::size_t> length) const;

    HttpServerConnection &m_connection;
    HttpRequest m_request;
    HeldBytes &m_held;
    std::size_t m_requestBytes;
    bool m_keepAlive;
    const bool &m_isServerDraining;
    Duration m_writeTimeout;
    bool m_hasStarted = false;
    /** Whether a complete response was written. */
    bool m_isComplete = false;
};

/** Hook that handles one request and sends the response. */
using HttpHandler = std::function<Awaitable<void>(HttpExchange &)>;

/** Accepts and serves HTTP connections until stop() is called. */
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    /** @param budget shared by all connections that it limits; not null */
    HttpServer(const asio::any_io_executor &executor, HttpServerOptions options,
               ProcessBudgetPtr budget, HttpHandler handler, Log log);

    /**
     * Opens the listening socket.
     * @param address port 0 selects any free port
     * @returns the address with the bound port, or InvalidRequest
     */
    Result<Address> listen(const Address &address);
    /** Starts the task that accepts connections. */
    void start();
    /** Continues to serve, but closes each connection after its next response. */
    void drain() { m_isDraining = true; }
    /** Stops accepting, closes idle connections, and lets requests in progress finish. */
    void stop();
    /** @returns the number of requests whose handler is running */
    std::size_t inProgress() const { return m_inProgress; }

private:
    Awaitable<void> acceptLoop();
    /** Closes other connections if necessary. @returns whether there is room for a further one */
    bool makeRoom();
    Awaitable<void> serveConnection(HttpServerConnectionPtr connection);
    /** Waits for the first bytes of a request. @returns false if the connection has ended */
    Awaitable<bool> awaitRequest(const HttpServerConnectionPtr &connection);
    Awaitable<bool> serveRequest(HttpServerConnection &connection);
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    /** Reads a request into the parser, and charges what arrives to the budget. */
    Awaitable<boost::system::error_code> readRequest(HttpServerConnection &connection,
                                                     Parser &parser, HeldBytes &held);

    asio::any_io_executor m_executor;
    HttpServerOptions m_options;
    ProcessBudgetPtr m_budget;
    HttpHandler m_handler;
    Log m_log;
    asio::ip::tcp::acceptor m_acceptor;
    /** The one that has been idle for longest comes first. */
    std::vector<HttpServerConnectionPtr> m_idleConnections;
    std::size_t m_connectionCount = 0;
    std::size_t m_inProgress = 0;
    /** Invariant: true if m_isStopping is true. */
    bool m_isDraining = false;
    bool m_isStopping = false;
};

} // namespace greengageseam
