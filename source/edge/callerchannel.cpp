#include "edge/callerchannel.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>

namespace greengageseam {

namespace {

/** @returns the bytes as one chunk of the chunked transfer encoding */
std::string chunkOf(const std::string &bytes)
{
    std::array<char, 24> length {};
    std::snprintf(length.data(), length.size(), "%zx\r\n", bytes.size());
    return length.data() + bytes + "\r\n";
}

} // namespace

CallerChannel::CallerChannel(asio::ip::tcp::socket &socket, bool isHead, bool isOld,
                             bool closesAfter)
    : m_socket(socket), m_isHead(isHead), m_isOld(isOld), m_closes(closesAfter || isOld)
{ }

std::string CallerChannel::headOf(int status, const std::vector<HttpHeader> &fields) const
{
    const auto reason = boost::beast::http::obsolete_reason(
            boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const HttpHeader &field : fields) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (m_closes) {
        text += "Connection: close\r\n";
    }
    return text;
}

Awaitable<bool> CallerChannel::write(std::string bytes)
{
    if (m_isGone) {
        co_return false;
    }
    auto [ec, n] = co_await asio::async_write(m_socket, asio::buffer(bytes), asTuple);
    if (ec) {
        markGone();
    }
    co_return !ec;
}

Awaitable<bool> CallerChannel::respond(int status, const std::vector<HttpHeader> &fields,
                                       std::string body)
{
    std::string text = headOf(status, fields);
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (!m_isHead) {
        text += body;
    }
    co_return co_await write(std::move(text));
}

Awaitable<bool> CallerChannel::beginStream(int status, const std::vector<HttpHeader> &fields,
                                           std::string first)
{
    std::string text = headOf(status, fields);
    text += m_isOld ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
    if (!first.empty() && !m_isHead) {
        text += m_isOld ? first : chunkOf(first);
    }
    co_return co_await write(std::move(text));
}

Awaitable<bool> CallerChannel::sendPart(std::string part)
{
    if (m_isHead || part.empty()) {
        co_return !m_isGone;
    }
    std::string text = m_isOld ? std::move(part) : chunkOf(part);
    co_return co_await write(std::move(text));
}

Awaitable<bool> CallerChannel::endStream()
{
    if (m_isHead || m_isOld) {
        co_return !m_isGone;
    }
    std::string text = "0\r\n\r\n";
    co_return co_await write(std::move(text));
}

void CallerChannel::markGone()
{
    if (m_isGone) {
        return;
    }
    m_isGone = true;
    m_closes = true;
    if (m_onGone) {
        m_onGone();
    }
}

} // namespace greengageseam
