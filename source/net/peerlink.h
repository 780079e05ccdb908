/**
 * Links between the processes of this system. A link is a TCP connection that carries frames and
 * multiplexes any number of streams. One end dials, the other listens; each uses the link through a
 * PeerLinkHandle.
 * @see PeerListener
 */
#pragma once

#include "net/endpoint.h"
#include "net/log.h"
#include "net/peerlinkhandle.h"
#include "net/peerlistener.h"

namespace greengageseam {

/**
 * Connects to a peer, performs the mutually authenticated handshake, and starts the task of the
 * link.
 * @param timeout time limit for connecting, and again for the handshake
 * @returns the handle; NoBackendServer if the connection failed, AnswerBroken if the peer closed
 *     it, DeadlineExceeded if the handshake timed out, Unauthenticated if the peer does not know
 *     the secret, or ProtocolViolation if it sent anything other than a handshake
 */
Awaitable<Outcome<PeerLinkHandle>> dialPeer(const asio::any_io_executor &executor,
                                            const Address &address, const PeerIdentity &identity,
                                            LinkHooks hooks, Duration timeout, Log log);

} // namespace greengageseam
