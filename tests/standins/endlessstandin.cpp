#include "endlessstandin.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t writeBytes = 16 * 1024;
/** Small, so that the bytes sent are close to the bytes that the caller has read. */
constexpr int sendBufferBytes = 64 * 1024;
constexpr std::string_view attemptField = "Attempt-Id: ";
constexpr std::string_view attemptMark = "ATTEMPT";

std::string attemptIdOf(const std::string &head)
{
    const std::size_t at = head.find(attemptField);
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + attemptField.size();
    return head.substr(begin, head.find('\r', begin) - begin);
}

} // namespace

EndlessStandin::EndlessStandin(const asio::any_io_executor &executor, EndlessBytes bytes)
    : m_executor(executor), m_acceptor(executor, {asio::ip::make_address("127.0.0.1"), 0}),
      m_address(addressOf(m_acceptor.local_endpoint())), m_bytes(std::move(bytes))
{
    asio::co_spawn(m_executor, acceptLoop(), asio::detached);
}

Awaitable<void> EndlessStandin::acceptLoop()
{
    while (true) {
        const auto socket = std::make_shared<asio::ip::tcp::socket>(m_executor);
        auto [ec] = co_await m_acceptor.async_accept(*socket, asTuple);
        if (ec) {
            co_return;
        }
        asio::co_spawn(m_executor, serve(socket), asio::detached);
    }
}

Awaitable<void> EndlessStandin::serve(SocketPtr socket)
{
    boost::system::error_code ignored;
    socket->set_option(asio::socket_base::send_buffer_size(sendBufferBytes), ignored);
    std::string head;
    auto [ec, n] = co_await asio::async_read_until(*socket, asio::dynamic_buffer(head), "\r\n\r\n",
                                                   asTuple);
    if (ec) {
        co_return;
    }
    ++m_requests;
    const EndlessBytes bytes = m_bytes;
    std::string opening = bytes.opening;
    if (const std::size_t at = opening.find(attemptMark); at != std::string::npos) {
        opening.replace(at, attemptMark.size(), attemptIdOf(head));
    }
    std::string block = bytes.repeated;
    while (bytes.pause == Duration() && !block.empty() && block.size() < writeBytes) {
        block += block;
    }
    asio::steady_timer timer(m_executor);
    std::size_t bytesSent = 0;
    bool isOpen = co_await write(socket, std::move(opening), bytesSent);
    while (isOpen && !block.empty()) {
        timer.expires_after(bytes.pause);
        co_await timer.async_wait(asTuple);
        std::string copy = block;
        isOpen = co_await write(socket, std::move(copy), bytesSent);
    }
    boost::system::error_code readError;
    while (isOpen && !readError) {
        std::array<char, 1024> buf {};
        auto [error, read] = co_await socket->async_read_some(asio::buffer(buf), asTuple);
        readError = error;
    }
    ++m_closedConnections;
}

Awaitable<bool> EndlessStandin::write(SocketPtr socket, std::string bytes, std::size_t &bytesSent)
{
    auto [ec, n] = co_await asio::async_write(*socket, asio::buffer(bytes), asTuple);
    bytesSent += n;
    m_mostBytesSent = std::max(m_mostBytesSent, bytesSent);
    co_return !ec;
}

} // namespace greengageseam
