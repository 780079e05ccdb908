/**
 * The way from a request in progress back to its caller.
 */
#pragma once

#include "net/http.h"
#include "net/mailbox.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace greengageseam {

/** Writes one answer to a caller's connection. Used by the task of the request alone. */
class CallerChannel
{
public:
    /**
     * @param isHead whether the request was a HEAD, which is answered without a body
     * @param isOld whether the caller speaks HTTP/1.0, which knows no chunks
     */
    CallerChannel(asio::ip::tcp::socket &socket, bool isHead, bool isOld, bool closesAfter);

    /** Writes a whole answer. @returns false if the caller has gone */
    Awaitable<bool> respond(int status, const std::vector<HttpHeader> &fields, std::string body);
    /** Begins an answer whose parts follow, with its first part. */
    Awaitable<bool> beginStream(int status, const std::vector<HttpHeader> &fields,
                                std::string first);
    /** Writes a part. */
    Awaitable<bool> sendPart(std::string part);
    /** Ends the answer as whole. */
    Awaitable<bool> endStream();
    /** The answer stays visibly incomplete; the connection has to be closed. */
    void breakOff() { m_closes = true; }

    /** The caller has closed its connection. */
    void markGone();
    /** @returns whether the caller has closed its connection */
    bool isGone() const { return m_isGone; }
    /** Sets what is called when the caller closes its connection; empty for nothing. */
    void onGone(std::function<void()> hook) { m_onGone = std::move(hook); }

    /** @returns whether the connection has to be closed after this answer */
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
