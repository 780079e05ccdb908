/**
 * Processing of heartbeats, digests and zone summaries; configuration pushes and links to agents.
 */
#include "entry/fleetmanager.h"

#include "entry/configpush.h"
#include "net/clock.h"
#include "net/ticker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 8192;
constexpr auto tickPeriod = std::chrono::milliseconds(250);
constexpr auto connectTimeout = std::chrono::seconds(2);
constexpr StreamId linkStream = 0;
constexpr auto digestInterval = std::chrono::seconds(1);
/** Interval of zone summaries while the replica counts do not change. */
constexpr auto summaryInterval = std::chrono::seconds(5);
/** Time after the start within which an entry learns of all members of the zone. */
constexpr auto warmUpTime = std::chrono::milliseconds(2500);
/** Time without a heartbeat after which an agent's model versions are placed on other agents. */
constexpr auto replacementTimeout = std::chrono::seconds(8);

} // namespace

FleetManager::FleetManager(const asio::any_io_executor &executor, EntrySettings settings,
                           MemberTableOptions options, FleetObserver observer,
                           SendToEntries sendToEntries, Log log)
    : m_executor(executor), m_settings(std::move(settings)), m_observer(std::move(observer)),
      m_sendToEntries(std::move(sendToEntries)), m_log(std::move(log)),
      m_mailbox(makeMailbox<FleetCommand>(executor, mailboxCapacity)), m_memberTable(options),
      m_neighbours(randomNumber()), m_localMembers(randomNumber()), m_startedAt(monotonicNow())
{ }

void FleetManager::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, tickPeriod, [mailbox = m_mailbox] {
        mailbox->post(FleetTick {});
        return true;
    });
}

Awaitable<void> FleetManager::run()
{
    while (std::optional<FleetCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void FleetManager::apply(const HeartbeatReceived &command)
{
    const Heartbeat &heartbeat = command.message.heartbeat;
    m_heartbeatLinks.insert_or_assign(heartbeat.instance, command.link);
    const auto known = m_memberTable.members().find(heartbeat.instance);
    const bool startsToDrain = heartbeat.isDraining
            && (known == m_memberTable.members().end() || !known->second.lastHeartbeat.isDraining);
    applyHeartbeat(heartbeat, HeartbeatSource::Agent);
    m_localMembers = std::move(m_localMembers).withState(fieldsForEntries(heartbeat));
    m_heartbeatsSinceDigest.insert(heartbeat.instance);
    acknowledge(command);
    sendMissingConfig(heartbeat.instance, heartbeat.appliedConfig);
    if (startsToDrain) {
        sendDigest();
        publish();
    }
}

void FleetManager::apply(const HeartbeatLinkLost &command)
{
    m_heartbeatLinks.erase(command.instance);
}

void FleetManager::apply(const EntryMessageReceived &command)
{
    if (const auto *digest = std::get_if<ZoneDigestMessage>(&command.message)) {
        applyDigest(command.peer, digest->digest);
    } else if (const auto *summary = std::get_if<ZoneSummaryMessage>(&command.message)) {
        applySummary(command.peer, summary->summary);
    } else if (std::holds_alternative<ZoneDigestRequestMessage>(command.message)) {
        std::vector<Heartbeat> heartbeats;
        for (const InstanceId &instance : m_localMembers.instances()) {
            heartbeats.push_back(m_memberTable.members().at(instance).lastHeartbeat);
        }
        ZoneDigest fullDigest = makeZoneDigest(m_localMembers.changesSince(0, 0), heartbeats,
                                               m_memberTable.drainOrders());
        m_sendToEntries(
                SendToEntry {command.peer.instance, ZoneDigestMessage {std::move(fullDigest)}});
    }
}

void FleetManager::apply(const LinkedEntriesChanged &command)
{
    m_linkedEntries = command.entries;
}

void FleetManager::apply(const AgentDialed &command)
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

void FleetManager::apply(const AgentLinkLost &command)
{
    m_log.warning("agent.lost", {{"agent", command.instance.text()}});
    m_requestLinks.erase(command.instance);
    publish();
}

void FleetManager::apply(const InstanceListReceived &command)
{
    std::set<InstanceId> leaving;
    for (const ListedInstance &listed : command.list) {
        if (listed.isLeaving) {
            leaving.insert(listed.instance);
        }
    }
    m_memberTable = std::move(m_memberTable).withLeavingList(leaving, wallNow());
    publish();
}

void FleetManager::apply(const DrainAgent &command)
{
    const auto it = m_memberTable.members().find(command.instance);
    const bool isKnown = it != m_memberTable.members().end();
    if (isKnown) {
        const DrainOrder order {command.instance, it->second.lastHeartbeat.startedAt};
        m_memberTable = std::move(m_memberTable).withDrainOrder(order);
        sendDigest();
        publish();
    }
    command.reply->post(isKnown);
}

void FleetManager::apply(const ConfigView &command)
{
    m_config = command;
    if (!m_config.isReady()) {
        return;
    }
    for (const auto &[instance, member] : m_memberTable.members()) {
        sendMissingConfig(instance, member.lastHeartbeat.appliedConfig);
    }
}

void FleetManager::apply(const FleetTick &)
{
    const Instant now = monotonicNow();
    m_memberTable = std::move(m_memberTable).advancedTo(now);
    removeSilent();
    recordAllMembers();
    dialMissing();
    publish();
    if (now - m_lastDigestAt >= digestInterval) {
        sendDigest();
        sendSummaries();
    }
}

void FleetManager::applyHeartbeat(const Heartbeat &heartbeat, HeartbeatSource source)
{
    const bool isNew = !m_memberTable.members().contains(heartbeat.instance);
    m_memberTable = std::move(m_memberTable).withHeartbeat(heartbeat, monotonicNow(), source);
    recordNeighbour(m_memberTable.members().at(heartbeat.instance));
    if (isNew) {
        dialMissing();
    }
}

void FleetManager::applyDigest(const HelloMessage &peer, const ZoneDigest &digest)
{
    if (peer.zone != m_settings.zone) {
        return;
    }
    RemoteMembers &view = m_remoteMembers[peer.instance];
    if (!view.canApply(digest.changes)) {
        m_sendToEntries(SendToEntry {peer.instance, ZoneDigestRequestMessage {}});
        return;
    }
    view = std::move(view).withChanges(digest.changes);
    for (const Heartbeat &heartbeat : expandHeartbeats(digest, view)) {
        applyHeartbeat(heartbeat, HeartbeatSource::PeerEntry);
    }
    for (const DrainOrder &order : digest.drainOrders) {
        m_memberTable = std::move(m_memberTable).withDrainOrder(order);
    }
    for (const LeavingInstance &leaving : digest.leaving) {
        m_memberTable = std::move(m_memberTable).withLeavingInstance(leaving);
    }
}

void FleetManager::applySummary(const HelloMessage &peer, const ZoneSummary &summary)
{
    if (summary.zone == m_settings.zone) {
        return;
    }
    if (peer.zone != m_settings.zone) {
        m_sendToEntries(SendToZone {ZoneSummaryMessage {summary}});
    }
    std::set<Digest> manifests;
    if (m_config.isReady()) {
        for (const auto &[key, modelVersion] : m_config.state->table.modelVersions) {
            manifests.insert(modelVersion.manifest);
        }
    }
    m_zoneSummaries =
            std::move(m_zoneSummaries)
                    .withSummary(expandManifestPrefixes(summary, manifests), monotonicNow());
}

/**
 * Records a member in the list that agents receive. The list contains only the agents of engines,
 * which agents need for placement and for the exchange of weights.
 */
void FleetManager::recordNeighbour(const Member &member)
{
    if (member.lastHeartbeat.kind != BackendKind::Engine) {
        return;
    }
    if (monotonicNow() - member.receivedAt >= replacementTimeout) {
        m_neighbours = std::move(m_neighbours).without(member.lastHeartbeat.instance);
        return;
    }
    Heartbeat fields = fieldsForAgents(member.lastHeartbeat);
    fields.isDraining = member.phase == MemberPhase::Draining;
    m_neighbours = std::move(m_neighbours).withState(fields);
}

void FleetManager::recordAllMembers()
{
    for (const auto &[instance, member] : m_memberTable.members()) {
        recordNeighbour(member);
    }
    for (const InstanceId &instance : m_neighbours.instances()) {
        if (!m_memberTable.members().contains(instance)) {
            m_neighbours = std::move(m_neighbours).without(instance);
        }
    }
    for (const InstanceId &instance : m_localMembers.instances()) {
        if (!m_memberTable.members().contains(instance)) {
            m_localMembers = std::move(m_localMembers).without(instance);
        }
    }
}

void FleetManager::sendDigest()
{
    std::vector<Heartbeat> heartbeats;
    for (const InstanceId &instance : m_heartbeatsSinceDigest) {
        const auto it = m_memberTable.members().find(instance);
        if (it != m_memberTable.members().end()) {
            heartbeats.push_back(it->second.lastHeartbeat);
        }
    }
    MemberChanges changes = m_localMembers.changesSince(m_localMembers.epoch(), m_sentRevision);
    ZoneDigest digest = makeZoneDigest(std::move(changes), heartbeats, m_memberTable.drainOrders());
    digest.leaving = m_memberTable.leavingInstances();
    m_sendToEntries(SendToZone {ZoneDigestMessage {std::move(digest)}});
    m_sentRevision = m_localMembers.revision();
    m_heartbeatsSinceDigest.clear();
    m_lastDigestAt = monotonicNow();
}

void FleetManager::sendSummaries()
{
    const ZoneSummary summary = summarize(m_settings.zone, m_memberTable.members(), wallNow());
    const bool isDue = monotonicNow() - m_lastSummaryAt >= summaryInterval;
    if (!isDue && haveEqualUsableCounts(summary, m_lastSentSummary)) {
        return;
    }
    std::vector<InstanceId> localEntries {m_settings.instance};
    std::map<ZoneName, InstanceId> receivers;
    for (const LinkedEntry &entry : m_linkedEntries) {
        if (entry.zone == m_settings.zone) {
            localEntries.push_back(entry.instance);
        } else {
            receivers.try_emplace(entry.zone, entry.instance);
        }
    }
    for (const auto &[zone, receiver] : receivers) {
        if (summarySender(zone, localEntries) == m_settings.instance) {
            m_sendToEntries(SendToEntry {receiver, ZoneSummaryMessage {summary}});
        }
    }
    m_lastSummaryAt = monotonicNow();
    m_lastSentSummary = summary;
}

void FleetManager::removeSilent()
{
    m_zoneSummaries = std::move(m_zoneSummaries).advancedTo(monotonicNow());
    std::erase_if(m_remoteMembers, [this](const auto &entry) {
        return std::none_of(
                m_linkedEntries.begin(), m_linkedEntries.end(),
                [&](const LinkedEntry &linked) { return linked.instance == entry.first; });
    });
}

void FleetManager::acknowledge(const HeartbeatReceived &command)
{
    const HeartbeatMessage &message = command.message;
    HeartbeatAckMessage ack;
    ack.sequence = message.heartbeat.sequence;
    ack.isWarm = monotonicNow() - m_startedAt >= warmUpTime;
    if (ack.isWarm) {
        ack.neighbours = m_neighbours.changesSince(message.knownEpoch, message.knownRevision);
    }
    const Heartbeat &newest = m_memberTable.members().at(message.heartbeat.instance).lastHeartbeat;
    if (newest.startedAt > message.heartbeat.startedAt) {
        ack.supersededBy = newest.incarnation;
    }
    ack.drain = m_memberTable.hasDrainOrder(message.heartbeat);
    command.link.post(linkStream, std::move(ack));
}

void FleetManager::sendMissingConfig(const InstanceId &instance, Offset applied)
{
    const auto link = m_heartbeatLinks.find(instance);
    if (link == m_heartbeatLinks.end() || !m_config.isReady()) {
        return;
    }
    if (std::optional<ConfigPushMessage> push = missingConfig(m_config, applied)) {
        link->second.post(linkStream, std::move(*push));
    }
}

void FleetManager::dialMissing()
{
    for (const auto &[instance, member] : m_memberTable.members()) {
        if (member.phase != MemberPhase::Usable || !m_requestLinks.try_emplace(instance).second) {
            continue;
        }
        asio::co_spawn(
                m_executor,
                [self = shared_from_this(), instance = instance,
                 address = member.lastHeartbeat.peerAddress] {
                    return self->dial(instance, address);
                },
                asio::detached);
    }
}

Awaitable<void> FleetManager::dial(InstanceId instance, Address address)
{
    const PeerIdentity identity {"entry", m_settings.instance, m_settings.zone, m_settings.secret};
    LinkHooks hooks;
    hooks.onMessage = [](const PeerLinkHandle &, const StreamMessage &) { };
    hooks.onClosed = [mailbox = m_mailbox, instance](const PeerLinkHandle &, const LinkClosed &) {
        mailbox->post(AgentLinkLost {instance});
    };
    Outcome<PeerLinkHandle> link =
            co_await dialPeer(m_executor, address, identity, hooks, connectTimeout, m_log);
    FleetCommand dialed = AgentDialed {instance, address, std::move(link)};
    co_await m_mailbox->send(std::move(dialed));
}

void FleetManager::publish()
{
    FleetView view;
    view.zones = m_zoneSummaries.summaries();
    for (const auto &[instance, member] : m_memberTable.members()) {
        view.members.push_back(member);
        const auto link = m_requestLinks.find(instance);
        const bool hasLink = link != m_requestLinks.end() && link->second;
        if (member.phase == MemberPhase::Usable && hasLink) {
            view.usableAgents.push_back({member.lastHeartbeat, link->second});
        }
    }
    m_observer(view);
}

} // namespace greengageseam
