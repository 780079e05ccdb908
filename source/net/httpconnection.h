/**
 * Persistent (keep-alive) HTTP client connection that carries one request after the other.
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

/** Result of an I/O operation on an HTTP connection. */
enum class HttpIoStatus {
    /** The operation succeeded. */
    Done,
    /** The peer refused the connection or could not be reached. */
    ConnectFailed,
    /** The peer closed or reset the connection. */
    ConnectionLost,
    /** The received bytes are not valid HTTP, or exceed a size limit. */
    Malformed,
    /** The operation did not finish within its timeout. */
    TimedOut,
    /** abort() was called. */
    Aborted,
};

/** Status line and header fields of a response. */
struct HttpResponseHead
{
    int status = 0;
    std::vector<HttpHeader> headers;
    /** Whether the peer keeps the connection open for another request. */
    bool isKeepAlive = false;
    /** Length of the body; empty if it is chunked or ends with the connection. */
    std::optional<std::uint64_t> length;
    /** Whether the response itself tells where its body ends; otherwise the connection's end does.
     */
    bool isFramed = true;

    auto operator<=>(const HttpResponseHead &) const = default;

    /**
     * Looks up a header field; names are compared without regard to case.
     * @returns the value of the first field of this name, or an empty optional
     */
    std::optional<std::string_view> header(std::string_view name) const;
};

/** Result of a read: the status, and the head or the bytes that were read. */
template <typename T>
struct HttpReadResult
{
    HttpIoStatus ioStatus = HttpIoStatus::Done;
    T value {};
};

/**
 * An HTTP client connection. Only one task may use it at a time; that task's timers may call
 * abort(). Must be created with std::make_shared.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    explicit HttpConnection(const asio::any_io_executor &executor);

    /** Connects to an endpoint. @returns Done, ConnectFailed, TimedOut or Aborted */
    Awaitable<HttpIoStatus> connect(asio::ip::tcp::endpoint endpoint, Duration timeout);

    /**
     * Writes a complete, serialized request to the socket. The caller may start to read the
     * response before the write has finished.
     * @param body follows the text and is not copied; may be null
     */
    Awaitable<HttpIoStatus> send(std::string text, Duration timeout,
                                 std::shared_ptr<const std::string> body = nullptr);

    /**
     * Reads the head of the next response, and skips interim heads (1xx) before it.
     * @param isHeadRequest whether the request method was HEAD, so that no body follows
     * @returns Malformed also if the head is too large, follows too many interim heads, or has a
     *     status that HTTP does not know
     */
    Awaitable<HttpReadResult<HttpResponseHead>> readHead(bool isHeadRequest, Duration timeout);

    /**
     * Reads the next bytes of the body. An empty result with Done means the body is complete. A
     * body that ends with the connection is complete only if the peer closed it after it received
     * the whole request.
     */
    Awaitable<HttpReadResult<std::string>> readBodyPart(Duration timeout);

    /**
     * Reads the remaining body.
     * @param timeout time limit for the whole body
     * @param partTimeout time limit for each part of the body
     * @returns Malformed if the body is longer than @p maxBytes
     */
    Awaitable<HttpReadResult<std::string>> readBody(std::size_t maxBytes, Duration timeout,
                                                    Duration partTimeout = Duration::max());

    /** Resets the connection immediately; pending operations return Aborted. */
    void abort();

    /**
     * @returns whether the connection can carry another request: the last request was sent and
     *     its response read completely, no further bytes were received, and the peer keeps the
     *     connection open
     */
    bool isReusable() const;
    /**
     * Checks an idle connection without blocking.
     * @returns whether the peer has neither closed it nor sent anything since the last response
     */
    bool isIdleAndOpen();
    /** @returns when the last response was read completely */
    Instant idleSince() const { return m_idleSince; }
    /** @returns when a part of a response was last received */
    Instant receivedAt() const { return m_receivedAt; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    /** Reads one head, interim or final, into a new parser. */
    Awaitable<HttpIoStatus> parseHead(bool isHeadRequest, Duration timeout);
    /** @returns the head that was parsed last */
    HttpResponseHead takeHead();
    void startDeadline(Duration timeout);
    void armTimer();
    void closeWithReset();
    HttpIoStatus ioStatusOf(const boost::system::error_code &ec) const;

    asio::ip::tcp::socket m_socket;
    Timer m_timer;
    /** Received bytes that are not parsed yet. Its size is limited. */
    boost::beast::flat_buffer m_buf;
    std::optional<Parser> m_parser;
    Instant m_deadline;
    Instant m_idleSince;
    Instant m_receivedAt;
    bool m_isTimerArmed = false;
    bool m_isDeadlineActive = false;
    bool m_isTimedOut = false;
    bool m_isAborted = false;
    /** Whether the last request was written completely. */
    bool m_isRequestSent = true;
    bool m_isKeepAlive = false;
    /** HttpResponseHead::isFramed of the current response. */
    bool m_isFramed = true;
};

using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

/**
 * Sets the TCP options of a connection between machines: TCP_NODELAY, and keep-alive probes and
 * TCP_USER_TIMEOUT so that a peer that has vanished is detected.
 *
 * @param unreadTimeout the connection is reset if the peer acknowledges nothing of the data sent to
 *        it for this long, or has no room for it because it does not read
 */
void setTcpOptions(asio::ip::tcp::socket &socket, std::chrono::milliseconds unreadTimeout);

} // namespace greengageseam
