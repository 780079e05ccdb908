#include "agent/entrylinks.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 1024;
constexpr auto connectTimeout = std::chrono::seconds(2);
constexpr StreamId linkStream = 0;
/** Number of entries that an agent sends heartbeats to. */
constexpr std::size_t entriesPerAgent = 2;
/** Time without an acknowledgement after which the link to an entry is closed. */
constexpr auto entrySilenceTimeout = std::chrono::seconds(3);
constexpr auto unlinkedPollInterval = std::chrono::seconds(1);
constexpr auto linkedPollInterval = std::chrono::minutes(1);

} // namespace

EntryLinks::EntryLinks(const asio::any_io_executor &executor, AgentSettings settings,
                       MailboxPtr<ConfigCommand> config, EntryLinksHooks hooks,
                       ReadInstanceList readList, Log log)
    : m_executor(executor), m_settings(std::move(settings)), m_config(std::move(config)),
      m_hooks(std::move(hooks)), m_readList(std::move(readList)), m_log(std::move(log)),
      m_mailbox(makeMailbox<EntryLinksCommand>(executor, mailboxCapacity)),
      m_ranking(m_settings.instance, m_settings.seedEntries)
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
    startTicker(m_executor, m_settings.heartbeatInterval, [mailbox = m_mailbox] {
        mailbox->post(HeartbeatTick {});
        return true;
    });
    if (m_readList) {
        asio::co_spawn(
                m_executor, [self = shared_from_this()] { return self->pollInstanceList(); },
                asio::detached);
    }
}

/**
 * Reads the platform's instance list frequently while there are no links, and rarely after that.
 */
Awaitable<void> EntryLinks::pollInstanceList()
{
    Timer timer(m_executor);
    while (true) {
        Outcome<std::vector<ListedInstance>> list = co_await m_readList();
        ListedEntriesUpdated listed;
        if (failureOf(list) == nullptr) {
            for (const ListedInstance &instance : std::get<std::vector<ListedInstance>>(list)) {
                if (instance.role == "entry" && instance.zone == m_settings.zone
                    && !instance.address.isEmpty()) {
                    listed.entries.push_back(instance.address);
                }
            }
            m_mailbox->post(std::move(listed));
        }
        timer.expires_after(m_entries.empty() ? unlinkedPollInterval : linkedPollInterval);
        co_await timer.async_wait(asTuple);
    }
}

Awaitable<void> EntryLinks::run()
{
    while (std::optional<EntryLinksCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void EntryLinks::apply(const ActiveConfigChanged &command)
{
    if (!command.view.isReady()) {
        return;
    }
    m_heartbeat.appliedConfig = command.view.state->applied;
    m_heartbeat.tableDigest = command.view.state->rawTable.digest();
    sendHeartbeat();
}

void EntryLinks::apply(const ListedEntriesUpdated &command)
{
    m_ranking = std::move(m_ranking).withListed(command.entries);
}

void EntryLinks::apply(const EntryDialed &command)
{
    if (const Failure *failure = failureOf(command.link)) {
        m_log.debug("entry.unreachable", {{"reason", failure->detail}});
        m_entries.erase(command.address);
        m_ranking = std::move(m_ranking).withFailure(command.address, monotonicNow());
        return;
    }
    const auto &link = std::get<PeerLinkHandle>(command.link);
    m_log.info("entry.linked", {{"entry", link.peer().instance.text()}});
    m_ranking = std::move(m_ranking).withoutFailure(command.address);
    m_entries.insert_or_assign(command.address, Entry {link, monotonicNow(), false, {}});
    sendHeartbeat();
}

void EntryLinks::apply(const EntryLinkClosed &command)
{
    if (m_entries.erase(command.address) > 0) {
        m_log.warning("entry.lost", {{"entry", command.entry.text()}});
        m_ranking = std::move(m_ranking).withFailure(command.address, monotonicNow());
    }
}

void EntryLinks::apply(const EntryLinkMessageReceived &command)
{
    if (const auto *ack = std::get_if<HeartbeatAckMessage>(&command.message)) {
        applyHeartbeatAck(command, *ack);
        return;
    }
    if (const auto *push = std::get_if<ConfigPushMessage>(&command.message)) {
        applyConfigPush(*push);
    } else if (const auto *request = std::get_if<ConfigRequestMessage>(&command.message)) {
        sendSnapshot(*request, command.link);
    }
}

void EntryLinks::applyConfigPush(const ConfigPushMessage &push)
{
    if (!push.snapshot.empty()) {
        m_config->post(RestoreSnapshot {push.snapshot});
    }
    ApplyRecords records;
    records.logId = push.logId;
    Offset offset = push.firstOffset;
    for (const std::string &text : push.records) {
        records.records.push_back({offset, text});
        ++offset.value;
    }
    if (!records.records.empty()) {
        m_config->post(std::move(records));
    }
}

/** Sends a configuration snapshot to an entry that started while the log was unavailable. */
void EntryLinks::sendSnapshot(const ConfigRequestMessage &request, const PeerLinkHandle &link)
{
    m_config->post(SnapshotQuery {request.appliedOffset, [link](const std::string &snapshot) {
                                      ConfigPushMessage push;
                                      push.snapshot = snapshot;
                                      link.post(linkStream, std::move(push));
                                  }});
}

void EntryLinks::apply(const HeartbeatTick &)
{
    closeSilentLinks();
    std::vector<Address> chosen = m_ranking.sorted(monotonicNow());
    chosen.resize(std::min(chosen.size(), entriesPerAgent));
    for (const Address &address : chosen) {
        if (m_entries.try_emplace(address).second) {
            asio::co_spawn(
                    m_executor,
                    [self = shared_from_this(), address] { return self->dial(address); },
                    asio::detached);
        }
    }
    closeSurplusLinks(chosen);
    sendHeartbeat();
}

void EntryLinks::closeSilentLinks()
{
    const Instant now = monotonicNow();
    for (const auto &[address, entry] : m_entries) {
        if (entry.link && now - entry.lastAckAt > entrySilenceTimeout) {
            m_ranking = std::move(m_ranking).withFailure(address, now);
            entry.link.close("the entry sent no heartbeat acknowledgement in time");
        }
    }
}

/**
 * Closes links to entries that are no longer chosen, but only after every chosen entry is linked
 * and has reported that it is warm.
 */
void EntryLinks::closeSurplusLinks(const std::vector<Address> &chosen)
{
    const bool allLinked =
            std::all_of(chosen.begin(), chosen.end(), [this](const Address &address) {
                const auto it = m_entries.find(address);
                return it != m_entries.end() && it->second.link && it->second.isWarm;
            });
    if (!allLinked || chosen.size() < entriesPerAgent) {
        return;
    }
    std::erase_if(m_entries, [&](const auto &entry) {
        const auto &[address, state] = entry;
        const bool isSurplus = std::find(chosen.begin(), chosen.end(), address) == chosen.end();
        if (isSurplus && state.link) {
            state.link.close("the agent is linked to entries with a higher rendezvous score");
        }
        return isSurplus && state.link;
    });
}

void EntryLinks::applyHeartbeatAck(const EntryLinkMessageReceived &command,
                                   const HeartbeatAckMessage &ack)
{
    const auto it = m_entries.find(command.address);
    if (it == m_entries.end()) {
        return;
    }
    Entry &entry = it->second;
    entry.lastAckAt = monotonicNow();
    entry.isWarm = ack.isWarm;
    if (ack.isWarm) {
        entry.neighbours = std::move(entry.neighbours).withChanges(ack.neighbours);
    }
    notifyNeighboursChanged();
    if (ack.drain) {
        m_hooks.onDrain();
    }
    if (ack.supersededBy.value != 0) {
        m_hooks.onSuperseded(ack.supersededBy);
    }
}

/**
 * Publishes the neighbours as reported by the warm entry with the highest score. While no entry is
 * warm, the neighbours that were published last remain valid.
 */
void EntryLinks::notifyNeighboursChanged()
{
    for (const Address &address : m_ranking.sorted(monotonicNow())) {
        const auto it = m_entries.find(address);
        if (it == m_entries.end() || !it->second.isWarm) {
            continue;
        }
        const RemoteMembers &view = it->second.neighbours;
        const std::pair version(view.epoch(), view.revision());
        if (version == m_notifiedNeighbours) {
            return;
        }
        m_notifiedNeighbours = version;
        std::vector<Heartbeat> neighbours;
        for (const auto &[instance, neighbour] : view.members()) {
            neighbours.push_back(neighbour);
        }
        m_hooks.onNeighboursChanged(neighbours);
        return;
    }
}

void EntryLinks::apply(const GateStatus &command)
{
    const bool hasChanged = command.isDraining != m_heartbeat.isDraining;
    m_heartbeat.inFlight = command.running;
    m_heartbeat.isDraining = command.isDraining;
    if (hasChanged) {
        sendHeartbeat();
    }
}

void EntryLinks::apply(const WeightStatus &command)
{
    const std::vector<Digest> completeVersions(command.completeVersions.begin(),
                                               command.completeVersions.end());
    const bool hasChanged = completeVersions != m_heartbeat.stored;
    m_heartbeat.stored = completeVersions;
    m_heartbeat.originBytes = command.originBytes;
    m_heartbeat.problem = command.problem;
    if (hasChanged) {
        sendHeartbeat();
    }
}

void EntryLinks::apply(const EngineState &command)
{
    const bool hasChanged = command.serving != m_heartbeat.serving;
    m_heartbeat.serving = command.serving;
    m_heartbeat.slots = command.slots;
    m_heartbeat.queued = command.queued;
    if (hasChanged) {
        sendHeartbeat();
    }
}

void EntryLinks::apply(const IncarnationUpdated &command)
{
    m_heartbeat.incarnation = command.number;
    sendHeartbeat();
}

Awaitable<void> EntryLinks::dial(Address address)
{
    const PeerIdentity identity {"agent", m_settings.instance, m_settings.zone, m_settings.secret};
    LinkHooks hooks;
    hooks.onMessage = [mailbox = m_mailbox, address](const PeerLinkHandle &link,
                                                     StreamMessage message) {
        mailbox->post(EntryLinkMessageReceived {address, std::move(message.message), link});
    };
    hooks.onClosed = [mailbox = m_mailbox, address](const PeerLinkHandle &link,
                                                    const LinkClosed &) {
        mailbox->post(EntryLinkClosed {address, link.peer().instance});
    };
    Outcome<PeerLinkHandle> link =
            co_await dialPeer(m_executor, address, identity, hooks, connectTimeout, m_log);
    EntryLinksCommand dialed = EntryDialed {address, std::move(link)};
    co_await m_mailbox->send(std::move(dialed));
}

void EntryLinks::sendHeartbeat()
{
    ++m_heartbeat.sequence;
    m_heartbeat.clock = monotonicNow();
    for (const auto &[address, entry] : m_entries) {
        if (entry.link) {
            HeartbeatMessage message {m_heartbeat, entry.neighbours.epoch(),
                                      entry.neighbours.revision()};
            entry.link.post(linkStream, std::move(message));
        }
    }
}

} // namespace greengageseam
