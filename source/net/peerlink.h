/**
 * Links between the processes of this system. A link is a TCP connection that carries frames and
 * multiplexes any number of streams.
 */
#pragma once

#include "net/endpoint.h"
#include "net/log.h"
#include "net/mailbox.h"
#include "protocol/messages.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace greengageseam {

/**
 * Identity that a process presents in the handshake, and the shared secret that authenticates it.
 */
struct PeerIdentity
{
    std::string role;
    InstanceId instance;
    ZoneName zone;
    /** Secret shared by all processes of a deployment. */
    std::string secret;

    auto operator<=>(const PeerIdentity &) const = default;
};

/** Tells the owners of streams that the link has closed, and why. */
struct LinkClosed
{
    std::string reason;

    auto operator<=>(const LinkClosed &) const = default;
};

/** Event of a stream: a message from the peer, or the closing of the link. */
using StreamEvent = std::variant<Message, LinkClosed>;

/** Command to send a message on a stream. */
struct SendOnLink
{
    StreamMessage message;
};

/** Command to deliver further messages of a stream to a mailbox. */
struct SubscribeStream
{
    StreamId stream = 0;
    MailboxPtr<StreamEvent> mailbox;
};

/** Command to stop delivering a stream's messages; late ones go to LinkHooks::onMessage. */
struct UnsubscribeStream
{
    StreamId stream = 0;
};

/** Command to close the link. */
struct CloseLink
{
    std::string reason;
};

/** Reports that a link has closed. @see FinishLink */
struct LinkFinished
{ };

/**
 * Command to close the link gracefully: queued messages are sent, then the sending direction is
 * shut down, and the link closes when the peer has read everything and closes its side.
 */
struct FinishLink
{
    MailboxPtr<LinkFinished> reply;
};

/** Commands to the task of a link. */
using LinkCommand =
        std::variant<SendOnLink, SubscribeStream, UnsubscribeStream, CloseLink, FinishLink>;

/** Handle of a link's task. Copies refer to the same link. */
class PeerLinkHandle
{
public:
    PeerLinkHandle() = default;
    /**
     * @param firstStream number after which this end numbers the streams that it opens. The two
     *     ends use separate ranges, so that both can open streams without coordination.
     */
    PeerLinkHandle(HelloMessage peer, MailboxPtr<LinkCommand> commands, StreamId firstStream);

    /** @returns the identity of the peer, which the handshake has authenticated */
    const HelloMessage &peer() const { return m_peer; }

    /** @returns an unused number for a new stream; the peer does not use it either */
    StreamId nextStream() const;
    /**
     * Delivers the messages of a stream to a mailbox. If the link closes, the mailbox receives a
     * LinkClosed and is closed.
     * @returns false if the link has closed or its command queue is full
     */
    bool subscribe(StreamId stream, const MailboxPtr<StreamEvent> &mailbox) const;
    /** Sends without waiting. @returns false if the link has closed or its queue is full */
    bool post(StreamId stream, Message message) const;
    /** Sends, and waits for room in the queue. @returns false if the link has closed */
    Awaitable<bool> send(StreamId stream, Message message) const;
    /** Ends the delivery of a stream's messages; call it when the stream is finished. */
    void unsubscribe(StreamId stream) const;
    /** Closes the link. @param reason passed to the owners of its streams */
    void close(std::string reason) const;
    /**
     * Closes the link gracefully, after the peer has read everything.
     * @param reply receives a LinkFinished when the link has closed
     * @returns false if the link was already closed
     */
    bool finish(const MailboxPtr<LinkFinished> &reply) const;
    /** @returns whether the handle refers to a link, which may have closed */
    explicit operator bool() const { return m_commands != nullptr; }

private:
    HelloMessage m_peer;
    MailboxPtr<LinkCommand> m_commands;
    std::shared_ptr<StreamId> m_lastStreamId;
};

/**
 * Hook for messages of streams without a subscribed mailbox: the first message of a stream that the
 * peer opens, and all messages of stream 0.
 */
using OnLinkMessage = std::function<void(const PeerLinkHandle &link, StreamMessage message)>;
/** Hook that is called when the link is established, before any message. */
using OnLinkStarted = std::function<void(const PeerLinkHandle &link)>;
/** Hook that is called when the link has closed. */
using OnLinkClosed = std::function<void(const PeerLinkHandle &link, const LinkClosed &closed)>;

/** Hooks that notify the owner of a link. */
struct LinkHooks
{
    OnLinkMessage onMessage;
    OnLinkClosed onClosed;
    /** Optional. */
    OnLinkStarted onStarted;
};

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
    Awaitable<void> acceptLink(std::shared_ptr<boost::beast::tcp_stream> stream);
    LinkHooks makeLinkHooks();

    asio::any_io_executor m_executor;
    PeerIdentity m_identity;
    LinkHooks m_hooks;
    Log m_log;
    asio::ip::tcp::acceptor m_acceptor;
    /** Open links by their local number. */
    std::map<std::uint64_t, PeerLinkHandle> m_links;
    std::uint64_t m_lastLinkId = 0;
};

} // namespace greengageseam
