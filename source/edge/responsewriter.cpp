#include "edge/responsewriter.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>

namespace greengageseam {

namespace {

/** @returns the bytes as one chunk of the chunked transfer encoding */
std::string encodeChunk(const std::string &bytes)
{
    std::array<char, 24> length {};
    std::snprintf(length.data(), length.size(), "%zx\r\n", bytes.size());
    return length.data() + bytes + "\r\n";
}

} // namespace

ResponseWriter::ResponseWriter(asio::ip::tcp::socket &socket, bool isHead, bool isHttp10,
                               std::function<bool()> closesAfter)
    : m_socket(socket), m_closesAfter(std::move(closesAfter)), m_isHead(isHead),
      m_isHttp10(isHttp10), m_closesConnection(isHttp10)
{ }

std::string ResponseWriter::formatHead(int status, const std::vector<HttpHeader> &fields)
{
    const auto reason = boost::beast::http::obsolete_reason(
            boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const HttpHeader &field : fields) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    m_closesConnection = m_closesConnection || m_closesAfter();
    if (m_closesConnection) {
        text += "Connection: close\r\n";
        m_hasAnnouncedClose = true;
    }
    return text;
}

Awaitable<bool> ResponseWriter::write(std::string bytes)
{
    if (m_isDisconnected) {
        co_return false;
    }
    auto [ec, n] = co_await asio::async_write(m_socket, asio::buffer(bytes), asTuple);
    if (ec) {
        markDisconnected();
    }
    co_return !ec;
}

Awaitable<bool> ResponseWriter::respond(int status, const std::vector<HttpHeader> &fields,
                                        std::string body)
{
    std::string text = formatHead(status, fields);
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (!m_isHead) {
        text += body;
    }
    co_return co_await write(std::move(text));
}

Awaitable<bool> ResponseWriter::startStream(int status, const std::vector<HttpHeader> &fields,
                                            std::string first)
{
    std::string text = formatHead(status, fields);
    text += m_isHttp10 ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
    if (!first.empty() && !m_isHead) {
        text += m_isHttp10 ? first : encodeChunk(first);
    }
    co_return co_await write(std::move(text));
}

Awaitable<bool> ResponseWriter::writeChunk(std::string chunk)
{
    if (m_isHead || chunk.empty()) {
        co_return !m_isDisconnected;
    }
    std::string text = m_isHttp10 ? std::move(chunk) : encodeChunk(chunk);
    co_return co_await write(std::move(text));
}

Awaitable<bool> ResponseWriter::endStream()
{
    if (m_isHead || m_isHttp10) {
        co_return !m_isDisconnected;
    }
    std::string text = "0\r\n\r\n";
    co_return co_await write(std::move(text));
}

void ResponseWriter::abortStream()
{
    m_closesConnection = true;
    if (m_isHttp10) {
        boost::system::error_code ignored;
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
    }
}

void ResponseWriter::markDisconnected()
{
    if (m_isDisconnected) {
        return;
    }
    m_isDisconnected = true;
    m_closesConnection = true;
    if (m_onDisconnect) {
        m_onDisconnect();
    }
}

} // namespace greengageseam
