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
class ResponseWriter
{
public:
    /**
     * @param isHead whether the request was a HEAD, which is answered without a body
     * @param isOld whether the caller speaks HTTP/1.0, which knows no chunks
     */
    ResponseWriter(asio::ip::tcp::socket &socket, bool isHead, bool isHttp10, bool closesAfter);

    /** Writes a whole answer. @returns false if the caller has gone */
    Awaitable<bool> respond(int status, const std::vector<HttpHeader> &fields, std::string body);
    /** Begins an answer whose parts follow, with its first part. */
    Awaitable<bool> startStream(int status, const std::vector<HttpHeader> &fields,
                                std::string first);
    /** Writes a part. */
    Awaitable<bool> writeChunk(std::string chunk);
    /** Ends the answer as whole. */
    Awaitable<bool> endStream();
    /** The answer stays visibly incomplete; the connection has to be closed. */
    void abortStream() { m_closesConnection = true; }

    /** The caller has closed its connection. */
    void markDisconnected();
    /** @returns whether the caller has closed its connection */
    bool isDisconnected() const { return m_isDisconnected; }
    /** Sets what is called when the caller closes its connection; empty for nothing. */
    void onDisconnect(std::function<void()> hook) { m_onDisconnect = std::move(hook); }

    /** @returns whether the connection has to be closed after this answer */
    bool closesConnection() const { return m_closesConnection; }

private:
    Awaitable<bool> write(std::string bytes);
    std::string formatHead(int status, const std::vector<HttpHeader> &fields) const;

    asio::ip::tcp::socket &m_socket;
    std::function<void()> m_onDisconnect;
    bool m_isHead;
    bool m_isHttp10;
    bool m_closesConnection;
    bool m_isDisconnected = false;
};

} // namespace greengageseam
