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
    Duration readLimit = std::chrono::seconds(10);
    /** Time after which an idle connection is closed. */
    Duration idleLimit = std::chrono::seconds(60);
    /** Time in which a part of an answer has to be taken. */
    Duration writeLimit = std::chrono::seconds(30);
    /** Connections at a time; further ones wait to be accepted. */
    std::size_t maxConnections = 4096;

    HttpServerOptions withMaxBodyBytes(std::size_t value) const;
    HttpServerOptions withReadLimit(Duration value) const;
    HttpServerOptions withWriteLimit(Duration value) const;
    HttpServerOptions withMaxConnections(std::size_t value) const;
    auto operator<=>(const HttpServerOptions &) const = default;
};

/** One request and the way back to its caller. Used by one task. */
class HttpExchange
{
public:
    /** @param isLast whether the server wants no further request on the connection, by now */
    HttpExchange(boost::beast::tcp_stream &stream, HttpRequest request, bool keepAlive,
                 const bool &isLast, Duration writeLimit);

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
    void breakOff();

    /** Waits until the caller closes its connection. */
    Awaitable<void> waitUntilGone();

    /** @returns whether the connection can take another request */
    bool canContinue() const { return m_keepAlive && m_isDone && !m_isLast; }
    /** @returns whether anything of a response was sent */
    bool hasBegun() const { return m_hasBegun; }

private:
    Awaitable<bool> write(std::string bytes);
    std::string headText(const HttpResponse &response, std::optional<std::size_t> length) const;

    boost::beast::tcp_stream &m_stream;
    HttpRequest m_request;
    bool m_keepAlive;
    const bool &m_isLast;
    Duration m_writeLimit;
    bool m_hasBegun = false;
    /** Invariant: true only after a whole response was written. */
    bool m_isDone = false;
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
    Awaitable<void> serve(std::shared_ptr<boost::beast::tcp_stream> stream);
    Awaitable<bool> serveOne(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buf);

    asio::any_io_executor m_executor;
    HttpServerOptions m_options;
    HttpHandler m_handler;
    Log m_log;
    asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<boost::beast::tcp_stream>> m_idle;
    std::size_t m_connections = 0;
    std::size_t m_inProgress = 0;
    /** Invariant: true once m_isStopping is. */
    bool m_isDraining = false;
    bool m_isStopping = false;
};

} // namespace greengageseam
