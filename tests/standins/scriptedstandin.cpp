#include "scriptedstandin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace greengageseam {

namespace {

/** Long enough for the peer to read what was sent before. */
constexpr auto settleTime = std::chrono::milliseconds(60);
/** Larger bodies are left unread, as by a server that answers before it has read them. */
constexpr std::size_t maxBodyRead = 16ULL * 1024;
/** Small, so that the write of a long body does not finish while the body is left unread. */
constexpr int receiveBufferBytes = 32 * 1024;

std::string withAttempt(std::string bytes, const std::string &attemptId)
{
    constexpr std::string_view mark = "ATTEMPT";
    for (std::size_t at = bytes.find(mark); at != std::string::npos; at = bytes.find(mark, at)) {
        bytes.replace(at, mark.size(), attemptId);
    }
    return bytes;
}

} // namespace

std::string fieldOf(const std::string &head, const std::string &name)
{
    const std::string field = "\r\n" + name + ": ";
    const std::size_t at = head.find(field);
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + field.size();
    return head.substr(begin, head.find('\r', begin) - begin);
}

ScriptedStandin::ScriptedStandin(const asio::any_io_executor &executor,
                                 std::shared_ptr<AnswerScript> script)
    : m_executor(executor), m_acceptor(executor, {asio::ip::make_address("127.0.0.1"), 0}),
      m_address(addressOf(m_acceptor.local_endpoint())), m_script(std::move(script))
{
    boost::system::error_code ignored;
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
    asio::co_spawn(m_executor, acceptLoop(), asio::detached);
}

Awaitable<void> ScriptedStandin::acceptLoop()
{
    while (true) {
        const auto socket = std::make_shared<asio::ip::tcp::socket>(m_executor);
        auto [ec] = co_await m_acceptor.async_accept(*socket, asTuple);
        if (ec) {
            co_return;
        }
        ++m_connections;
        asio::co_spawn(m_executor, serve(socket), asio::detached);
    }
}

Awaitable<void> ScriptedStandin::serve(SocketPtr socket)
{
    std::string buf;
    while (true) {
        auto [ec, n] = co_await asio::async_read_until(*socket, asio::dynamic_buffer(buf),
                                                       "\r\n\r\n", asTuple);
        if (ec) {
            co_return;
        }
        const std::string head = buf.substr(0, n);
        buf.erase(0, n);
        const std::string length = fieldOf(head, "Content-Length");
        const std::size_t bodySize = length.empty() ? 0 : std::stoul(length);
        if (bodySize > buf.size() && bodySize <= maxBodyRead) {
            auto [error, read] = co_await asio::async_read(
                    *socket, asio::dynamic_buffer(buf),
                    asio::transfer_exactly(bodySize - buf.size()), asTuple);
            if (error) {
                co_return;
            }
        }
        buf.erase(0, bodySize);
        m_script->requests.push_back(head);
        const ScriptedAnswer answer = m_script->answers.front();
        if (m_script->answers.size() > 1) {
            m_script->answers.pop_front();
        }
        const std::string attemptId = fieldOf(head, "Attempt-Id");
        const bool isOpen = co_await play(socket, answer, attemptId);
        if (!isOpen) {
            co_return;
        }
    }
}

Awaitable<bool> ScriptedStandin::play(SocketPtr socket, ScriptedAnswer answer,
                                      std::string attemptId)
{
    asio::steady_timer timer(m_executor, answer.delay);
    co_await timer.async_wait(asTuple);
    const std::string bytes = withAttempt(answer.bytes, attemptId);
    co_await asio::async_write(*socket, asio::buffer(bytes), asTuple);
    boost::system::error_code ignored;
    if (answer.after == AfterAnswer::Resets) {
        timer.expires_after(settleTime);
        co_await timer.async_wait(asTuple);
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
        co_return false;
    }
    if (answer.after == AfterAnswer::Closes) {
        socket->shutdown(asio::socket_base::shutdown_send, ignored);
        timer.expires_after(settleTime);
        co_await timer.async_wait(asTuple);
        socket->close(ignored);
        co_return false;
    }
    if (!answer.laterBytes.empty()) {
        timer.expires_after(settleTime);
        co_await timer.async_wait(asTuple);
        const std::string later = withAttempt(answer.laterBytes, attemptId);
        co_await asio::async_write(*socket, asio::buffer(later), asTuple);
    }
    co_return true;
}

} // namespace greengageseam
