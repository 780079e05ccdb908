#include "agent/entrylinks.h"

#include "core/common/hashing.h"
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
/** Number of entries that an agent sends heartbeats to. */
constexpr std::size_t entriesPerAgent = 2;
/** Time without an acknowledgement after which the link to an entry is closed. */
constexpr auto entrySilentAfter = std::chrono::seconds(3);
/** Time for which an entry that failed is ranked behind all others. */
constexpr auto avoidedAfterFailure = std::chrono::seconds(5);
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

/**
 * Reads the platform's instance list frequently while there are no links, and rarely after that.
 */
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
        timer.expires_after(m_entries.empty() ? listEveryOften : listEverySeldom);
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
        m_entries.erase(command.address);
        m_failedAt.insert_or_assign(command.address, monotonicNow());
        return;
    }
    const auto &link = std::get<PeerLinkHandle>(command.link);
    m_log.info("entry.linked", {{"entry", link.peer().instance.text()}});
    m_failedAt.erase(command.address);
    m_entries.insert_or_assign(command.address, Entry {link, monotonicNow(), false, {}});
    beat();
}

void EntryLinks::apply(const EntryLost &command)
{
    if (m_entries.erase(command.address) > 0) {
        m_log.warning("entry.lost", {{"entry", command.entry.text()}});
        m_failedAt.insert_or_assign(command.address, monotonicNow());
    }
}

void EntryLinks::apply(const EntrySaid &command)
{
    if (const auto *ack = std::get_if<HeartbeatAckMessage>(&command.message)) {
        hearAck(command, *ack);
        return;
    }
    if (const auto *push = std::get_if<ConfigPushMessage>(&command.message)) {
        passOn(*push);
    } else if (const auto *wanted = std::get_if<ConfigWantedMessage>(&command.message)) {
        answer(*wanted, command.link);
    }
}

void EntryLinks::passOn(const ConfigPushMessage &push)
{
    if (!push.snapshot.empty()) {
        m_config->post(RestoreSnapshot {push.snapshot});
    }
    FoldRecords records;
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
void EntryLinks::answer(const ConfigWantedMessage &wanted, const PeerLinkHandle &link)
{
    m_config->post(SnapshotAsked {wanted.applied, [link](const std::string &snapshot) {
                                      ConfigPushMessage push;
                                      push.snapshot = snapshot;
                                      link.post(linkStream, std::move(push));
                                  }});
}

void EntryLinks::apply(const HeartbeatTick &)
{
    dropSilent();
    std::vector<Address> chosen = entriesByScore();
    chosen.resize(std::min(chosen.size(), entriesPerAgent));
    for (const Address &address : chosen) {
        if (m_entries.try_emplace(address).second) {
            asio::co_spawn(
                    m_executor,
                    [self = shared_from_this(), address] { return self->dial(address); },
                    asio::detached);
        }
    }
    dropSurplus(chosen);
    beat();
}

/**
 * Sorts all entries by their rendezvous score, highest first. Entries that failed recently are
 * placed last rather than removed, so that they are redialed at once if there are no others.
 */
std::vector<Address> EntryLinks::entriesByScore() const
{
    const Instant now = monotonicNow();
    std::set<Address> known(m_settings.entries.begin(), m_settings.entries.end());
    known.insert(m_listed.begin(), m_listed.end());
    const auto hasFailed = [&](const Address &address) {
        const auto failed = m_failedAt.find(address);
        return failed != m_failedAt.end() && now - failed->second < avoidedAfterFailure;
    };
    const auto rank = [&](const Address &address) {
        return std::pair(!hasFailed(address),
                         rendezvousScore(m_settings.instance.text(), address.text()));
    };
    std::vector<Address> sorted(known.begin(), known.end());
    std::sort(sorted.begin(), sorted.end(),
              [&](const Address &left, const Address &right) { return rank(left) > rank(right); });
    return sorted;
}

void EntryLinks::dropSilent()
{
    const Instant now = monotonicNow();
    for (const auto &[address, entry] : m_entries) {
        if (entry.link && now - entry.heardAt > entrySilentAfter) {
            m_failedAt.insert_or_assign(address, now);
            entry.link.close("the entry sent no heartbeat acknowledgement in time");
        }
    }
}

/**
 * Closes links to entries that are no longer chosen, but only after every chosen entry is linked
 * and has reported that it is warm.
 */
void EntryLinks::dropSurplus(const std::vector<Address> &chosen)
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

void EntryLinks::hearAck(const EntrySaid &command, const HeartbeatAckMessage &ack)
{
    const auto it = m_entries.find(command.address);
    if (it == m_entries.end()) {
        return;
    }
    Entry &entry = it->second;
    entry.heardAt = monotonicNow();
    entry.isWarm = ack.isWarm;
    if (ack.isWarm) {
        entry.neighbours = std::move(entry.neighbours).applied(ack.neighbours);
    }
    tellNeighbours();
    if (ack.drain) {
        m_hooks.drain();
    }
    if (ack.supersededBy.value != 0) {
        m_hooks.superseded(ack.supersededBy);
    }
}

/**
 * Publishes the neighbours as reported by the warm entry with the highest score. While no entry is
 * warm, the neighbours that were published last remain valid.
 */
void EntryLinks::tellNeighbours()
{
    for (const Address &address : entriesByScore()) {
        const auto it = m_entries.find(address);
        if (it == m_entries.end() || !it->second.isWarm) {
            continue;
        }
        const ChangeView &view = it->second.neighbours;
        const std::pair told(view.epoch(), view.revision());
        if (told == m_toldNeighbours) {
            return;
        }
        m_toldNeighbours = told;
        std::vector<Heartbeat> neighbours;
        for (const auto &[instance, neighbour] : view.members()) {
            neighbours.push_back(neighbour);
        }
        m_hooks.neighbours(neighbours);
        return;
    }
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
    hooks.receive = [mailbox = m_mailbox, address](const PeerLinkHandle &link,
                                                   StreamMessage message) {
        mailbox->post(EntrySaid {address, std::move(message.message), link});
    };
    hooks.ended = [mailbox = m_mailbox, address](const PeerLinkHandle &link, const LinkClosed &) {
        mailbox->post(EntryLost {address, link.peer().instance});
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
    for (const auto &[address, entry] : m_entries) {
        if (entry.link) {
            HeartbeatMessage message {m_heartbeat, entry.neighbours.epoch(),
                                      entry.neighbours.revision()};
            entry.link.post(linkStream, std::move(message));
        }
    }
}

} // namespace greengageseam
