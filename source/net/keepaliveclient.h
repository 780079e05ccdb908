/**
 * HTTP client that reuses one keep-alive connection for successive requests to the same address.
 */
#pragma once

#include "net/httpconnection.h"

namespace greengageseam {

/**
 * Sends requests to one address. Overlapping calls use separate connections; the connection of the
 * call that finishes last is kept for reuse. Must be created with std::make_shared.
 */
class KeepAliveClient : public std::enable_shared_from_this<KeepAliveClient>
{
public:
    /**
     * @param timeout time limit for each step of a call: connecting, sending, each read
     * @param maxBytes maximum size of a response body
     */
    KeepAliveClient(const asio::any_io_executor &executor, Address address, Duration timeout,
                    std::size_t maxBytes);

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
    Duration m_timeout;
    std::size_t m_maxBytes;
    HttpConnectionPtr m_connection;
};

} // namespace greengageseam
