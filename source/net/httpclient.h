/**
 * HTTP client: a connection to one address, used for one request at a time.
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

namespace greengageseam {

/** Status and type of an answer whose parts follow. */
struct HttpCallHead
{
    int status = 0;
    std::string contentType;
    /** Value of `Retry-After` in seconds; 0 without one. */
    std::uint32_t retryAfterSeconds = 0;

    auto operator<=>(const HttpCallHead &) const = default;
};

/** A part of an answer; the last part is empty. */
struct HttpBodyPart
{
    std::string bytes;
    bool isLast = false;

    auto operator<=>(const HttpBodyPart &) const = default;
};

/** One request over a connection of its own, with the answer read in parts. */
class HttpCall
{
public:
    explicit HttpCall(const asio::any_io_executor &executor);

    /**
     * Connects, sends the request and reads the head of the answer.
     * @param limit time for each of the three
     * @returns NoBackendServer if nothing was sent, OutcomeUnknown if the answer failed to come
     */
    Awaitable<Outcome<HttpCallHead>> start(const Address &address, const HttpRequest &request,
                                           Duration timeout);

    /** Reads the next part. @returns AnswerBroken if the answer ends before its end */
    Awaitable<Outcome<HttpBodyPart>> readBodyPart(Duration timeout);

    /** Ends the call at once; a part that is being read fails. */
    void abort();

private:
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buf;
    boost::beast::http::response_parser<boost::beast::http::buffer_body> m_parser;
};

/**
 * Makes a call and reads its whole answer.
 * @param maxBytes largest answer
 * @returns the response with any status, or why there was none
 */
Awaitable<Outcome<HttpResponse>> callHttp(asio::any_io_executor executor, Address address,
                                          HttpRequest request, Duration timeout,
                                          std::size_t maxBytes);

} // namespace greengageseam
