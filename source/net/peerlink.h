/**
 * Links between processes of this system: frames over one connection, many streams at a time.
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

/** What a process says of itself in its hello, and the secret by which it is believed. */
struct PeerIdentity
{
    std::string role;
    InstanceId instance;
    ZoneName zone;
    /** Secret that all processes of one deployment share. */
    std::string secret;

    auto operator<=>(const PeerIdentity &) const = default;
};

/** Why a link has ended, for those who wait on its streams. */
struct LinkClosed
{
    std::string reason;

    auto operator<=>(const LinkClosed &) const = default;
};

/** What the owner of a stream gets: a message of the peer, or the news that the link has ended. */
using StreamEvent = std::variant<Message, LinkClosed>;

/** Sends a message on a stream. */
struct SendOnLink
{
    StreamMessage message;
};

/** From now on the stream's messages go to this mailbox. */
struct SubscribeStream
{
    StreamId stream = 0;
    MailboxPtr<StreamEvent> mailbox;
};

/** Nobody waits for the stream's messages any more; late ones are dropped. */
struct UnsubscribeStream
{
    StreamId stream = 0;
};

/** Ends the link. */
struct CloseLink
{
    std::string reason;
};

/** Says that a link has ended after its peer had read all that was sent. */
struct LinkFinished
{ };

/** Sends what waits, then nothing more, and ends the link when the peer has read all. */
struct FinishLink
{
    MailboxPtr<LinkFinished> reply;
};

/** Messages to the task of a link. */
using LinkCommand =
        std::variant<SendOnLink, SubscribeStream, UnsubscribeStream, CloseLink, FinishLink>;

/** Address of a link's task. Copies speak to the same link. */
class PeerLinkHandle
{
public:
    PeerLinkHandle() = default;
    /** @param firstStream the two ends of a link begin far apart, so that both may open streams */
    PeerLinkHandle(HelloMessage peer, MailboxPtr<LinkCommand> commands, StreamId firstStream);

    /** @returns what the peer said of itself, proved by the secret */
    const HelloMessage &peer() const { return m_peer; }

    /** @returns a number for a new stream, which the other side does not use */
    StreamId nextStream() const;
    /** Lets a stream's messages go to a mailbox. @returns false if the link has ended */
    bool subscribe(StreamId stream, const MailboxPtr<StreamEvent> &mailbox) const;
    /** Sends without waiting. @returns false if the link has ended or is full */
    bool post(StreamId stream, Message message) const;
    /** Sends, and waits for room. @returns false if the link has ended */
    Awaitable<bool> send(StreamId stream, Message message) const;
    /** Drops what still comes on a stream. */
    void unsubscribe(StreamId stream) const;
    /** Ends the link. */
    void close(std::string reason) const;
    /** Ends the link once the peer has everything. @returns false if it had ended before */
    bool finish(const MailboxPtr<LinkFinished> &reply) const;
    /** @returns whether there is a link behind this handle */
    explicit operator bool() const { return m_commands != nullptr; }

private:
    HelloMessage m_peer;
    MailboxPtr<LinkCommand> m_commands;
    std::shared_ptr<StreamId> m_lastStreamId;
};

/** Hook for messages on streams that nobody listens to: the first message of a stream, or stream 0.
 */
using OnLinkMessage = std::function<void(const PeerLinkHandle &link, StreamMessage message)>;
/** Hook that is told when the link has begun, before any message. */
using OnLinkStarted = std::function<void(const PeerLinkHandle &link)>;
/** Hook that is told when the link has ended. */
using OnLinkClosed = std::function<void(const PeerLinkHandle &link, const LinkClosed &closed)>;

/** What the owner of a link wants to hear of it. */
struct LinkHooks
{
    OnLinkMessage onMessage;
    OnLinkClosed onClosed;
    /** May be empty. */
    OnLinkStarted onStarted;
};

/**
 * Connects to a peer, proves who both are, and starts the link's task.
 * @param limit time for the connection and the greeting together
 * @returns the handle, or NoBackendServer, Unauthenticated or ProtocolViolation
 */
Awaitable<Outcome<PeerLinkHandle>> dialPeer(const asio::any_io_executor &executor,
                                            const Address &address, const PeerIdentity &identity,
                                            LinkHooks hooks, Duration timeout, Log log);

/** Accepts links of peers; each link is a task of its own. */
class PeerListener : public std::enable_shared_from_this<PeerListener>
{
public:
    PeerListener(const asio::any_io_executor &executor, PeerIdentity identity, LinkHooks hooks,
                 Log log);

    /** Opens the listening socket. @returns the address with the port that was bound */
    Result<Address> listen(const Address &address);
    /** Starts to accept links. */
    void start();
    /** Accepts no more links; those there are go on. */
    void stop();
    /**
     * Ends the links there are when their peers have read everything. New ones are accepted until
     * stop(), so that an entry can still ask what became of an attempt.
     * @param limit longest time to wait for the peers
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
    /** The links that are up, by a number of their own. */
    std::map<std::uint64_t, PeerLinkHandle> m_links;
    std::uint64_t m_lastLinkId = 0;
};

} // namespace greengageseam
