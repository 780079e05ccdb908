/**
 * Handshake of a link: both ends present their identity and prove that they know the secret of the
 * deployment, without sending it.
 */
#pragma once

#include "net/linkframes.h"
#include "net/peerlinkhandle.h"

namespace greengageseam {

/**
 * End of a link. It is part of the proof, so that a proof cannot be replayed to its sender
 * (reflection attack).
 */
enum class LinkEnd { Dialer, Acceptor };

/**
 * Performs the handshake and cancels it when the timeout expires.
 * @param end the end of the link that this process is
 * @returns the peer's hello message, which is authenticated; AnswerBroken if the peer closed the
 *     connection, DeadlineExceeded if the timeout expired, Unauthenticated if the peer does not
 *     know the secret, or ProtocolViolation if it sent anything other than a handshake
 */
Awaitable<Outcome<HelloMessage>> performHandshakeWithin(LinkSocket socket,
                                                        const PeerIdentity &identity, LinkEnd end,
                                                        Duration timeout);

} // namespace greengageseam
