/**
 * Listening end of links between processes.
 */
#pragma once

#include "net/endpoint.h"
#include "net/linkframes.h"
#include "net/log.h"
#include "net/peerlinkhandle.h"

#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <map>
#include <memory>

namespace greengageseam {

/** Accepts links from peers; each link runs in its own task. */
class PeerListener : public std::enable_shared_from_this<PeerListener>
{
public:
    PeerListener(const asio::any_io_executor &executor, PeerIdentity identity, LinkHooks hooks,
                 Log log);

    /**
     * Opens the listening socket.
     * @param address port 0 selects any free port
     * @returns the address with the bound port, or InvalidRequest
     */
    Result<Address> listen(const Address &address);
    /** Starts the task that accepts links. */
    void start();
    /** Stops accepting links; established links remain open. */
    void stop();
    /**
     * Closes the established links gracefully, when their peers have read everything. New links are
     * still accepted until stop(), so that an entry can query the outcome of an attempt.
     * @param timeout maximum total time to wait for the peers
     */
    Awaitable<void> finish(Duration timeout);

private:
    Awaitable<void> acceptLoop();
    Awaitable<void> acceptLink(LinkSocket socket);
    void addHandshake(const LinkSocket &socket);
    void logRefusal(const std::string &reason);
    LinkHooks makeLinkHooks();

    asio::any_io_executor m_executor;
    PeerIdentity m_identity;
    LinkHooks m_hooks;
    Log m_log;
    asio::ip::tcp::acceptor m_acceptor;
    /** Connections that are in the handshake, the oldest first. Invariant: at most maxHandshakes.
     */
    std::list<LinkSocket> m_handshakes;
    /** When a refused connection was logged last, and how many were refused since. */
    Instant m_refusalLoggedAt;
    std::size_t m_unloggedRefusals = 0;
    /** Open links by their local number. */
    std::map<std::uint64_t, PeerLinkHandle> m_links;
    std::uint64_t m_lastLinkId = 0;
};

} // namespace greengageseam
