/**
 * A stand-in for a faulty server that goes on sending bytes until its caller closes the connection.
 */
#pragma once

#include "core/common/time.h"
#include "net/endpoint.h"
#include "net/mailbox.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace greengageseam {

/** What a server sends in place of a response. */
struct EndlessBytes
{
    /** Sent once. ATTEMPT is replaced by the Attempt-Id of the request. */
    std::string opening;
    /** Sent over and over until the caller closes; if empty, the connection stays silent. */
    std::string repeated;
    /** Time between two repetitions; 0 to send as fast as the caller reads. */
    Duration pause {};

    auto operator<=>(const EndlessBytes &) const = default;
};

/** A server that answers every request with bytes that do not end. */
class EndlessStandin
{
public:
    EndlessStandin(const asio::any_io_executor &executor, EndlessBytes bytes);

    /** Sets what further requests receive. */
    void setBytes(EndlessBytes bytes) { m_bytes = std::move(bytes); }
    const Address &address() const { return m_address; }
    /** @returns the number of requests that were received */
    std::size_t requests() const { return m_requests; }
    /** @returns the number of connections with a request that the caller has closed since */
    std::size_t closedConnections() const { return m_closedConnections; }
    /** @returns the largest number of bytes that were written to one connection */
    std::size_t mostBytesSent() const { return m_mostBytesSent; }

private:
    using SocketPtr = std::shared_ptr<asio::ip::tcp::socket>;

    Awaitable<void> acceptLoop();
    Awaitable<void> serve(SocketPtr socket);
    /** Writes bytes. @returns false if the caller has closed the connection */
    Awaitable<bool> write(SocketPtr socket, std::string bytes, std::size_t &bytesSent);

    asio::any_io_executor m_executor;
    asio::ip::tcp::acceptor m_acceptor;
    Address m_address;
    EndlessBytes m_bytes;
    std::size_t m_requests = 0;
    std::size_t m_closedConnections = 0;
    std::size_t m_mostBytesSent = 0;
};

} // namespace greengageseam
