#include "net/peerhandshake.h"

#include "core/common/hashing.h"
#include "net/clock.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

namespace greengageseam {

namespace {

constexpr int nonceWords = 4;
/** Maximum size of a message of the handshake, whose sender has proved nothing yet. */
constexpr std::size_t maxHandshakeBytes = 4UL * 1024;

std::string makeNonce()
{
    std::string nonce;
    for (int i = 0; i < nonceWords; ++i) {
        nonce += std::to_string(randomNumber()) + ".";
    }
    return nonce;
}

Digest proofOf(const std::string &secret, const HelloMessage &localHello,
               const std::string &peerNonce, LinkEnd end)
{
    const std::string text = std::string(end == LinkEnd::Dialer ? "dial" : "accept") + "\n"
            + localHello.role + "\n" + localHello.instance.text() + "\n" + localHello.zone.text()
            + "\n" + localHello.nonce + "\n" + peerNonce;
    return hmacSha256(secret, text);
}

/** Reads a frame that must contain a certain type of handshake message. */
template <typename Expected>
Awaitable<Outcome<Expected>> readHandshakeMessage(const LinkSocket &socket)
{
    Outcome<StreamMessage> frame = co_await readFrame(socket, maxHandshakeBytes);
    if (const Failure *failure = failureOf(frame)) {
        co_return *failure;
    }
    auto *expected = std::get_if<Expected>(&std::get<StreamMessage>(frame).message);
    if (expected == nullptr) {
        co_return Failure {ErrorKind::ProtocolViolation, "unexpected message during the handshake"};
    }
    co_return std::move(*expected);
}

Awaitable<Outcome<HelloMessage>> performHandshake(const LinkSocket &socket,
                                                  const PeerIdentity &identity, LinkEnd end)
{
    const HelloMessage localHello {protocolVersion, identity.role, identity.instance, identity.zone,
                                   makeNonce()};
    StreamMessage hello {0, localHello};
    if (!co_await writeFrame(socket, hello)) {
        co_return Failure {ErrorKind::AnswerBroken, "the hello message could not be sent"};
    }
    Outcome<HelloMessage> receivedHello = co_await readHandshakeMessage<HelloMessage>(socket);
    if (const Failure *failure = failureOf(receivedHello)) {
        co_return *failure;
    }
    const HelloMessage peer = std::get<HelloMessage>(receivedHello);
    if (peer.version != protocolVersion) {
        co_return Failure {ErrorKind::ProtocolViolation,
                           "the peer uses unsupported protocol version "
                                   + std::to_string(peer.version)};
    }
    StreamMessage proof {0, ProofMessage {proofOf(identity.secret, localHello, peer.nonce, end)}};
    if (!co_await writeFrame(socket, proof)) {
        co_return Failure {ErrorKind::AnswerBroken, "the proof message could not be sent"};
    }
    const Outcome<ProofMessage> receivedProof = co_await readHandshakeMessage<ProofMessage>(socket);
    if (const Failure *failure = failureOf(receivedProof)) {
        co_return *failure;
    }
    const LinkEnd peerEnd = end == LinkEnd::Dialer ? LinkEnd::Acceptor : LinkEnd::Dialer;
    const Digest expected = proofOf(identity.secret, peer, localHello.nonce, peerEnd);
    if (!equalInConstantTime(expected.text(), std::get<ProofMessage>(receivedProof).mac.text())) {
        co_return Failure {ErrorKind::Unauthenticated, "the peer does not know the secret"};
    }
    co_return peer;
}

} // namespace

Awaitable<Outcome<HelloMessage>> performHandshakeWithin(LinkSocket socket,
                                                        const PeerIdentity &identity, LinkEnd end,
                                                        Duration timeout)
{
    using namespace asio::experimental::awaitable_operators;
    Timer timer(socket->get_executor(), timeout);
    auto first = co_await (performHandshake(socket, identity, end) || timer.async_wait(asTuple));
    if (first.index() == 0) {
        co_return std::get<0>(std::move(first));
    }
    co_return Failure {ErrorKind::DeadlineExceeded, "the handshake timed out"};
}

} // namespace greengageseam
