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

/** Hooks that charge an answer to the budget of the process while it is written; may be empty. */
struct ResponseBudgetHooks
{
    /** An answer is about to be read. @returns whether it may be held until it is written */
    std::function<bool(std::size_t bytes)> hold;
    /** Bytes are about to be written, and are held until then. */
    std::function<void(std::size_t bytes)> begin;
    /** A part of them was written. */
    std::function<void()> onProgress;
    /** All of them were written, or the connection was lost. */
    std::function<void()> end;
};

/**
 * Writes one response to a caller's connection.
 *
 * Only the task that handles the request may use it. Every method that writes returns false if
 * the caller has disconnected.
 */
class ResponseWriter
{
public:
    /**
     * @param isHead whether the request method is HEAD, so that the response has no body
     * @param isHttp10 whether the caller uses HTTP/1.0, which has no chunked encoding
     * @param closesAfter whether the connection closes after this response; asked once the head of
     *        the response is written, which announces it
     */
    ResponseWriter(asio::ip::tcp::socket &socket, bool isHead, bool isHttp10,
                   std::function<bool()> closesAfter, ResponseBudgetHooks budget = {});

    /**
     * Writes a complete response with a Content-Length.
     * @param body must exist until the response is written, as it may be large and is not copied
     */
    Awaitable<bool> respond(int status, const std::vector<HttpHeader> &fields,
                            const std::string &body);
    /** Writes the head of a streamed response together with its first chunk. */
    Awaitable<bool> startStream(int status, const std::vector<HttpHeader> &fields,
                                std::string first);
    /** Writes the next chunk of a streamed response. */
    Awaitable<bool> writeChunk(std::string chunk);
    /** Marks the end of a streamed response, so that the caller knows it is complete. */
    Awaitable<bool> endStream();
    /**
     * Leaves a streamed response without its end marker and requests that the connection closes, so
     * that the caller can tell that the response is incomplete. Resets the connection of an
     * HTTP/1.0 caller, for whom a normal close is the end marker.
     */
    void abortStream();

    /** @returns whether the budget has room for an answer that is about to be read */
    bool mayHold(std::size_t bytes) const { return !m_budget.hold || m_budget.hold(bytes); }

    /** Records that the caller has closed its connection, and runs the onDisconnect() hook. */
    void markDisconnected();
    /** @returns whether the caller has closed its connection */
    bool isDisconnected() const { return m_isDisconnected; }
    /** Sets the hook that runs when the caller closes its connection; may be empty. */
    void onDisconnect(std::function<void()> hook) { m_onDisconnect = std::move(hook); }

    /** @returns whether the connection must be closed after this response */
    bool closesConnection() const { return m_closesConnection; }
    /** @returns whether the head of the response has told the caller that the connection closes */
    bool hasAnnouncedClose() const { return m_hasAnnouncedClose; }

private:
    Awaitable<bool> write(std::string bytes);
    /** Writes bytes in parts, so that progress shows. */
    Awaitable<bool> writeParts(std::string_view bytes);
    /** @returns false if the caller has disconnected */
    bool beginWrite(std::size_t bytes);
    void endWrite();
    std::string formatHead(int status, const std::vector<HttpHeader> &fields);

    asio::ip::tcp::socket &m_socket;
    std::function<bool()> m_closesAfter;
    std::function<void()> m_onDisconnect;
    ResponseBudgetHooks m_budget;
    bool m_isHead;
    bool m_isHttp10;
    bool m_closesConnection;
    bool m_hasAnnouncedClose = false;
    bool m_isDisconnected = false;
};

} // namespace greengageseam
