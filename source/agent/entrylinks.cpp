#include "agent/entrylinks.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 1024;
constexpr auto dialLimit = std::chrono::seconds(2);
constexpr StreamId linkStream = 0;
constexpr auto listEveryOften = std::chrono::seconds(1);
constexpr auto listEverySeldom = std::chrono::minutes(1);

} // namespace

EntryLinks::EntryLinks(const asio::any_io_executor &executor, AgentSettings settings,
                       MailboxPtr<ConfigCommand> config, EntryLinksHooks hooks,
                       ReadInstanceList readList, Log log)
    : m_executor(executor), m_settings(std::move(settings)), m_config(std::move(config)),
      m_hooks(std::move(hooks)), m_readList(std::move(readList)), m_log(std::move(log)),
      m_mailbox(makeMailbox<EntryLinksCommand>(executor, mailboxCapacity))
{
    m_heartbeat.instance = m_settings.instance;
    m_heartbeat.zone = m_settings.zone;
    m_heartbeat.peerAddress = m_settings.peerAddress;
    m_heartbeat.kind = m_settings.backendKind;
    m_heartbeat.service = m_settings.service;
    m_heartbeat.startedAt = m_settings.startedAt;
}

void EntryLinks::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, m_settings.heartbeatEvery, [mailbox = m_mailbox] {
        mailbox->post(HeartbeatTick {});
        return true;
    });
    if (m_readList) {
        asio::co_spawn(
                m_executor, [self = shared_from_this()] { return self->followList(); },
                asio::detached);
    }
}

/** The list is asked often while no entry is linked, and seldom after that. */
Awaitable<void> EntryLinks::followList()
{
    asio::steady_timer timer(m_executor);
    while (true) {
        Outcome<std::vector<ListedInstance>> list = co_await m_readList();
        EntriesListed listed;
        if (failureOf(list) == nullptr) {
            for (const ListedInstance &instance : std::get<std::vector<ListedInstance>>(list)) {
                if (instance.role == "entry" && instance.zone == m_settings.zone
                    && !instance.address.isEmpty()) {
                    listed.entries.push_back(instance.address);
                }
            }
            m_mailbox->post(std::move(listed));
        }
        timer.expires_after(m_isLinked ? listEverySeldom : listEveryOften);
        co_await timer.async_wait(asTuple);
    }
}

Awaitable<void> EntryLinks::run()
{
    while (std::optional<EntryLinksCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void EntryLinks::apply(const ConfigInForce &command)
{
    if (!command.view.isReady()) {
        return;
    }
    m_heartbeat.appliedConfig = command.view.state->applied;
    m_heartbeat.tableDigest = command.view.state->sheet.digest();
    beat();
}

void EntryLinks::apply(const EntriesListed &command)
{
    m_listed = command.entries;
}

void EntryLinks::apply(const EntryDialed &command)
{
    if (const Failure *failure = failureOf(command.link)) {
        m_log.debug("entry.unreachable", {{"reason", failure->detail}});
        m_links.erase(command.address);
        return;
    }
    const auto &link = std::get<PeerLinkHandle>(command.link);
    m_log.info("entry.linked", {{"entry", link.peer().instance.text()}});
    m_links.insert_or_assign(command.address, link);
    beat();
}

void EntryLinks::apply(const EntryLost &command)
{
    m_log.warning("entry.lost", {{"entry", command.entry.text()}});
    std::erase_if(m_links, [&](const auto &entry) {
        return entry.second && entry.second.peer().instance == command.entry;
    });
}

void EntryLinks::apply(const EntrySaid &command)
{
    if (const auto *ack = std::get_if<HeartbeatAckMessage>(&command.message)) {
        m_hooks.neighbours(ack->neighbours);
        if (ack->drain) {
            m_hooks.drain();
        }
        return;
    }
    const auto *push = std::get_if<ConfigPushMessage>(&command.message);
    if (push == nullptr) {
        return;
    }
    if (!push->snapshot.empty()) {
        m_config->post(RestoreSnapshot {push->snapshot});
    }
    FoldRecords records;
    Offset offset = push->firstOffset;
    for (const std::string &text : push->records) {
        records.records.push_back({offset, text});
        ++offset.value;
    }
    m_config->post(std::move(records));
}

void EntryLinks::apply(const HeartbeatTick &)
{
    m_isLinked = std::any_of(m_links.begin(), m_links.end(),
                             [](const auto &entry) { return bool(entry.second); });
    std::set<Address> wanted(m_settings.entries.begin(), m_settings.entries.end());
    wanted.insert(m_listed.begin(), m_listed.end());
    for (const Address &address : wanted) {
        if (m_links.try_emplace(address).second) {
            asio::co_spawn(
                    m_executor,
                    [self = shared_from_this(), address] { return self->dial(address); },
                    asio::detached);
        }
    }
    beat();
}

void EntryLinks::apply(const GateStatus &command)
{
    const bool isNews = command.isDraining != m_heartbeat.isDraining;
    m_heartbeat.inFlight = command.running;
    m_heartbeat.isDraining = command.isDraining;
    if (isNews) {
        beat();
    }
}

void EntryLinks::apply(const WeightStatus &command)
{
    const std::vector<Digest> holding(command.holding.begin(), command.holding.end());
    const bool isNews = holding != m_heartbeat.holding;
    m_heartbeat.holding = holding;
    m_heartbeat.originBytes = command.originBytes;
    m_heartbeat.trouble = command.trouble;
    if (isNews) {
        beat();
    }
}

void EntryLinks::apply(const EngineState &command)
{
    const bool isNews = command.serving != m_heartbeat.serving;
    m_heartbeat.serving = command.serving;
    m_heartbeat.slots = command.slots;
    m_heartbeat.queued = command.queued;
    if (isNews) {
        beat();
    }
}

void EntryLinks::apply(const IncarnationKnown &command)
{
    m_heartbeat.incarnation = command.number;
    beat();
}

Awaitable<void> EntryLinks::dial(Address address)
{
    const PeerIdentity identity {"agent", m_settings.instance, m_settings.zone, m_settings.secret};
    LinkHooks hooks;
    hooks.receive = [mailbox = m_mailbox](const PeerLinkHandle &, StreamMessage message) {
        mailbox->post(EntrySaid {std::move(message.message)});
    };
    hooks.ended = [mailbox = m_mailbox](const PeerLinkHandle &link, const LinkClosed &) {
        mailbox->post(EntryLost {link.peer().instance});
    };
    Outcome<PeerLinkHandle> link =
            co_await dialPeer(m_executor, address, identity, hooks, dialLimit, m_log);
    EntryLinksCommand dialed = EntryDialed {address, std::move(link)};
    co_await m_mailbox->send(std::move(dialed));
}

void EntryLinks::beat()
{
    ++m_heartbeat.sequence;
    m_heartbeat.clock = monotonicNow();
    for (const auto &[address, link] : m_links) {
        if (link) {
            link.post(linkStream, HeartbeatMessage {m_heartbeat});
        }
    }
}

} // namespace greengageseam
