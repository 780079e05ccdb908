/**
 * HTTP client that opens a new connection for each request and can stream the response body.
 */
#pragma once

#include "core/common/time.h"
#include "net/endpoint.h"
#include "net/http.h"
#include "net/mailbox.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>

namespace greengageseam {

/** Head of a response whose body follows in parts. */
struct HttpCallHead
{
    int status = 0;
    std::string contentType;
    /** Value of the `Retry-After` field in seconds; 0 if the field is missing. */
    std::uint32_t retryAfterSeconds = 0;

    auto operator<=>(const HttpCallHead &) const = default;
};

/** A part of a response body. */
struct HttpBodyPart
{
    std::string bytes;
    /** Whether the body is complete with this part. */
    bool isLast = false;

    auto operator<=>(const HttpBodyPart &) const = default;
};

/** Sends one request over its own connection and reads the response body in parts. */
class HttpCall
{
public:
    explicit HttpCall(const asio::any_io_executor &executor);

    /**
     * Connects, sends the request and reads the head of the response.
     * @param timeout time limit for each of these three steps
     * @returns the head; NoBackendServer if the connection failed, so that nothing was sent;
     *     OutcomeUnknown if sending failed, no response head arrived, or its status is one that
     *     HTTP does not know
     */
    Awaitable<Outcome<HttpCallHead>> start(const Address &address, const HttpRequest &request,
                                           Duration timeout);

    /**
     * Reads the next part of the response body.
     * @param timeout time limit for the part
     * @returns the part, or AnswerBroken if the connection ends before the body is complete, the
     *     body is malformed, or the part does not arrive in time; also if an event stream that
     *     ends with the connection does not end after a complete event
     */
    Awaitable<Outcome<HttpBodyPart>> readBodyPart(Duration timeout);

    /** Closes the connection immediately; a pending operation fails. */
    void abort();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    /** Reads the next head, interim or final, into a new parser. @returns its status */
    Awaitable<Outcome<int>> parseHead(const Address &address);
    /** @returns whether the body, which has ended, is an event stream that was broken off */
    bool isBrokenStream() const;

    boost::beast::tcp_stream m_stream;
    /** Received bytes that are not parsed yet. Its size is limited. */
    boost::beast::flat_buffer m_buf;
    /** Empty until the first head is read. */
    std::optional<Parser> m_parser;
    /** Whether the response is an event stream that ends with the connection. */
    bool m_isUnframedStream = false;
    /** The last eventEndBytes of the body. */
    std::string m_bodyEnd;
};

/**
 * Sends a request and reads the complete response.
 * @param timeout time limit for connecting, for sending, and for each read; the whole body may take
 *     ten times as long
 * @param maxBytes maximum size of the response body
 * @returns the response, whatever its status; TooLarge if the body exceeds @p maxBytes; or a
 *     failure as in HttpCall::start() and HttpCall::readBodyPart()
 */
Awaitable<Outcome<HttpResponse>> callHttp(asio::any_io_executor executor, Address address,
                                          HttpRequest request, Duration timeout,
                                          std::size_t maxBytes);

} // namespace greengageseam
