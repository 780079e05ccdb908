#include "agent/chunklinks.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 4096;
constexpr auto dialLimit = std::chrono::seconds(2);
constexpr auto tickPeriod = std::chrono::seconds(1);
constexpr auto idleLimit = std::chrono::seconds(60);
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

void ChunkLinks::apply(const KeepPartners &command)
{
    m_known.clear();
    for (const WeightPeer &peer : command.known) {
        m_known.emplace(peer.instance, peer.address);
    }
    m_partners.clear();
    for (const WeightPeer &peer : command.partners) {
        m_partners.insert(peer.instance);
        linkTo(peer.instance);
    }
}

void ChunkLinks::apply(const OpenPeerStream &command)
{
    Link *link = linkTo(command.peer);
    if (link == nullptr) {
        command.reply->post(
                Failure {ErrorKind::NoBackendServer, "the address of the peer is unknown"});
        return;
    }
    link->usedAt = monotonicNow();
    if (link->handle) {
        answer(command, *link);
    } else {
        link->waiting.push_back(command);
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
        for (const OpenPeerStream &waiting : it->second.waiting) {
            waiting.reply->post(*failure);
        }
        m_links.erase(it);
        return;
    }
    it->second.handle = std::get<PeerLinkHandle>(command.link);
    it->second.isDialed = true;
    for (const OpenPeerStream &waiting : it->second.waiting) {
        answer(waiting, it->second);
    }
    it->second.waiting.clear();
    m_metrics->set("weight_links", "Links to other agents", static_cast<double>(m_links.size()));
    m_hooks.linked(command.peer);
}

void ChunkLinks::apply(const PeerLinkEnded &command)
{
    const auto it = m_links.find(command.peer);
    if (it != m_links.end() && it->second.handle) {
        m_links.erase(it);
        m_hooks.lost(command.peer);
    }
}

void ChunkLinks::apply(const HaveHeard &command)
{
    const HelloMessage &peer = command.link.peer();
    Link &link = m_links[peer.instance];
    const bool isNew = !link.handle;
    if (isNew) {
        link.handle = command.link;
        for (const OpenPeerStream &waiting : link.waiting) {
            answer(waiting, link);
        }
        link.waiting.clear();
        m_hooks.linked(peer.instance);
    }
    link.usedAt = monotonicNow();
    m_hooks.have({peer.instance, peer.zone, command.have.manifest, command.have.bits},
                 command.have.isAnswerWanted);
}

void ChunkLinks::apply(const Announce &command)
{
    for (const auto &[peer, link] : m_links) {
        const bool isNear = link.handle && link.handle.peer().zone == m_identity.zone;
        const bool isMeant = (command.peer.isEmpty() || command.peer == peer)
                && (command.reach == Reach::All || (command.reach == Reach::Near) == isNear);
        if (isMeant && link.handle && link.handle.post(linkStream, command.have)) {
            m_metrics->count("weight_have_sent_total",
                             "Announcements of stored chunks sent to peers");
        }
    }
}

void ChunkLinks::apply(const LinksTick &)
{
    const Instant now = monotonicNow();
    for (const InstanceId &partner : m_partners) {
        linkTo(partner);
    }
    std::erase_if(m_links, [&](const auto &entry) {
        const bool isIdle = now - entry.second.usedAt > idleLimit;
        if (!entry.second.handle || !isIdle || m_partners.contains(entry.first)) {
            return false;
        }
        entry.second.handle.close("the link is idle");
        m_hooks.lost(entry.first);
        return true;
    });
}

/** @returns the link to a peer, which is dialed if necessary; null if its address is unknown */
ChunkLinks::Link *ChunkLinks::linkTo(const InstanceId &peer)
{
    const auto known = m_known.find(peer);
    const auto it = m_links.find(peer);
    if (it != m_links.end()) {
        return &it->second;
    }
    if (known == m_known.end()) {
        return nullptr;
    }
    Link &link = m_links[peer];
    link.usedAt = monotonicNow();
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), peer, address = known->second] {
                return self->dial(peer, address);
            },
            asio::detached);
    return &link;
}

Awaitable<void> ChunkLinks::dial(InstanceId peer, Address address)
{
    LinkHooks hooks;
    hooks.receive = [mailbox = m_mailbox, asked = m_hooks.asked](const PeerLinkHandle &link,
                                                                 StreamMessage message) {
        if (const auto *have = std::get_if<HaveMessage>(&message.message)) {
            mailbox->post(HaveHeard {link, *have});
        } else {
            asked(link, std::move(message));
        }
    };
    hooks.ended = [mailbox = m_mailbox, peer](const PeerLinkHandle &, const LinkClosed &) {
        mailbox->post(PeerLinkEnded {peer});
    };
    Outcome<PeerLinkHandle> link =
            co_await dialPeer(m_executor, address, m_identity, hooks, dialLimit, m_log);
    ChunkLinksCommand dialed = PeerDialed {peer, std::move(link)};
    co_await m_mailbox->send(std::move(dialed));
}

void ChunkLinks::answer(const OpenPeerStream &wish, const Link &link)
{
    const StreamId n = link.handle.nextStream();
    wish.reply->post(PeerStream {link.handle, link.isDialed ? n : -n});
}

} // namespace greengageseam
