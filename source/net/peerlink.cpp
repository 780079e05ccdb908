#include "net/peerlink.h"

#include "net/linktask.h"
#include "net/peerhandshake.h"

namespace greengageseam {

Awaitable<Outcome<PeerLinkHandle>> dialPeer(const asio::any_io_executor &executor,
                                            const Address &address, const PeerIdentity &identity,
                                            LinkHooks hooks, Duration timeout, Log log)
{
    const Outcome<asio::ip::tcp::endpoint> endpoint =
            toOutcome([&] { return parseEndpoint(address); });
    if (const Failure *failure = failureOf(endpoint)) {
        co_return *failure;
    }
    auto socket = std::make_shared<boost::beast::tcp_stream>(executor);
    socket->expires_after(timeout);
    auto [ec] =
            co_await socket->async_connect(std::get<asio::ip::tcp::endpoint>(endpoint), asTuple);
    socket->expires_never();
    if (ec) {
        co_return Failure {ErrorKind::NoBackendServer, address.text() + ": " + ec.message()};
    }
    disableNagle(*socket);
    const Outcome<HelloMessage> peer =
            co_await performHandshakeWithin(socket, identity, LinkEnd::Dialer, timeout);
    if (const Failure *failure = failureOf(peer)) {
        co_return *failure;
    }
    co_return startLink(std::move(socket), std::get<HelloMessage>(peer), hooks, log,
                        LinkEnd::Dialer);
}

} // namespace greengageseam
