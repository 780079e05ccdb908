/**
 * Guards against bytes that arrive at the peer after a connection was aborted: it must be reset.
 * labels: failure
 */
#include "net/endpoint.h"
#include "net/httpconnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

class HttpConnectionFixture
{
protected:
    HttpConnectionFixture()
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}), m_peer(m_context)
    { }

    /** Connects, sends @p text, aborts the connection, and reads at the peer until an error. */
    void sendAndAbort(const std::string &text)
    {
        const auto connection = std::make_shared<HttpConnection>(m_context.get_executor());
        m_acceptor.async_accept(m_peer, [](const boost::system::error_code &) { });
        asio::co_spawn(
                m_context,
                [&, connection]() -> Awaitable<void> {
                    const auto limit = std::chrono::seconds(1);
                    co_await connection->connect(m_acceptor.local_endpoint(), limit);
                    std::string bytes = text;
                    co_await connection->send(std::move(bytes), limit);
                    connection->abort();
                },
                asio::detached);
        m_context.run();
        std::string buf(1024, '\0');
        while (!m_readError) {
            m_peer.read_some(asio::buffer(buf), m_readError);
        }
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::socket m_peer;
    boost::system::error_code m_readError;
};

// A reset also discards bytes that are still delayed in the network stack.
TEST_CASE_METHOD(HttpConnectionFixture, "connection_aborted_isResetAtPeer")
{
    sendAndAbort("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(m_readError == asio::error::connection_reset);
}

} // namespace
} // namespace greengageseam
