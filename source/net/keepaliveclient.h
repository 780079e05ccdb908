/**
 * HTTP client that reuses one keep-alive connection for successive requests to the same address.
 */
#pragma once

#include "net/httpconnection.h"

#include <set>

namespace greengageseam {

/** Limits of the calls of a client. */
struct KeepAliveClientOptions
{
    /** Time limit for each step of a call: connecting, sending, and each read. */
    Duration stepTimeout = std::chrono::seconds(1);
    /** Time limit for the whole body of a response. */
    Duration bodyTimeout = std::chrono::seconds(1);
    /** Maximum size of the body of a response. */
    std::size_t maxBytes = 1024 * 1024;

    KeepAliveClientOptions withStepTimeout(Duration value) const;
    KeepAliveClientOptions withBodyTimeout(Duration value) const;
    KeepAliveClientOptions withMaxBytes(std::size_t value) const;
    auto operator<=>(const KeepAliveClientOptions &) const = default;
};

/**
 * Sends requests to one address. Overlapping calls use separate connections; the connection of the
 * call that finishes last is kept for reuse. Must be created with std::make_shared.
 */
class KeepAliveClient : public std::enable_shared_from_this<KeepAliveClient>
{
public:
    KeepAliveClient(const asio::any_io_executor &executor, Address address,
                    KeepAliveClientOptions options);

    /**
     * Sends a request and reads the complete response.
     * @param isIdempotent whether the request may safely be sent twice; if so, it is retried on a
     * new connection when it fails on a reused one, which the peer may have closed
     * @param extraResponseTime added to the timeout for the response head, for long polls
     * @returns the response, whatever its status; NoBackendServer if the connection failed, so that
     *     nothing was sent; OutcomeUnknown if the request may have been executed
     */
    Awaitable<Outcome<HttpResponse>> call(HttpRequest request, bool isIdempotent,
                                          Duration extraResponseTime = {});
    /** Closes the connections of all calls in progress, which then fail and are not retried. */
    void abort();
    /** @returns when a part of a response to a call in progress was last received */
    Instant receivedAt() const;
    /** @returns whether a call is in progress */
    bool isCalling() const { return !m_activeConnections.empty(); }

private:
    Awaitable<Outcome<HttpResponse>> callOn(HttpConnectionPtr connection, bool isConnected,
                                            const std::string &text, Duration extraResponseTime);
    Awaitable<Outcome<HttpResponse>> callOnce(HttpConnectionPtr connection, bool isConnected,
                                              const std::string &text, Duration extraResponseTime);

    asio::any_io_executor m_executor;
    Address m_address;
    KeepAliveClientOptions m_options;
    /** The connection that is kept for reuse. */
    HttpConnectionPtr m_connection;
    /** The connections of the calls in progress. */
    std::set<HttpConnectionPtr> m_activeConnections;
    /** Number of calls to abort(). */
    std::uint64_t m_aborts = 0;
};

} // namespace greengageseam
