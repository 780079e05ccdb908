/**
 * The task of one link, from the end of the handshake until the link closes.
 */
#pragma once

#include "net/linkframes.h"
#include "net/log.h"
#include "net/peerhandshake.h"
#include "net/peerlinkhandle.h"

#include <map>
#include <memory>
#include <string>

namespace greengageseam {

/**
 * Reads the messages of one link and delivers them to the owners of its streams, and carries out
 * the commands of its handles. Sole owner of the socket and the table of streams.
 */
class LinkTask : public std::enable_shared_from_this<LinkTask>
{
public:
    /** @param handle passed to the hooks; it sends its commands to @p commands */
    LinkTask(LinkSocket socket, PeerLinkHandle handle, MailboxPtr<LinkCommand> commands,
             LinkHooks hooks, Log log);

    /** Starts reading the socket and carrying out commands. */
    void start();

private:
    Awaitable<void> readLoop();
    void deliver(StreamMessage message);
    Awaitable<void> commandLoop();
    Awaitable<void> write(std::string bytes);
    void apply(const LinkCommand &command);
    void closeLink(const std::string &reason);
    void dropCommands(const LinkClosed &closed);
    Awaitable<void> drainCommands(LinkClosed closed);

    LinkSocket m_socket;
    PeerLinkHandle m_handle;
    MailboxPtr<LinkCommand> m_commands;
    LinkHooks m_hooks;
    Log m_log;
    std::map<StreamId, MailboxPtr<StreamEvent>> m_streams;
    /** Set during a graceful close, until the peer has read everything. */
    MailboxPtr<LinkFinished> m_finishReply;
    bool m_isClosed = false;
};

/**
 * Starts the task of a link after its handshake.
 * @param peer the authenticated identity of the peer
 * @returns a handle of the link
 */
PeerLinkHandle startLink(LinkSocket socket, const HelloMessage &peer, const LinkHooks &hooks,
                         const Log &log, LinkEnd end);

/** Sends small frames without delay, instead of collecting them (Nagle's algorithm). */
void disableNagle(boost::beast::tcp_stream &socket);

} // namespace greengageseam
