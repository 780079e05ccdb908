/**
 * HTTP client that reuses one keep-alive connection for successive requests to the same address.
 */
#pragma once

#include "net/httpconnection.h"

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

private:
    Awaitable<Outcome<HttpResponse>> callOnce(HttpConnectionPtr connection, const std::string &text,
                                              Duration extraResponseTime);

    asio::any_io_executor m_executor;
    Address m_address;
    KeepAliveClientOptions m_options;
    HttpConnectionPtr m_connection;
};

} // namespace greengageseam
