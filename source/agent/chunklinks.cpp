#include "agent/chunklinks.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 4096;
constexpr auto connectTimeout = std::chrono::seconds(2);
constexpr auto tickPeriod = std::chrono::seconds(1);
constexpr auto idleTimeout = std::chrono::seconds(60);
constexpr StreamId linkStream = 0;

} // namespace

ChunkLinks::ChunkLinks(const asio::any_io_executor &executor, PeerIdentity identity,
                       ChunkLinksHooks hooks, std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_identity(std::move(identity)), m_hooks(std::move(hooks)),
      m_metrics(std::move(metrics)), m_log(std::move(log)),
      m_mailbox(makeMailbox<ChunkLinksCommand>(executor, mailboxCapacity))
{ }

void ChunkLinks::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, tickPeriod, [mailbox = m_mailbox] {
        mailbox->post(LinksTick {});
        return true;
    });
}

Awaitable<void> ChunkLinks::run()
{
    while (std::optional<ChunkLinksCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void ChunkLinks::apply(const UpdatePeers &command)
{
    m_peerAddresses.clear();
    for (const WeightPeer &peer : command.knownPeers) {
        m_peerAddresses.emplace(peer.instance, peer.address);
    }
    m_peersToLink.clear();
    for (const WeightPeer &peer : command.peersToLink) {
        m_peersToLink.insert(peer.instance);
        findOrDial(peer.instance);
    }
}

void ChunkLinks::apply(const OpenPeerStream &command)
{
    Link *link = findOrDial(command.peer);
    if (link == nullptr) {
        command.reply->post(
                Failure {ErrorKind::NoBackendServer, "the address of the peer is unknown"});
        return;
    }
    link->usedAt = monotonicNow();
    if (link->handle) {
        replyWithStream(command, *link);
    } else {
        link->pendingStreams.push_back(command);
    }
}

void ChunkLinks::apply(const PeerDialed &command)
{
    const auto it = m_links.find(command.peer);
    if (it == m_links.end()) {
        return;
    }
    if (const Failure *failure = failureOf(command.link)) {
        m_log.debug("peer.unreachable",
                    {{"peer", command.peer.text()}, {"reason", failure->detail}});
        if (it->second.handle) {
            return;
        }
        for (const OpenPeerStream &pending : it->second.pendingStreams) {
            pending.reply->post(*failure);
        }
        m_links.erase(it);
        return;
    }
    it->second.handle = std::get<PeerLinkHandle>(command.link);
    it->second.isDialed = true;
    for (const OpenPeerStream &pending : it->second.pendingStreams) {
        replyWithStream(pending, it->second);
    }
    it->second.pendingStreams.clear();
    m_metrics->set("weight_links", "Links to other agents", static_cast<double>(m_links.size()));
    m_hooks.onLinked(command.peer);
}

void ChunkLinks::apply(const PeerLinkClosed &command)
{
    const auto it = m_links.find(command.peer);
    if (it != m_links.end() && it->second.handle) {
        m_links.erase(it);
        m_hooks.onLinkLost(command.peer);
    }
}

void ChunkLinks::apply(const HaveMessageReceived &command)
{
    const HelloMessage &peer = command.link.peer();
    Link &link = m_links[peer.instance];
    const bool isNew = !link.handle;
    if (isNew) {
        link.handle = command.link;
        for (const OpenPeerStream &pending : link.pendingStreams) {
            replyWithStream(pending, link);
        }
        link.pendingStreams.clear();
        m_hooks.onLinked(peer.instance);
    }
    link.usedAt = monotonicNow();
    m_hooks.onChunksAnnounced({peer.instance, peer.zone, command.have.manifest, command.have.bits},
                              command.have.isReplyRequested);
}

void ChunkLinks::apply(const AnnounceChunks &command)
{
    for (const auto &[peer, link] : m_links) {
        const bool isSameZone = link.handle && link.handle.peer().zone == m_identity.zone;
        const bool isSelected = (command.peer.isEmpty() || command.peer == peer)
                && (command.scope == PeerScope::All
                    || (command.scope == PeerScope::SameZone) == isSameZone);
        if (isSelected && link.handle && link.handle.post(linkStream, command.have)) {
            m_metrics->count("weight_have_sent_total",
                             "Announcements of stored chunks sent to peers");
        }
    }
}

void ChunkLinks::apply(const LinksTick &)
{
    const Instant now = monotonicNow();
    for (const InstanceId &peer : m_peersToLink) {
        findOrDial(peer);
    }
    std::erase_if(m_links, [&](const auto &entry) {
        const bool isIdle = now - entry.second.usedAt > idleTimeout;
        if (!entry.second.handle || !isIdle || m_peersToLink.contains(entry.first)) {
            return false;
        }
        entry.second.handle.close("the link is idle");
        m_hooks.onLinkLost(entry.first);
        return true;
    });
}

/** @returns the link to a peer, which is dialed if necessary; null if its address is unknown */
ChunkLinks::Link *ChunkLinks::findOrDial(const InstanceId &peer)
{
    const auto knownPeer = m_peerAddresses.find(peer);
    const auto it = m_links.find(peer);
    if (it != m_links.end()) {
        return &it->second;
    }
    if (knownPeer == m_peerAddresses.end()) {
        return nullptr;
    }
    Link &link = m_links[peer];
    link.usedAt = monotonicNow();
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), peer, address = knownPeer->second] {
                return self->dial(peer, address);
            },
            asio::detached);
    return &link;
}

Awaitable<void> ChunkLinks::dial(InstanceId peer, Address address)
{
    LinkHooks hooks;
    hooks.onMessage = [mailbox = m_mailbox, onRequest = m_hooks.onRequest](
                              const PeerLinkHandle &link, StreamMessage message) {
        if (const auto *have = std::get_if<HaveMessage>(&message.message)) {
            mailbox->post(HaveMessageReceived {link, *have});
        } else {
            onRequest(link, std::move(message));
        }
    };
    hooks.onClosed = [mailbox = m_mailbox, peer](const PeerLinkHandle &, const LinkClosed &) {
        mailbox->post(PeerLinkClosed {peer});
    };
    Outcome<PeerLinkHandle> link =
            co_await dialPeer(m_executor, address, m_identity, hooks, connectTimeout, m_log);
    ChunkLinksCommand dialed = PeerDialed {peer, std::move(link)};
    co_await m_mailbox->send(std::move(dialed));
}

void ChunkLinks::replyWithStream(const OpenPeerStream &request, const Link &link)
{
    const StreamId n = link.handle.nextStream();
    request.reply->post(PeerStream {link.handle, link.isDialed ? n : -n});
}

} // namespace greengageseam
