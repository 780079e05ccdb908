/**
 * Guards against bytes that arrive at the peer after a connection was aborted: it must be reset.
 * labels: failure
 */
#include "net/endpoint.h"
#include "net/httpconnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <functional>

namespace greengageseam {
namespace {

class HttpConnectionFixture
{
protected:
    HttpConnectionFixture()
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}), m_peer(m_context)
    { }

    /** Ends a connection on which a request was sent. */
    using EndConnection = std::function<Awaitable<void>(HttpConnectionPtr)>;

    /** Connects, sends @p text, ends the connection, and reads at the peer until an error. */
    void sendAndEnd(const std::string &text, const EndConnection &end)
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
                    co_await end(connection);
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
    sendAndEnd("GET / HTTP/1.1\r\n\r\n", [](HttpConnectionPtr connection) -> Awaitable<void> {
        connection->abort();
        co_return;
    });
    REQUIRE(m_readError == asio::error::connection_reset);
}

// A request that was given up because no response came must not arrive later.
TEST_CASE_METHOD(HttpConnectionFixture, "connection_responseTimesOut_isResetAtPeer")
{
    sendAndEnd("GET / HTTP/1.1\r\n\r\n", [](HttpConnectionPtr connection) -> Awaitable<void> {
        co_await connection->readHead(false, std::chrono::milliseconds(50));
    });
    REQUIRE(m_readError == asio::error::connection_reset);
}

} // namespace
} // namespace greengageseam
