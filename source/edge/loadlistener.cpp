#include "edge/loadlistener.h"

#include "core/common/hashing.h"
#include "net/clock.h"
#include "net/endpoint.h"
#include "net/ticker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 256;
/**
 * Interval between two requests to an agent. It must be well below the time for which the agent
 * keeps sending reports after a request.
 */
constexpr auto requestInterval = std::chrono::milliseconds(300);
/**
 * Time after which an entry that no agent confirms counts as gone. The agents that are asked for
 * entries tell of it three times within this time.
 */
constexpr auto entryLifetime = std::chrono::milliseconds(1000);
/** Time without a word from any agent after which an entry draws no conclusions from silence. */
constexpr auto deafAfter = std::chrono::milliseconds(600);
/** Number of times that the same agents are asked for entries. */
constexpr int questionsPerRound = 16;
/** Number of times that agents are asked until one that has said nothing counts as silent. */
constexpr int questionsPerCheck = 2;

/** The bytes of a subscription that asks for the known entries, and of one that does not. */
struct EncodedSubscriptions
{
    explicit EncodedSubscriptions(LoadSubscription subscription)
    {
        subscription.wantsEntries = true;
        asking = encodeDatagram(subscription);
        subscription.wantsEntries = false;
        notAsking = encodeDatagram(subscription);
    }

    std::string asking;
    std::string notAsking;
};

} // namespace

LoadListener::LoadListener(const asio::any_io_executor &executor, EntryLocation self,
                           std::uint16_t port, LoadListenerHooks hooks, Log log)
    : m_executor(executor), m_self(std::move(self)), m_port(port), m_hooks(std::move(hooks)),
      m_log(std::move(log)), m_mailbox(makeMailbox<LoadListenerCommand>(executor, mailboxCapacity)),
      m_socket(executor), m_round(checksumOf("entries/" + m_self.instance.text(), 0)),
      m_entries(entryLifetime)
{ }

Result<void> LoadListener::start()
{
    BOOST_LEAF_CHECK(m_socket.bind(m_self.ip, m_port));
    asio::co_spawn(
            m_executor, [self = shared_from_this()] { return self->listen(); }, asio::detached);
    asio::co_spawn(
            m_executor, [self = shared_from_this()] { return self->runCommands(); },
            asio::detached);
    startTicker(m_executor, requestInterval, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self) {
            self->requestReports();
        }
        return self != nullptr;
    });
    return {};
}

Awaitable<void> LoadListener::runCommands()
{
    while (std::optional<LoadListenerCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void LoadListener::apply(const AgentsUpdated &command)
{
    std::vector<asio::ip::udp::endpoint> agents;
    std::vector<ZoneName> zones;
    for (const AgentSite &site : command.agents) {
        const auto endpoint = toOutcome([&] { return parseEndpoint(site.backend); });
        if (const auto *tcp = std::get_if<asio::ip::tcp::endpoint>(&endpoint)) {
            agents.emplace_back(tcp->address(), m_port);
            zones.push_back(site.zone);
        }
    }
    const std::set<asio::ip::udp::endpoint> known(m_agents.begin(), m_agents.end());
    m_agents = std::move(agents);
    m_agentZones = std::move(zones);
    m_zonesByIp.clear();
    for (std::size_t i = 0; i < m_agents.size(); ++i) {
        m_zonesByIp[m_agents[i].address().to_string()] = m_agentZones[i];
    }
    m_views.expectZones({m_agentZones.begin(), m_agentZones.end()});
    if (known.empty()) {
        requestReports();
        return;
    }
    const bool hasNew = std::any_of(m_agents.begin(), m_agents.end(),
                                    [&known](const auto &it) { return !known.contains(it); });
    if (hasNew) {
        subscribe(known, {});
    }
}

void LoadListener::apply(const OperatorPositionUpdated &command)
{
    m_operatorPosition = command.position;
    subscribe({}, {});
}

void LoadListener::apply(const OperatorViewConfirmed &command)
{
    m_operatorCompleteAsOf = command.completeAsOf;
    bool hasNew = false;
    for (const AnnounceTargetVersion &announced : command.targetVersions) {
        hasNew = recordTargetVersion(announced) || hasNew;
    }
    if (hasNew) {
        subscribe({}, {});
    }
}

void LoadListener::apply(const AnnounceTargetVersion &command)
{
    recordTargetVersion(command);
    subscribe({}, {});
}

/** Records a version, or an earlier date of it. @returns whether the version was not known */
bool LoadListener::recordTargetVersion(const AnnounceTargetVersion &announced)
{
    const auto [it, isNew] = m_targetVersions.try_emplace(announced.targetVersion.model, announced);
    AnnounceTargetVersion &known = it->second;
    if (announced.targetVersion.version > known.targetVersion.version) {
        known = announced;
        return true;
    }
    if (announced.targetVersion == known.targetVersion) {
        known.announcedAt = std::min(known.announcedAt, announced.announcedAt);
    }
    return isNew;
}

void LoadListener::apply(const RelayListDelta &command)
{
    const std::vector<std::string> parts = encodeInParts(command.delta);
    for (const EntryLocation &site : m_entries.locations()) {
        if (site.zone != m_self.zone || site.ip == m_self.ip) {
            continue;
        }
        for (const std::string &bytes : parts) {
            sendToEntry(site.ip, bytes);
        }
    }
}

/**
 * @returns the datagrams of a delta, in as many parts as needed for each to fit; none if it has too
 *          many changes, so that the other entries read the list instead
 */
std::vector<std::string> LoadListener::encodeInParts(const ReplicaListDelta &delta) const
{
    for (std::uint32_t count = 1; count <= maxDeltaParts; count *= 2) {
        std::vector<std::string> datagrams;
        for (const ReplicaListDelta &part : splitDelta(delta, count)) {
            datagrams.push_back(encodeDatagram(part));
        }
        const bool fits =
                std::all_of(datagrams.begin(), datagrams.end(), [](const std::string &bytes) {
                    return bytes.size() <= maxDatagramBytes;
                });
        if (fits) {
            return datagrams;
        }
    }
    m_log.info("list.delta-too-large", {{"changes", delta.changed.size() + delta.removed.size()}});
    return {};
}

void LoadListener::apply(const SendToEntry &command)
{
    sendToEntry(command.ip, encodeDatagram(command.datagram));
}

void LoadListener::sendToEntry(const std::string &ip, const std::string &bytes)
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(ip, ec);
    if (!ec) {
        m_socket.send(bytes, {address, m_port});
    }
}

/** Subscribes to all agents, and asks a few of them for the entries that they know. */
void LoadListener::requestReports()
{
    const Instant now = monotonicNow();
    expireEntries(now);
    if (m_views.isUnreadableForAll(now) && m_hooks.onTopicUnreadable) {
        m_hooks.onTopicUnreadable();
    }
    subscribe({}, nextQuestions());
}

/** Removes entries that the agents no longer tell of, unless nothing is heard of the agents. */
void LoadListener::expireEntries(Instant now)
{
    m_entries.refresh(m_self, now);
    if (now - m_heardAt > deafAfter) {
        m_entries.renewAll(now);
    }
    if (m_entries.expire(now)) {
        m_hooks.onEntriesChanged(m_entries.locations());
    }
}

/**
 * Turns to other agents if one that was asked is silent, and after some time in any case.
 * @returns the positions of the agents to ask for entries
 */
std::set<std::size_t> LoadListener::nextQuestions()
{
    const bool isCheckDue = m_questions % questionsPerCheck == 0;
    if ((isCheckDue && !m_unheard.empty()) || m_questions >= questionsPerRound) {
        ++m_round;
        m_questions = 0;
    }
    const std::set<std::size_t> asked = chooseEntryListSources(m_agentZones, m_self.zone, m_round);
    if (isCheckDue) {
        m_unheard.clear();
        for (const std::size_t i : asked) {
            m_unheard.insert(m_agents[i].address().to_string());
        }
    }
    ++m_questions;
    return asked;
}

/**
 * Sends a subscription to the agents. Those of other zones are told of demand only if callers are
 * turned away, since they would give no credits for it otherwise.
 * @param except agents that are left out
 * @param asked positions of the agents that are asked for the entries that they know
 */
void LoadListener::subscribe(const std::set<asio::ip::udp::endpoint> &except,
                             const std::set<std::size_t> &asked)
{
    LoadSubscription own = makeSubscription();
    own.demands = m_demands;
    LoadSubscription other = makeSubscription();
    other.demands = m_demands;
    std::erase_if(other.demands,
                  [](const ServiceDemand &demand) { return demand.turnedAway == 0; });
    const EncodedSubscriptions toOwnZone(std::move(own));
    const EncodedSubscriptions toOtherZones(std::move(other));
    for (std::size_t i = 0; i < m_agents.size(); ++i) {
        const EncodedSubscriptions &bytes =
                m_agentZones[i] == m_self.zone ? toOwnZone : toOtherZones;
        if (!except.contains(m_agents[i])) {
            m_socket.send(asked.contains(i) ? bytes.asking : bytes.notAsking, m_agents[i]);
        }
    }
}

/** @returns a subscription with what this entry knows, apart from its demand */
LoadSubscription LoadListener::makeSubscription() const
{
    const Instant now = monotonicNow();
    LoadSubscription request {m_self.instance,    m_self.zone, m_entries.checksum(),
                              m_operatorPosition, {},          {}};
    if (m_operatorCompleteAsOf) {
        request.operatorViewAge = std::max(Duration::zero(), now - *m_operatorCompleteAsOf);
    }
    for (const auto &[model, known] : m_targetVersions) {
        request.targetVersions.push_back({known.targetVersion, now - known.announcedAt});
    }
    return request;
}

void LoadListener::handleDatagram(const Datagram &datagram, const std::string &senderIp)
{
    m_unheard.erase(senderIp);
    if (const auto *report = std::get_if<LoadReport>(&datagram)) {
        m_heardAt = monotonicNow();
        m_entries.confirm(report->entriesChecksum, m_heardAt);
        const auto zone = m_zonesByIp.find(senderIp);
        if (zone != m_zonesByIp.end()) {
            m_views.recordStatement(zone->second, report->operatorViewAge, m_heardAt);
        }
        m_hooks.onReport(*report);
    } else if (const auto *list = std::get_if<ReplicaListDelta>(&datagram)) {
        if (const auto whole = m_listDeltas.add(senderIp, *list, monotonicNow())) {
            m_hooks.onListDelta(*whole);
        }
    } else if (const auto *crashes = std::get_if<CrashReport>(&datagram)) {
        m_hooks.onCrashReport(*crashes);
    } else if (const auto *digest = std::get_if<CrashDigest>(&datagram)) {
        m_hooks.onCrashDigest(*digest, senderIp);
    } else if (const auto *known = std::get_if<KnownTargetVersions>(&datagram)) {
        for (const KnownTargetVersion &version : known->versions) {
            m_hooks.onTargetVersion(version);
        }
    } else if (const auto *seen = std::get_if<KnownEntries>(&datagram)) {
        const Instant now = monotonicNow();
        m_heardAt = now;
        for (const EntryLocation &site : seen->entries) {
            m_entries.refresh(site, now);
        }
        if (m_entries.expire(now)) {
            m_hooks.onEntriesChanged(m_entries.locations());
        }
    }
}

Awaitable<void> LoadListener::listen()
{
    while (std::optional<ReceivedDatagram> received = co_await m_socket.receive(maxDatagramBytes)) {
        if (received->bytes.empty()) {
            continue;
        }
        const Outcome<Datagram> read = toOutcome([&] { return decodeDatagram(received->bytes); });
        if (const Failure *failure = failureOf(read)) {
            m_log.debug("load.unreadable", {{"reason", failure->detail}});
            continue;
        }
        handleDatagram(std::get<Datagram>(read), received->sender.address().to_string());
    }
    m_log.error("load.socket-failed");
}

} // namespace greengageseam
