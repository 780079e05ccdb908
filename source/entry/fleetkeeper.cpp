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

} // namespace

FleetKeeper::FleetKeeper(const asio::any_io_executor &executor, EntrySettings settings,
                         RosterOptions options, FleetObserver observer, Log log)
    : m_executor(executor), m_settings(std::move(settings)), m_observer(std::move(observer)),
      m_log(std::move(log)), m_mailbox(makeMailbox<FleetCommand>(executor, mailboxCapacity)),
      m_roster(options)
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
    const InstanceId &instance = command.heartbeat.instance;
    m_heartbeatLinks.insert_or_assign(instance, command.link);
    m_roster = m_roster.heard(command.heartbeat, monotonicNow());
    acknowledge(command);
    bringUpToDate(instance, command.heartbeat.appliedConfig);
    dialMissing();
    publish();
}

void FleetKeeper::apply(const HeartbeatLinkLost &command)
{
    m_heartbeatLinks.erase(command.instance);
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
    for (const ListedInstance &listed : command.list) {
        if (listed.isLeaving) {
            m_roster = m_roster.leaving(listed.instance);
        }
    }
    publish();
}

void FleetKeeper::apply(const DrainAgent &command)
{
    const bool isKnown = m_roster.members().contains(command.instance);
    if (isKnown) {
        m_drainWanted.insert(command.instance);
        m_roster = m_roster.leaving(command.instance);
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
    m_roster = m_roster.at(monotonicNow());
    dialMissing();
    publish();
}

void FleetKeeper::acknowledge(const HeartbeatHeard &command)
{
    HeartbeatAckMessage ack;
    ack.sequence = command.heartbeat.sequence;
    for (const auto &[instance, member] : m_roster.members()) {
        if (member.phase != MemberPhase::Suspect) {
            ack.neighbours.push_back(member.last);
        }
    }
    ack.drain = m_drainWanted.contains(command.heartbeat.instance);
    command.link.post(linkStream, std::move(ack));
}

/** Sends an agent the records that it lacks, or a snapshot if they are no longer at hand. */
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
