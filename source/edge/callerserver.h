/**
 * Listens for callers; each connection is a task of its own.
 */
#pragma once

#include "edge/callerconnection.h"

namespace greengageseam {

/** The listening side. Construct it with std::make_shared. */
class CallerServer : public std::enable_shared_from_this<CallerServer>
{
public:
    CallerServer(RequestContext context, std::size_t maxConnections);

    /** Opens the listening socket. */
    Result<void> listen(const Address &address);
    /** Starts to accept connections. */
    void start();
    /** Takes over new limits for requests to come. */
    void setLimits(const CallerLimits &limits) { m_state->limits = limits; }
    /** From now on each connection ends after its next answer. */
    void drain() { m_state->isDraining = true; }
    /** Accepts nothing more, and closes idle connections. */
    void stop();
    /** @returns requests in progress */
    std::size_t inProgress() const { return m_state->inProgress; }
    std::size_t connections() const { return m_state->connections; }

private:
    Awaitable<void> acceptLoop();

    RequestContext m_context;
    std::size_t m_maxConnections;
    std::shared_ptr<CallerServerState> m_state;
    asio::ip::tcp::acceptor m_acceptor;
};

} // namespace greengageseam
