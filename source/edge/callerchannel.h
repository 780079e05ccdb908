/**
 * Writes HTTP responses to a caller's connection, either buffered or as a stream.
 */
#pragma once

#include "net/http.h"
#include "net/mailbox.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace greengageseam {

/**
 * Writes one response to a caller's connection.
 *
 * Only the task that handles the request may use it. Every method that writes returns false if
 * the caller has disconnected.
 */
class CallerChannel
{
public:
    /**
     * @param isHead whether the request method is HEAD, so that the response has no body
     * @param isHttp10 whether the caller uses HTTP/1.0, which has no chunked encoding
     * @param closesAfter whether the connection closes after this response
     */
    CallerChannel(asio::ip::tcp::socket &socket, bool isHead, bool isOld, bool closesAfter);

    /** Writes a complete response with a Content-Length. */
    Awaitable<bool> respond(int status, const std::vector<HttpHeader> &fields, std::string body);
    /** Writes the head of a streamed response together with its first chunk. */
    Awaitable<bool> beginStream(int status, const std::vector<HttpHeader> &fields,
                                std::string first);
    /** Writes the next chunk of a streamed response. */
    Awaitable<bool> sendPart(std::string part);
    /** Marks the end of a streamed response, so that the caller knows it is complete. */
    Awaitable<bool> endStream();
    /**
     * Leaves a streamed response without its end marker and requests that the connection closes, so
     * that the caller can tell that the response is incomplete.
     */
    void breakOff() { m_closes = true; }

    /** Records that the caller has closed its connection, and runs the onDisconnect() hook. */
    void markGone();
    /** @returns whether the caller has closed its connection */
    bool isGone() const { return m_isGone; }
    /** Sets the hook that runs when the caller closes its connection; may be empty. */
    void onGone(std::function<void()> hook) { m_onGone = std::move(hook); }

    /** @returns whether the connection must be closed after this response */
    bool closes() const { return m_closes; }

private:
    Awaitable<bool> write(std::string bytes);
    std::string headOf(int status, const std::vector<HttpHeader> &fields) const;

    asio::ip::tcp::socket &m_socket;
    std::function<void()> m_onGone;
    bool m_isHead;
    bool m_isOld;
    bool m_closes;
    bool m_isGone = false;
};

} // namespace greengageseam
