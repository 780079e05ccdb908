/**
 * Processing of heartbeats, digests and zone summaries; configuration pushes and links to agents.
 */
#include "entry/fleetkeeper.h"

#include "net/clock.h"
#include "net/ticker.h"
#include "protocol/configcodec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 8192;
constexpr auto tickPeriod = std::chrono::milliseconds(250);
constexpr auto dialLimit = std::chrono::seconds(2);
constexpr StreamId linkStream = 0;
constexpr auto digestEvery = std::chrono::seconds(1);
/** Interval of zone summaries while the replica counts do not change. */
constexpr auto summaryEvery = std::chrono::seconds(5);
/** Time after the start within which an entry learns of all members of the zone. */
constexpr auto warmUpTime = std::chrono::milliseconds(2500);
/** Time without a heartbeat after which an agent's model versions are placed on other agents. */
constexpr auto replaceAfter = std::chrono::seconds(8);
/** Time without a new summary after which a zone's summary is discarded. */
constexpr auto zoneForgetAfter = std::chrono::seconds(12);

} // namespace

FleetKeeper::FleetKeeper(const asio::any_io_executor &executor, EntrySettings settings,
                         RosterOptions options, FleetObserver observer, TellEntries tellEntries,
                         Log log)
    : m_executor(executor), m_settings(std::move(settings)), m_observer(std::move(observer)),
      m_tellEntries(std::move(tellEntries)), m_log(std::move(log)),
      m_mailbox(makeMailbox<FleetCommand>(executor, mailboxCapacity)), m_roster(options),
      m_neighbours(randomNumber()), m_heard(randomNumber()), m_startedAt(monotonicNow())
{ }

void FleetKeeper::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, tickPeriod, [mailbox = m_mailbox] {
        mailbox->post(FleetTick {});
        return true;
    });
}

Awaitable<void> FleetKeeper::run()
{
    while (std::optional<FleetCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void FleetKeeper::apply(const HeartbeatHeard &command)
{
    const Heartbeat &heartbeat = command.message.heartbeat;
    m_heartbeatLinks.insert_or_assign(heartbeat.instance, command.link);
    const auto known = m_roster.members().find(heartbeat.instance);
    const bool startsToDrain = heartbeat.isDraining
            && (known == m_roster.members().end() || !known->second.last.isDraining);
    hear(heartbeat, HeardFrom::Agent);
    m_heard = std::move(m_heard).noted(reportedPart(heartbeat));
    m_pulses.insert(heartbeat.instance);
    acknowledge(command);
    bringUpToDate(heartbeat.instance, heartbeat.appliedConfig);
    if (startsToDrain) {
        sendDigest();
        publish();
    }
}

void FleetKeeper::apply(const HeartbeatLinkLost &command)
{
    m_heartbeatLinks.erase(command.instance);
}

void FleetKeeper::apply(const EntryHeard &command)
{
    if (const auto *digest = std::get_if<ZoneDigestMessage>(&command.message)) {
        hearDigest(command.peer, digest->digest);
    } else if (const auto *summary = std::get_if<ZoneSummaryMessage>(&command.message)) {
        hearSummary(command.peer, summary->summary);
    } else if (std::holds_alternative<DigestWantedMessage>(command.message)) {
        std::vector<Heartbeat> heard;
        for (const InstanceId &instance : m_heard.instances()) {
            heard.push_back(m_roster.members().at(instance).last);
        }
        ZoneDigest whole = makeZoneDigest(m_heard.since(0, 0), heard, m_roster.drainOrders());
        m_tellEntries(SendToEntry {command.peer.instance, ZoneDigestMessage {std::move(whole)}});
    }
}

void FleetKeeper::apply(const EntriesLinked &command)
{
    m_entries = command.entries;
}

void FleetKeeper::apply(const AgentDialed &command)
{
    if (const Failure *failure = failureOf(command.link)) {
        m_log.debug("agent.unreachable",
                    {{"agent", command.instance.text()}, {"reason", failure->detail}});
        m_requestLinks.erase(command.instance);
        return;
    }
    m_log.info("agent.linked", {{"agent", command.instance.text()}});
    m_requestLinks.insert_or_assign(command.instance, std::get<PeerLinkHandle>(command.link));
    publish();
}

void FleetKeeper::apply(const AgentLinkLost &command)
{
    m_log.warning("agent.lost", {{"agent", command.instance.text()}});
    m_requestLinks.erase(command.instance);
    publish();
}

void FleetKeeper::apply(const ListRead &command)
{
    std::set<InstanceId> leaving;
    for (const ListedInstance &listed : command.list) {
        if (listed.isLeaving) {
            leaving.insert(listed.instance);
        }
    }
    m_roster = std::move(m_roster).listed(leaving, wallNow());
    publish();
}

void FleetKeeper::apply(const DrainAgent &command)
{
    const auto it = m_roster.members().find(command.instance);
    const bool isKnown = it != m_roster.members().end();
    if (isKnown) {
        const DrainOrder order {command.instance, it->second.last.startedAt};
        m_roster = std::move(m_roster).ordered(order);
        sendDigest();
        publish();
    }
    command.reply->post(isKnown);
}

void FleetKeeper::apply(const ConfigView &command)
{
    m_config = command;
    if (!m_config.isReady()) {
        return;
    }
    for (const auto &[instance, member] : m_roster.members()) {
        bringUpToDate(instance, member.last.appliedConfig);
    }
}

void FleetKeeper::apply(const FleetTick &)
{
    const Instant now = monotonicNow();
    m_roster = std::move(m_roster).at(now);
    forgetSilent();
    noteAll();
    dialMissing();
    publish();
    if (now - m_digestAt >= digestEvery) {
        sendDigest();
        sendSummaries();
    }
}

void FleetKeeper::hear(const Heartbeat &heartbeat, HeardFrom from)
{
    const bool isNew = !m_roster.members().contains(heartbeat.instance);
    m_roster = std::move(m_roster).heard(heartbeat, monotonicNow(), from);
    noteNeighbour(m_roster.members().at(heartbeat.instance));
    if (isNew) {
        dialMissing();
    }
}

void FleetKeeper::hearDigest(const HelloMessage &peer, const ZoneDigest &digest)
{
    if (peer.zone != m_settings.zone) {
        return;
    }
    ChangeView &view = m_told[peer.instance];
    if (!view.canApply(digest.changes)) {
        m_tellEntries(SendToEntry {peer.instance, DigestWantedMessage {}});
        return;
    }
    view = std::move(view).applied(digest.changes);
    for (const Heartbeat &heartbeat : heartbeatsOf(digest, view)) {
        hear(heartbeat, HeardFrom::OtherEntry);
    }
    for (const DrainOrder &order : digest.drains) {
        m_roster = std::move(m_roster).ordered(order);
    }
    for (const LeavingMark &mark : digest.leaving) {
        m_roster = std::move(m_roster).marked(mark);
    }
}

void FleetKeeper::hearSummary(const HelloMessage &peer, const ZoneSummary &summary)
{
    if (summary.zone == m_settings.zone) {
        return;
    }
    if (peer.zone != m_settings.zone) {
        m_tellEntries(SendToZone {ZoneSummaryMessage {summary}});
    }
    std::set<Digest> manifests;
    if (m_config.isReady()) {
        for (const auto &[key, row] : m_config.state->table.rows) {
            manifests.insert(row.manifest);
        }
    }
    m_zones.insert_or_assign(summary.zone, withWholeDigests(summary, manifests));
    m_zoneHeardAt.insert_or_assign(summary.zone, monotonicNow());
}

/** Agents need only engine agents, for placement and for the exchange of weights. */
void FleetKeeper::noteNeighbour(const Member &member)
{
    if (member.last.kind != BackendKind::Engine) {
        return;
    }
    if (monotonicNow() - member.heardAt >= replaceAfter) {
        m_neighbours = std::move(m_neighbours).forgotten(member.last.instance);
        return;
    }
    Heartbeat part = neighbourPart(member.last);
    part.isDraining = member.phase == MemberPhase::Draining;
    m_neighbours = std::move(m_neighbours).noted(part);
}

void FleetKeeper::noteAll()
{
    for (const auto &[instance, member] : m_roster.members()) {
        noteNeighbour(member);
    }
    for (const InstanceId &instance : m_neighbours.instances()) {
        if (!m_roster.members().contains(instance)) {
            m_neighbours = std::move(m_neighbours).forgotten(instance);
        }
    }
    for (const InstanceId &instance : m_heard.instances()) {
        if (!m_roster.members().contains(instance)) {
            m_heard = std::move(m_heard).forgotten(instance);
        }
    }
}

void FleetKeeper::sendDigest()
{
    std::vector<Heartbeat> heard;
    for (const InstanceId &instance : m_pulses) {
        const auto it = m_roster.members().find(instance);
        if (it != m_roster.members().end()) {
            heard.push_back(it->second.last);
        }
    }
    MemberChanges changes = m_heard.since(m_heard.epoch(), m_toldRevision);
    ZoneDigest digest = makeZoneDigest(std::move(changes), heard, m_roster.drainOrders());
    digest.leaving = m_roster.leavingMarks();
    m_tellEntries(SendToZone {ZoneDigestMessage {std::move(digest)}});
    m_toldRevision = m_heard.revision();
    m_pulses.clear();
    m_digestAt = monotonicNow();
}

void FleetKeeper::sendSummaries()
{
    const ZoneSummary summary = summarize(m_settings.zone, m_roster.members(), wallNow());
    const bool isDue = monotonicNow() - m_summaryAt >= summaryEvery;
    if (!isDue && countTheSame(summary, m_toldSummary)) {
        return;
    }
    std::vector<InstanceId> own {m_settings.instance};
    std::map<ZoneName, InstanceId> others;
    for (const LinkedEntry &entry : m_entries) {
        if (entry.zone == m_settings.zone) {
            own.push_back(entry.instance);
        } else {
            others.try_emplace(entry.zone, entry.instance);
        }
    }
    for (const auto &[zone, receiver] : others) {
        if (summarySender(zone, own) == m_settings.instance) {
            m_tellEntries(SendToEntry {receiver, ZoneSummaryMessage {summary}});
        }
    }
    m_summaryAt = monotonicNow();
    m_toldSummary = summary;
}

void FleetKeeper::forgetSilent()
{
    const Instant now = monotonicNow();
    std::erase_if(m_zones, [&](const auto &entry) {
        return now - m_zoneHeardAt[entry.first] > zoneForgetAfter;
    });
    std::erase_if(m_told, [this](const auto &entry) {
        return std::none_of(m_entries.begin(), m_entries.end(), [&](const LinkedEntry &linked) {
            return linked.instance == entry.first;
        });
    });
}

void FleetKeeper::acknowledge(const HeartbeatHeard &command)
{
    const HeartbeatMessage &message = command.message;
    HeartbeatAckMessage ack;
    ack.sequence = message.heartbeat.sequence;
    ack.isWarm = monotonicNow() - m_startedAt >= warmUpTime;
    if (ack.isWarm) {
        ack.neighbours = m_neighbours.since(message.knownEpoch, message.knownRevision);
    }
    const Heartbeat &newest = m_roster.members().at(message.heartbeat.instance).last;
    if (newest.startedAt > message.heartbeat.startedAt) {
        ack.supersededBy = newest.incarnation;
    }
    ack.drain = m_roster.isOrderedToDrain(message.heartbeat);
    command.link.post(linkStream, std::move(ack));
}

/** Sends an agent the records that it lacks, or a snapshot if they are no longer buffered here. */
void FleetKeeper::bringUpToDate(const InstanceId &instance, Offset applied)
{
    const auto link = m_heartbeatLinks.find(instance);
    if (link == m_heartbeatLinks.end() || !m_config.isReady()) {
        return;
    }
    const bool isBehind = applied < m_config.state->applied || applied.value == 0;
    if (!isBehind) {
        return;
    }
    const std::vector<LogRecord> &recent = *m_config.recent;
    const auto first = std::find_if(recent.begin(), recent.end(), [&](const LogRecord &record) {
        return record.offset > applied;
    });
    ConfigPushMessage push;
    push.logId = m_config.state->logId;
    if (first == recent.end() || first->offset.value != applied.value + 1) {
        push.snapshot = encodeSnapshot(snapshotOf(*m_config.state));
    } else {
        push.firstOffset = first->offset;
        std::transform(first, recent.end(), std::back_inserter(push.records),
                       [](const LogRecord &record) { return record.text; });
    }
    link->second.post(linkStream, std::move(push));
}

void FleetKeeper::dialMissing()
{
    for (const auto &[instance, member] : m_roster.members()) {
        if (member.phase != MemberPhase::Usable || !m_requestLinks.try_emplace(instance).second) {
            continue;
        }
        asio::co_spawn(
                m_executor,
                [self = shared_from_this(), instance = instance,
                 address = member.last.peerAddress] { return self->dial(instance, address); },
                asio::detached);
    }
}

Awaitable<void> FleetKeeper::dial(InstanceId instance, Address address)
{
    const PeerIdentity identity {"entry", m_settings.instance, m_settings.zone, m_settings.secret};
    LinkHooks hooks;
    hooks.receive = [](const PeerLinkHandle &, const StreamMessage &) { };
    hooks.ended = [mailbox = m_mailbox, instance](const PeerLinkHandle &, const LinkClosed &) {
        mailbox->post(AgentLinkLost {instance});
    };
    Outcome<PeerLinkHandle> link =
            co_await dialPeer(m_executor, address, identity, hooks, dialLimit, m_log);
    FleetCommand dialed = AgentDialed {instance, address, std::move(link)};
    co_await m_mailbox->send(std::move(dialed));
}

void FleetKeeper::publish()
{
    FleetView view;
    view.zones = m_zones;
    for (const auto &[instance, member] : m_roster.members()) {
        view.members.push_back(member);
        const auto link = m_requestLinks.find(instance);
        const bool hasLink = link != m_requestLinks.end() && link->second;
        if (member.phase == MemberPhase::Usable && hasLink) {
            view.usable.push_back({member.last, link->second});
        }
    }
    m_observer(view);
}

} // namespace greengageseam
