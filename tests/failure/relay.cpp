#include "relay.h"

#include "net/endpoint.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t bufferBytes = 16 * 1024;
constexpr auto stallPollInterval = std::chrono::milliseconds(5);

void reset(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

} // namespace

Relay::Relay(const Address &target)
    : m_context(1),
      m_acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      m_target(parseEndpoint(target).value()), m_address(addressOf(m_acceptor.local_endpoint()))
{
    asio::co_spawn(m_context, acceptLoop(), asio::detached);
    m_thread = std::thread([this] { m_context.run(); });
}

Relay::~Relay()
{
    m_context.stop();
    m_thread.join();
}

void Relay::cut()
{
    asio::post(m_context, [this] {
        m_isCut = true;
        for (const Socket &socket : m_sockets) {
            reset(*socket);
        }
        m_sockets.clear();
    });
}

void Relay::stall()
{
    asio::post(m_context, [this] { m_isStalled = true; });
}

void Relay::restore()
{
    asio::post(m_context, [this] {
        m_isCut = false;
        m_isStalled = false;
    });
}

void Relay::setDelay(Duration delay)
{
    asio::post(m_context, [this, delay] { m_delay = delay; });
}

Awaitable<void> Relay::acceptLoop()
{
    while (true) {
        auto [ec, socket] = co_await m_acceptor.async_accept(asTuple);
        if (ec) {
            co_return;
        }
        auto client = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
        if (m_isCut) {
            reset(*client);
            continue;
        }
        asio::co_spawn(m_context, connect(std::move(client)), asio::detached);
    }
}

Awaitable<void> Relay::connect(Socket client)
{
    auto upstream = std::make_shared<asio::ip::tcp::socket>(m_context);
    auto [ec] = co_await upstream->async_connect(m_target, asTuple);
    if (ec || m_isCut) {
        reset(*client);
        co_return;
    }
    m_sockets.insert(client);
    m_sockets.insert(upstream);
    boost::system::error_code ignored;
    client->set_option(asio::ip::tcp::no_delay(true), ignored);
    upstream->set_option(asio::ip::tcp::no_delay(true), ignored);
    asio::co_spawn(m_context, pump(client, upstream), asio::detached);
    asio::co_spawn(m_context, pump(upstream, client), asio::detached);
}

Awaitable<void> Relay::pump(Socket from, Socket to)
{
    std::array<char, bufferBytes> buf {};
    asio::steady_timer timer(m_context);
    while (true) {
        auto [readError, n] = co_await from->async_read_some(asio::buffer(buf), asTuple);
        if (readError) {
            break;
        }
        while (m_isStalled) {
            timer.expires_after(stallPollInterval);
            co_await timer.async_wait(asTuple);
        }
        if (m_delay > Duration::zero()) {
            timer.expires_after(m_delay);
            co_await timer.async_wait(asTuple);
        }
        auto [writeError, written] =
                co_await asio::async_write(*to, asio::buffer(buf.data(), n), asTuple);
        if (writeError) {
            break;
        }
    }
    boost::system::error_code ec;
    to->shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    m_sockets.erase(from);
}

} // namespace greengageseam
