/**
 * Handle of a link between two processes of this system, and the messages between the link's task
 * and the owners of its streams.
 */
#pragma once

#include "net/mailbox.h"
#include "protocol/messages.h"

#include <functional>
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

} // namespace greengageseam
