/**
 * HTTP client that keeps its connection from one whole call to the next.
 */
#pragma once

#include "net/httpconnection.h"

namespace greengageseam {

/**
 * Calls one address. Calls that overlap use connections of their own, of which the last to end is
 * kept. Construct it with std::make_shared.
 */
class KeepAliveClient : public std::enable_shared_from_this<KeepAliveClient>
{
public:
    /** @param limit time for each step of a call @param maxBytes largest answer */
    KeepAliveClient(const asio::any_io_executor &executor, Address address, Duration timeout,
                    std::size_t maxBytes);

    /**
     * Makes a call. One that may be repeated is made again on a new connection if a kept one turns
     * out to be dead.
     * @param wait how much longer than the limit the answer may take to begin
     * @returns the response, NoBackendServer if nothing was sent, or OutcomeUnknown
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
