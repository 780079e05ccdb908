/**
 * The task that maintains one link to each agent with which weights are exchanged.
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

/** Replaces the set of agents that can be dialed, and the subset to keep links to. */
struct UpdatePeers
{
    std::vector<WeightPeer> knownPeers;
    std::vector<WeightPeer> peersToLink;
};

/** A new stream on the link to a peer. */
struct PeerStream
{
    PeerLinkHandle link;
    StreamId stream = 0;
};

/** Requests a stream to a peer. A peer without a link is dialed first. */
struct OpenPeerStream
{
    InstanceId peer;
    MailboxPtr<Outcome<PeerStream>> reply;
};

/** A dial attempt has succeeded or failed. */
struct PeerDialed
{
    InstanceId peer;
    Outcome<PeerLinkHandle> link;
};

/** A link to an agent was closed, whichever side had dialed it. */
struct PeerLinkClosed
{
    InstanceId peer;
};

/** An agent announced over a link which chunks it stores. */
struct HaveMessageReceived
{
    PeerLinkHandle link;
    HaveMessage have;
};

/** Selects linked peers by their zone, relative to the zone of this agent. */
enum class PeerScope { All, SameZone, OtherZones };

/** Announces stored chunks to linked peers. */
struct AnnounceChunks
{
    HaveMessage have;
    PeerScope scope = PeerScope::All;
    /** If not empty, announce to this peer only. */
    InstanceId peer;
};

/** Periodic check, which redials lost peers and closes idle links. */
struct LinksTick
{ };

/** Messages to the task. */
using ChunkLinksCommand = std::variant<UpdatePeers, OpenPeerStream, PeerDialed, PeerLinkClosed,
                                       HaveMessageReceived, AnnounceChunks, LinksTick>;

/** Hooks that the task calls. They must not block. */
struct ChunkLinksHooks
{
    /**
     * Called when a peer has announced its chunks.
     * @param isAnswerWanted whether the peer asks for an announcement in return
     */
    std::function<void(const PeerChunksAnnounced &has, bool isAnswerWanted)> onChunksAnnounced;
    /** Called when a link to a peer has been established. */
    std::function<void(const InstanceId &peer)> onLinked;
    /** Called when the link to a peer has been closed. */
    std::function<void(const InstanceId &peer)> onLinkLost;
    /** Called with every other message of a peer, such as a request for a chunk. */
    std::function<void(const PeerLinkHandle &link, StreamMessage message)> onRequest;
};

/** Dials, maintains and closes the links to other agents. */
class ChunkLinks : public std::enable_shared_from_this<ChunkLinks>
{
public:
    /**
     * @param executor runs the task
     * @param identity identity that this agent presents to its peers
     * @param hooks called on events of the links
     * @param metrics receives the number of links and of announcements
     * @param log logger of the agent
     */
    ChunkLinks(const asio::any_io_executor &executor, PeerIdentity identity, ChunkLinksHooks hooks,
               std::shared_ptr<Metrics> metrics, Log log);

    /** @returns the mailbox for commands to this task */
    const MailboxPtr<ChunkLinksCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    struct Link
    {
        /** Empty while the peer is being dialed. */
        PeerLinkHandle handle;
        /**
         * Whether this side dialed the link. The dialing side uses positive stream numbers and the
         * other side negative ones, so that both can open streams without collisions.
         */
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
