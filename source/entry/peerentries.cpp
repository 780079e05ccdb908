/**
 * Choice of the entries to connect to, keep-alives, and delivery of messages over the links.
 */
#include "entry/peerentries.h"

#include "core/common/hashing.h"
#include "net/clock.h"
#include "net/ticker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 8192;
constexpr auto connectTimeout = std::chrono::seconds(2);
constexpr StreamId linkStream = 0;
const std::string entryRole = "entry";

} // namespace

PeerEntriesOptions PeerEntriesOptions::withLinksPerZone(std::size_t value) const
{
    PeerEntriesOptions options = *this;
    options.linksPerZone = value;
    return options;
}

PeerEntries::PeerEntries(const asio::any_io_executor &executor, EntrySettings settings,
                         PeerEntriesOptions options, PeerEntriesHooks hooks, Log log)
    : m_executor(executor), m_settings(std::move(settings)), m_options(options),
      m_hooks(std::move(hooks)), m_log(std::move(log)),
      m_mailbox(makeMailbox<PeerEntriesCommand>(executor, mailboxCapacity))
{ }

void PeerEntries::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, m_options.tickInterval, [mailbox = m_mailbox] {
        mailbox->post(PeerEntriesTick {});
        return true;
    });
}

Awaitable<void> PeerEntries::run()
{
    while (std::optional<PeerEntriesCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void PeerEntries::apply(const PeerEntryLinked &command)
{
    const HelloMessage &peer = command.link.peer();
    if (peer.role != entryRole || peer.instance == m_settings.instance) {
        return;
    }
    m_log.info("peer.linked", {{"entry", peer.instance.text()}});
    m_peers[peer.instance].insert_or_assign(peer.nonce, Peer {command.link, monotonicNow(), {}});
    notifyLinkedEntries();
}

void PeerEntries::apply(const PeerEntryLost &command)
{
    const HelloMessage &peer = command.link.peer();
    const auto it = m_peers.find(peer.instance);
    if (it == m_peers.end() || it->second.erase(peer.nonce) == 0) {
        return;
    }
    m_log.warning("peer.lost", {{"entry", peer.instance.text()}});
    if (it->second.empty()) {
        m_peers.erase(it);
    }
    notifyLinkedEntries();
}

void PeerEntries::apply(const PeerEntryDialed &command)
{
    m_dialing.erase(command.address);
    if (const Failure *failure = failureOf(command.link)) {
        m_log.debug("peer.unreachable",
                    {{"address", command.address.text()}, {"reason", failure->detail}});
        m_instanceByAddress.erase(command.address);
        return;
    }
    const auto &link = std::get<PeerLinkHandle>(command.link);
    m_instanceByAddress.insert_or_assign(command.address, link.peer().instance);
    if (link.peer().instance == m_settings.instance) {
        link.close("the address is that of this entry itself");
    }
}

void PeerEntries::apply(const PeerEntryMessageReceived &command)
{
    const HelloMessage &hello = command.link.peer();
    const auto it = m_peers.find(hello.instance);
    if (it != m_peers.end()) {
        const auto peer = it->second.find(hello.nonce);
        if (peer != it->second.end()) {
            peer->second.lastReceivedAt = monotonicNow();
        }
    }
    if (!std::holds_alternative<EntryKeepAliveMessage>(command.message)) {
        m_hooks.onMessage(hello, command.message);
    }
}

void PeerEntries::apply(const SendToEntry &command)
{
    const auto it = m_peers.find(command.instance);
    if (it != m_peers.end()) {
        post(it->second.begin()->second, command.message);
    }
}

void PeerEntries::apply(const SendToZone &command)
{
    for (auto &[instance, links] : m_peers) {
        Peer &peer = links.begin()->second;
        if (peer.link.peer().zone == m_settings.zone) {
            post(peer, command.message);
        }
    }
}

void PeerEntries::apply(const SendToOtherZones &command)
{
    std::set<ZoneName> reached {m_settings.zone};
    for (auto &[instance, links] : m_peers) {
        Peer &peer = links.begin()->second;
        const ZoneName &zone = peer.link.peer().zone;
        if (!reached.contains(zone) && post(peer, command.message)) {
            reached.insert(zone);
        }
    }
}

void PeerEntries::apply(const PeerListReceived &command)
{
    m_listedEntries.clear();
    std::copy_if(command.list.begin(), command.list.end(), std::back_inserter(m_listedEntries),
                 [this](const ListedInstance &listed) {
                     return listed.role == entryRole && !listed.address.isEmpty()
                             && listed.instance != m_settings.instance;
                 });
    dialMissing();
}

void PeerEntries::apply(const PeerEntriesTick &)
{
    const Instant now = monotonicNow();
    for (auto &[instance, links] : m_peers) {
        for (auto &[nonce, peer] : links) {
            if (now - peer.lastReceivedAt > m_options.silenceTimeout) {
                peer.link.close("no message received from the entry within the time limit");
            } else if (now - peer.lastSentAt > m_options.tickInterval) {
                post(peer, EntryKeepAliveMessage {});
            }
        }
    }
    dialMissing();
}

bool PeerEntries::post(Peer &peer, const Message &message)
{
    peer.lastSentAt = monotonicNow();
    return peer.link.post(linkStream, message);
}

LinkHooks PeerEntries::linkHooks() const
{
    LinkHooks hooks;
    hooks.onStarted = [mailbox = m_mailbox](const PeerLinkHandle &link) {
        mailbox->post(PeerEntryLinked {link});
    };
    hooks.onMessage = [mailbox = m_mailbox, onStream = m_hooks.onStream](const PeerLinkHandle &link,
                                                                         StreamMessage message) {
        if (message.stream == linkStream) {
            mailbox->post(PeerEntryMessageReceived {link, std::move(message.message)});
        } else if (onStream) {
            onStream(link, std::move(message));
        }
    };
    hooks.onClosed = [mailbox = m_mailbox](const PeerLinkHandle &link, const LinkClosed &) {
        mailbox->post(PeerEntryLost {link});
    };
    return hooks;
}

void PeerEntries::dialMissing()
{
    for (const Address &address : addressesToDial()) {
        if (!isLinked(address) && m_dialing.insert(address).second) {
            asio::co_spawn(
                    m_executor,
                    [self = shared_from_this(), address] { return self->dial(address); },
                    asio::detached);
        }
    }
}

/**
 * Within the zone, the entry with the smaller instance name connects to the other. To each other
 * zone, an entry connects to the entries with the highest rendezvous scores.
 */
std::set<Address> PeerEntries::addressesToDial() const
{
    std::set<Address> addresses(m_settings.seedEntries.begin(), m_settings.seedEntries.end());
    std::map<ZoneName, std::vector<const ListedInstance *>> others;
    for (const ListedInstance &listed : m_listedEntries) {
        if (listed.zone != m_settings.zone) {
            others[listed.zone].push_back(&listed);
        } else if (m_settings.instance < listed.instance && !m_peers.contains(listed.instance)) {
            addresses.insert(listed.address);
        }
    }
    const auto score = [this](const ListedInstance *listed) {
        return rendezvousScore(m_settings.instance.text(), listed->instance.text());
    };
    for (auto &[zone, entries] : others) {
        std::sort(entries.begin(), entries.end(),
                  [&](const auto *left, const auto *right) { return score(left) > score(right); });
        entries.resize(std::min(entries.size(), m_options.linksPerZone));
        for (const ListedInstance *listed : entries) {
            if (!m_peers.contains(listed->instance)) {
                addresses.insert(listed->address);
            }
        }
    }
    addresses.erase(m_settings.peerAddress);
    return addresses;
}

bool PeerEntries::isLinked(const Address &address) const
{
    const auto it = m_instanceByAddress.find(address);
    return it != m_instanceByAddress.end()
            && (it->second == m_settings.instance || m_peers.contains(it->second));
}

Awaitable<void> PeerEntries::dial(Address address)
{
    const PeerIdentity identity {entryRole, m_settings.instance, m_settings.zone,
                                 m_settings.secret};
    LinkHooks hooks = linkHooks();
    Outcome<PeerLinkHandle> link = co_await dialPeer(m_executor, address, identity,
                                                     std::move(hooks), connectTimeout, m_log);
    PeerEntriesCommand dialed = PeerEntryDialed {address, std::move(link)};
    co_await m_mailbox->send(std::move(dialed));
}

void PeerEntries::notifyLinkedEntries()
{
    std::vector<LinkedEntry> entries;
    for (const auto &[instance, links] : m_peers) {
        entries.push_back(
                {instance, links.begin()->second.link.peer().zone, links.begin()->second.link});
    }
    m_hooks.onLinkedEntriesChanged(entries);
}

} // namespace greengageseam
