#include "net/peerlistener.h"

#include "net/clock.h"
#include "net/linktask.h"
#include "net/peerhandshake.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr auto handshakeTimeout = std::chrono::seconds(3);
/**
 * Maximum number of connections in the handshake, which takes a few round trips. A further one
 * displaces the oldest.
 */
constexpr std::size_t maxHandshakes = 128;
/** Shortest time between two log lines about refused connections. */
constexpr auto refusalLogInterval = std::chrono::seconds(1);
constexpr auto acceptRetryDelay = std::chrono::milliseconds(20);

} // namespace

PeerListener::PeerListener(const asio::any_io_executor &executor, PeerIdentity identity,
                           LinkHooks hooks, Log log)
    : m_executor(executor), m_identity(std::move(identity)), m_hooks(std::move(hooks)),
      m_log(std::move(log)), m_acceptor(executor)
{ }

Result<Address> PeerListener::listen(const Address &address)
{
    BOOST_LEAF_CHECK(openAcceptor(m_acceptor, address));
    return addressOf(m_acceptor.local_endpoint());
}

void PeerListener::start()
{
    asio::co_spawn(
            m_executor, [self = shared_from_this()] { return self->acceptLoop(); }, asio::detached);
}

void PeerListener::stop()
{
    boost::beast::error_code ec;
    m_acceptor.close(ec);
}

Awaitable<void> PeerListener::finish(Duration timeout)
{
    const Instant deadline = monotonicNow() + timeout;
    std::vector<MailboxPtr<LinkFinished>> replies;
    for (const auto &[number, link] : m_links) {
        const auto reply = makeMailbox<LinkFinished>(m_executor, 1);
        if (link.finish(reply)) {
            replies.push_back(reply);
        }
    }
    for (const auto &reply : replies) {
        const Duration remaining = std::max<Duration>(deadline - monotonicNow(), Duration::zero());
        co_await reply->receiveWithin(remaining);
    }
}

/** Performs the handshake on an accepted connection and starts its link. */
Awaitable<void> PeerListener::acceptLink(LinkSocket socket)
{
    disableNagle(*socket);
    const Outcome<HelloMessage> peer = co_await performHandshakeWithin(
            socket, m_identity, LinkEnd::Acceptor, handshakeTimeout);
    m_handshakes.remove(socket);
    if (const Failure *failure = failureOf(peer)) {
        logRefusal(failure->detail);
        co_return;
    }
    const LinkHooks hooks = makeLinkHooks();
    m_links[m_lastLinkId] = startLink(std::move(socket), std::get<HelloMessage>(peer), hooks, m_log,
                                      LinkEnd::Acceptor);
}

/** Returns the owner's hooks, extended to remove the link from m_links when it closes. */
LinkHooks PeerListener::makeLinkHooks()
{
    LinkHooks hooks = m_hooks;
    hooks.onClosed = [self = weak_from_this(), onClosed = m_hooks.onClosed,
                      number = ++m_lastLinkId](const PeerLinkHandle &link,
                                               const LinkClosed &closed) {
        if (const auto listener = self.lock()) {
            listener->m_links.erase(number);
        }
        onClosed(link, closed);
    };
    return hooks;
}

/** Logs a refused connection. Anybody can cause refusals, so that not each of them gets a line. */
void PeerListener::logRefusal(const std::string &reason)
{
    ++m_unloggedRefusals;
    const Instant now = monotonicNow();
    if (now - m_refusalLoggedAt < refusalLogInterval) {
        return;
    }
    m_log.warning("link.refused", {{"reason", reason}, {"refused", m_unloggedRefusals}});
    m_refusalLoggedAt = now;
    m_unloggedRefusals = 0;
}

/** Records a connection whose handshake begins, and closes the oldest one if there are too many. */
void PeerListener::addHandshake(const LinkSocket &socket)
{
    if (m_handshakes.size() >= maxHandshakes) {
        m_handshakes.front()->close();
        m_handshakes.pop_front();
    }
    m_handshakes.push_back(socket);
}

Awaitable<void> PeerListener::acceptLoop()
{
    Timer pause(m_executor);
    while (m_acceptor.is_open()) {
        auto [ec, accepted] = co_await m_acceptor.async_accept(asTuple);
        if (ec) {
            pause.expires_after(acceptRetryDelay);
            co_await pause.async_wait(asTuple);
            continue;
        }
        auto socket = std::make_shared<boost::beast::tcp_stream>(std::move(accepted));
        addHandshake(socket);
        asio::co_spawn(
                m_executor,
                [self = shared_from_this(), socket] { return self->acceptLink(socket); },
                asio::detached);
    }
}

} // namespace greengageseam
