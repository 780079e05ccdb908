/**
 * HTTP server: a listener task, and a task for each connection that owns its socket.
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
#include <set>

namespace greengageseam {

/** What the server allows its callers. */
struct HttpServerOptions
{
    /** Largest body of a request in bytes. */
    std::size_t maxBodyBytes = 1024 * 1024;
    /** Largest header of a request in bytes. */
    std::size_t maxHeaderBytes = 16 * 1024;
    /** Time in which a whole request has to arrive. */
    Duration readTimeout = std::chrono::seconds(10);
    /** Time after which an idle connection is closed. */
    Duration idleTimeout = std::chrono::seconds(60);
    /** Time in which a part of an answer has to be taken. */
    Duration writeTimeout = std::chrono::seconds(30);
    /** Connections at a time; further ones wait to be accepted. */
    std::size_t maxConnections = 4096;

    HttpServerOptions withMaxBodyBytes(std::size_t value) const;
    HttpServerOptions withReadTimeout(Duration value) const;
    HttpServerOptions withWriteTimeout(Duration value) const;
    HttpServerOptions withMaxConnections(std::size_t value) const;
    auto operator<=>(const HttpServerOptions &) const = default;
};

/** One request and the way back to its caller. Used by one task. */
class HttpExchange
{
public:
    /** @param isLast whether the server wants no further request on the connection, by now */
    HttpExchange(boost::beast::tcp_stream &stream, HttpRequest request, bool keepAlive,
                 const bool &isServerDraining, Duration writeTimeout);

    /** @returns the request, read whole */
    const HttpRequest &request() const { return m_request; }

    /** Sends a whole response. @returns false if the caller has gone */
    Awaitable<bool> respond(HttpResponse response);

    /** Begins a response whose parts follow. @returns false if the caller has gone */
    Awaitable<bool> beginStream(HttpResponse head);
    /** Sends a part and waits until the caller's socket took it. @returns false if it has gone */
    Awaitable<bool> sendPart(std::string part);
    /** Ends the response as whole. */
    Awaitable<bool> endStream();

    /** Leaves the response visibly broken off: the connection is reset without an end mark. */
    void abort();

    /** Waits until the caller closes its connection. */
    Awaitable<void> waitForDisconnect();

    /** @returns whether the connection can take another request */
    bool canReuseConnection() const { return m_keepAlive && m_isComplete && !m_isServerDraining; }
    /** @returns whether anything of a response was sent */
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
    /** Invariant: true only after a whole response was written. */
    bool m_isComplete = false;
};

/** Hook that answers one request. */
using HttpHandler = std::function<Awaitable<void>(HttpExchange &)>;

/** Listens and serves until it is told to stop. */
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    HttpServer(const asio::any_io_executor &executor, HttpServerOptions options,
               HttpHandler handler, Log log);

    /** Opens the listening socket. @returns the address with the port that was bound */
    Result<Address> listen(const Address &address);
    /** Starts to accept connections. */
    void start();
    /** Goes on serving, but ends each connection after its next response. */
    void drain() { m_isDraining = true; }
    /** Takes no new connections, ends idle ones, and lets requests in progress finish. */
    void stop();
    /** @returns how many requests are in progress */
    std::size_t inProgress() const { return m_inProgress; }

private:
    Awaitable<void> acceptLoop();
    Awaitable<void> serveConnection(std::shared_ptr<boost::beast::tcp_stream> stream);
    Awaitable<bool> serveRequest(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buf);

    asio::any_io_executor m_executor;
    HttpServerOptions m_options;
    HttpHandler m_handler;
    Log m_log;
    asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<boost::beast::tcp_stream>> m_idleConnections;
    std::size_t m_connectionCount = 0;
    std::size_t m_inProgress = 0;
    /** Invariant: true once m_isStopping is. */
    bool m_isDraining = false;
    bool m_isStopping = false;
};

} // namespace greengageseam
