/**
 * What the peer of a connection sees when it is given up.
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

    /** Connects, sends @p text, gives the connection up, and reads at the peer until the end. */
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

// Bytes that are held up on their way must not arrive later.
TEST_CASE_METHOD(HttpConnectionFixture, "connection_givenUp_isResetAtThePeer")
{
    sendAndAbort("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(m_readError == asio::error::connection_reset);
}

} // namespace
} // namespace greengageseam
