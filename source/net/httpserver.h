/**
 * HTTP server. One task accepts connections; each connection is served by its own task, which owns
 * the socket.
 */
#pragma once

#include "core/common/time.h"
#include "net/endpoint.h"
#include "net/http.h"
#include "net/log.h"
#include "net/mailbox.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <vector>

namespace greengageseam {

/** Limits and timeouts of an HTTP server. */
struct HttpServerOptions
{
    /** Maximum size of a request body in bytes. */
    std::size_t maxBodyBytes = 1024 * 1024;
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
     * longest is closed; without an idle one, it waits in the accept backlog.
     */
    std::size_t maxConnections = 4096;

    HttpServerOptions withMaxBodyBytes(std::size_t value) const;
    HttpServerOptions withReadTimeout(Duration value) const;
    HttpServerOptions withWriteTimeout(Duration value) const;
    HttpServerOptions withMaxConnections(std::size_t value) const;
    auto operator<=>(const HttpServerOptions &) const = default;
};

/** A request, and the connection on which it is answered. Only one task may use it. */
class HttpExchange
{
public:
    /**
     * @param keepAlive whether the caller wants to keep the connection open
     * @param isServerDraining reference to the server's flag, which may become true while the
     *     request is handled; the connection then closes after the response
     */
    HttpExchange(boost::beast::tcp_stream &stream, HttpRequest request, bool keepAlive,
                 const bool &isServerDraining, Duration writeTimeout);

    /** @returns the request, which has been received completely */
    const HttpRequest &request() const { return m_request; }

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
    Awaitable<bool> write(std::string bytes);
    std::string serializeHead(const HttpResponse &response,
                              std::optional<std::size_t> length) const;

    boost::beast::tcp_stream &m_stream;
    HttpRequest m_request;
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
    HttpServer(const asio::any_io_executor &executor, HttpServerOptions options,
               HttpHandler handler, Log log);

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
    void closeLongestIdle();
    Awaitable<void> serveConnection(std::shared_ptr<boost::beast::tcp_stream> stream);
    Awaitable<bool> serveRequest(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buf);

    asio::any_io_executor m_executor;
    HttpServerOptions m_options;
    HttpHandler m_handler;
    Log m_log;
    asio::ip::tcp::acceptor m_acceptor;
    /** The one that has been idle for longest comes first. */
    std::vector<std::shared_ptr<boost::beast::tcp_stream>> m_idleConnections;
    std::size_t m_connectionCount = 0;
    std::size_t m_inProgress = 0;
    /** Invariant: true if m_isStopping is true. */
    bool m_isDraining = false;
    bool m_isStopping = false;
};

} // namespace greengageseam
