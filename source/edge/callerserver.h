/**
 * Accepts connections from callers and starts a task for each of them.
 */
#pragma once

#include "edge/callerconnection.h"

namespace greengageseam {

/** HTTP server for callers. Construct it with std::make_shared. */
class CallerServer : public std::enable_shared_from_this<CallerServer>
{
public:
    /**
     * @param budget not null
     * @param maxConnections maximum number of open connections; further ones are closed once
     *        accepted
     * @param idleNotice how long an idle connection stays open during a planned stop at least, so
     *        that its caller can send a request and learn of the stop from the response
     */
    CallerServer(RequestContext context, ProcessBudgetPtr budget, std::size_t maxConnections,
                 Duration idleNotice);

    /** Opens the listening socket. @returns InvalidRequest if the address cannot be used */
    Result<void> listen(const Address &address);
    /** Starts to accept connections. */
    void start();
    /** Sets the limits that apply to later requests. */
    void setLimits(const CallerLimits &limits) { m_state->limits = limits; }
    /**
     * Begins a planned stop: from now on each response announces that its connection closes, and
     * connections that stay idle for the notice are closed.
     */
    void drain();
    /** Stops accepting connections and refuses further requests, which are still read. */
    void stop();
    /**
     * Makes every request in progress end soon, with a final answer where that is possible, and
     * closes idle connections.
     */
    void expire();
    /** @returns the number of requests in progress */
    std::size_t inProgress() const { return m_state->inProgress; }
    /** @returns the number of open connections */
    std::size_t connections() const { return m_state->connections; }

private:
    Awaitable<void> acceptLoop();
    void serveConnection(asio::ip::tcp::socket socket);
    void acceptWaitingConnections();
    /** Closes an idle connection if that makes room for another one. */
    bool hasRoom();

    RequestContext m_context;
    std::size_t m_maxConnections;
    Duration m_idleNotice;
    std::shared_ptr<CallerServerState> m_state;
    asio::ip::tcp::acceptor m_acceptor;
};

} // namespace greengageseam
