#include "edge/responsewriter.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>

namespace greengageseam {

namespace {

/** Larger writes are split. */
constexpr std::size_t maxPartBytes = 64UL * 1024;

/** @returns the bytes as one chunk of the chunked transfer encoding */
std::string encodeChunk(const std::string &bytes)
{
    std::array<char, 24> length {};
    std::snprintf(length.data(), length.size(), "%zx\r\n", bytes.size());
    return length.data() + bytes + "\r\n";
}

} // namespace

ResponseWriter::ResponseWriter(asio::ip::tcp::socket &socket, bool isHead, bool isHttp10,
                               std::function<bool()> closesAfter, ResponseBudgetHooks budget)
    : m_socket(socket), m_closesAfter(std::move(closesAfter)), m_budget(std::move(budget)),
      m_isHead(isHead), m_isHttp10(isHttp10), m_closesConnection(isHttp10)
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
    if (!beginWrite(bytes.size())) {
        co_return false;
    }
    const bool isWritten = co_await writeParts(bytes);
    endWrite();
    co_return isWritten;
}

Awaitable<bool> ResponseWriter::writeParts(std::string_view bytes)
{
    for (std::size_t at = 0; at < bytes.size() && !m_isDisconnected;) {
        const std::string_view part = bytes.substr(at, maxPartBytes);
        auto [ec, n] = co_await asio::async_write(m_socket, asio::buffer(part), asTuple);
        if (ec) {
            markDisconnected();
        } else if (m_budget.onProgress) {
            m_budget.onProgress();
        }
        at += part.size();
    }
    co_return !m_isDisconnected;
}

bool ResponseWriter::beginWrite(std::size_t bytes)
{
    if (!m_isDisconnected && m_budget.begin) {
        m_budget.begin(bytes);
    }
    return !m_isDisconnected;
}

void ResponseWriter::endWrite()
{
    if (m_budget.end) {
        m_budget.end();
    }
}

Awaitable<bool> ResponseWriter::respond(int status, const std::vector<HttpHeader> &fields,
                                        const std::string &body)
{
    std::string text = formatHead(status, fields);
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    std::string_view rest = m_isHead ? std::string_view() : std::string_view(body);
    const std::size_t joined = rest.size() <= maxPartBytes ? rest.size() : 0;
    text += rest.substr(0, joined);
    rest.remove_prefix(joined);
    if (!beginWrite(text.size() + rest.size())) {
        co_return false;
    }
    co_await writeParts(text);
    const bool isWritten = co_await writeParts(rest);
    endWrite();
    co_return isWritten;
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
