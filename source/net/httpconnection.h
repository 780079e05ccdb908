/**
 * HTTP client connection that is kept for one request after the other.
 */
#pragma once

#include "core/common/time.h"
#include "net/endpoint.h"
#include "net/http.h"
#include "net/mailbox.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>

namespace greengageseam {

/** How a step of a connection ended. */
enum class HttpIoStatus {
    Done,
    /** The peer refused the connection or could not be reached. */
    ConnectFailed,
    /** The connection ended or was reset. */
    ConnectionLost,
    /** The bytes are not HTTP. */
    Malformed,
    /** The limit of the step was reached. */
    TimedOut,
    /** abort() was called. */
    Aborted,
};

/** Head of an answer. */
struct HttpResponseHead
{
    int status = 0;
    std::vector<HttpHeader> headers;
    /** Whether the peer keeps the connection. */
    bool isKeepAlive = false;
    /** Length of the body; nothing if it is chunked or ends with the connection. */
    std::optional<std::uint64_t> length;

    auto operator<=>(const HttpResponseHead &) const = default;

    /** @returns the first field of this name, whatever its case, or nothing */
    std::optional<std::string_view> header(std::string_view name) const;
};

/** Result of reading a head or a part of a body. */
template <typename T>
struct HttpReadResult
{
    HttpIoStatus ioStatus = HttpIoStatus::Done;
    T value {};
};

/**
 * One connection. Used by one task at a time; abort() may be called by the same task's timers.
 * Construct it with std::make_shared.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    explicit HttpConnection(const asio::any_io_executor &executor);

    /** Connects. @returns Done, NotConnected, TimedOut or Aborted */
    Awaitable<HttpIoStatus> connect(asio::ip::tcp::endpoint endpoint, Duration timeout);

    /** Hands a whole request to the socket. Reading may begin before it is done. */
    Awaitable<HttpIoStatus> send(std::string text, Duration timeout);

    /** Reads the head of the next answer. @param isBodiless whether the request was a HEAD */
    Awaitable<HttpReadResult<HttpResponseHead>> readHead(bool isHeadRequest, Duration timeout);

    /** Reads some bytes of the body. Empty bytes with Done mean that the body is complete. */
    Awaitable<HttpReadResult<std::string>> readBodyPart(Duration timeout);

    /** Reads the rest of the body. @returns Malformed if it is longer than @p maxBytes */
    Awaitable<HttpReadResult<std::string>> readBody(std::size_t maxBytes, Duration timeout);

    /** Ends the connection at once; steps in progress end as Aborted. */
    void abort();

    /** @returns whether the last answer is complete and nothing but the next one may follow */
    bool isReusable() const;
    /** @returns whether the peer has sent nothing and has not closed since the last answer */
    bool isIdleAndOpen();
    /** @returns when the last answer was complete */
    Instant idleSince() const { return m_idleSince; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void startDeadline(Duration timeout);
    void armTimer();
    HttpIoStatus ioStatusOf(const boost::system::error_code &ec) const;

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buf;
    std::optional<Parser> m_parser;
    Instant m_deadline;
    Instant m_idleSince;
    bool m_isTimerArmed = false;
    bool m_isDeadlineActive = false;
    bool m_isTimedOut = false;
    bool m_isAborted = false;
    /** Invariant: true only while all requests were handed over whole. */
    bool m_isRequestSent = true;
    bool m_isKeepAlive = false;
};

using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

/** Sets the options of a connection between machines: no delay, and a bound on silence. */
void setTcpOptions(asio::ip::tcp::socket &socket);

} // namespace greengageseam
