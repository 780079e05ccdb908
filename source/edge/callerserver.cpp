#include "edge/callerserver.h"

#include "net/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

/** Delay after a failed accept, for example when the process has run out of file descriptors. */
constexpr auto acceptRetryDelay = std::chrono::milliseconds(20);

} // namespace

CallerServer::CallerServer(RequestContext context, ProcessBudgetPtr budget,
                           std::size_t maxConnections, Duration idleNotice)
    : m_context(std::move(context)), m_maxConnections(maxConnections), m_idleNotice(idleNotice),
      m_state(std::make_shared<CallerServerState>()), m_acceptor(m_context.executor)
{
    m_state->budget = std::move(budget);
}

Result<void> CallerServer::listen(const Address &address)
{
    return openAcceptor(m_acceptor, address);
}

void CallerServer::start()
{
    asio::co_spawn(
            m_context.executor, [self = shared_from_this()] { return self->acceptLoop(); },
            asio::detached);
}

void CallerServer::drain()
{
    if (!m_state->plannedStop) {
        m_state->plannedStop = PlannedStop {monotonicNow(), m_idleNotice};
    }
}

void CallerServer::expire()
{
    drain();
    m_state->plannedStop->isExpired = true;
}

void CallerServer::stop()
{
    drain();
    m_state->isStopped = true;
    acceptWaitingConnections();
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

/** Accepts the connections that have been established already, which closing would reset. */
void CallerServer::acceptWaitingConnections()
{
    boost::system::error_code ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec && hasRoom()) {
        asio::ip::tcp::socket socket(m_context.executor);
        m_acceptor.accept(socket, ec);
        if (!ec) {
            serveConnection(std::move(socket));
        }
    }
}

void CallerServer::serveConnection(asio::ip::tcp::socket socket)
{
    std::make_shared<CallerConnection>(std::move(socket), m_context, m_state)->start();
}

bool CallerServer::hasRoom()
{
    const bool isWithinBudget = m_state->budget->makeRoomForSockets(1, m_state->inProgress);
    return isWithinBudget && m_state->connections < m_maxConnections;
}

Awaitable<void> CallerServer::acceptLoop()
{
    while (m_acceptor.is_open()) {
        auto [ec, socket] = co_await m_acceptor.async_accept(asTuple);
        if (ec || !hasRoom()) {
            Timer timer(m_context.executor, acceptRetryDelay);
            co_await timer.async_wait(asTuple);
            continue;
        }
        serveConnection(std::move(socket));
    }
}

} // namespace greengageseam
