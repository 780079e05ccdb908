/**
 * The task that keeps one link to each agent that weights are exchanged with.
 */
#pragma once

#include "core/weights/weights.h"
#include "net/log.h"
#include "net/metrics.h"
#include "net/peerlink.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <variant>
#include <vector>

namespace greengageseam {

/** The agents that can be dialed, and those of them to keep links to. */
struct UpdatePeers
{
    std::vector<WeightPeer> knownPeers;
    std::vector<WeightPeer> peersToLink;
};

/** A stream of a link to a peer. */
struct PeerStream
{
    PeerLinkHandle link;
    StreamId stream = 0;
};

/** Asks for a stream to a peer; a peer without a link is dialed. */
struct OpenPeerStream
{
    InstanceId peer;
    MailboxPtr<Outcome<PeerStream>> reply;
};

/** A link was dialed, or could not be. */
struct PeerDialed
{
    InstanceId peer;
    Outcome<PeerLinkHandle> link;
};

/** A link to an agent has ended, whoever dialed it. */
struct PeerLinkClosed
{
    InstanceId peer;
};

/** An agent said over a link what it offers. */
struct HaveMessageReceived
{
    PeerLinkHandle link;
    HaveMessage have;
};

/** Which of the linked peers are meant. */
enum class PeerScope { All, SameZone, OtherZones };

/** Tells linked peers what is offered. */
struct AnnounceChunks
{
    HaveMessage have;
    PeerScope scope = PeerScope::All;
    /** Just this peer, unless it is empty. */
    InstanceId peer;
};

/** Time to close links that nobody uses. */
struct LinksTick
{ };

/** Messages to the task. */
using ChunkLinksCommand = std::variant<UpdatePeers, OpenPeerStream, PeerDialed, PeerLinkClosed,
                                       HaveMessageReceived, AnnounceChunks, LinksTick>;

/** What the task passes on; the hooks must not wait. */
struct ChunkLinksHooks
{
    /** A peer said what it offers. */
    std::function<void(const PeerChunksAnnounced &has, bool isAnswerWanted)> onChunksAnnounced;
    /** There is a link to a peer now. */
    std::function<void(const InstanceId &peer)> onLinked;
    /** There is no link to a peer any more. */
    std::function<void(const InstanceId &peer)> onLinkLost;
    /** A peer asks for bytes. */
    std::function<void(const PeerLinkHandle &link, StreamMessage message)> onRequest;
};

/** Dials, keeps and closes the links between agents. */
class ChunkLinks : public std::enable_shared_from_this<ChunkLinks>
{
public:
    ChunkLinks(const asio::any_io_executor &executor, PeerIdentity identity, ChunkLinksHooks hooks,
               std::shared_ptr<Metrics> metrics, Log log);

    /** @returns where to send commands */
    const MailboxPtr<ChunkLinksCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    struct Link
    {
        /** Nothing while the peer is being dialed. */
        PeerLinkHandle handle;
        /** Whether this side dialed; it then numbers streams upwards, the other side downwards. */
        bool isDialed = false;
        Instant usedAt;
        std::vector<OpenPeerStream> pendingStreams;
    };

    Awaitable<void> run();
    void apply(const UpdatePeers &command);
    void apply(const OpenPeerStream &command);
    void apply(const PeerDialed &command);
    void apply(const PeerLinkClosed &command);
    void apply(const HaveMessageReceived &command);
    void apply(const AnnounceChunks &command);
    void apply(const LinksTick &command);
    Link *findOrDial(const InstanceId &peer);
    Awaitable<void> dial(InstanceId peer, Address address);
    static void replyWithStream(const OpenPeerStream &request, const Link &link);

    asio::any_io_executor m_executor;
    PeerIdentity m_identity;
    ChunkLinksHooks m_hooks;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
    MailboxPtr<ChunkLinksCommand> m_mailbox;
    std::map<InstanceId, Address> m_peerAddresses;
    std::set<InstanceId> m_peersToLink;
    std::map<InstanceId, Link> m_links;
};

} // namespace greengageseam
