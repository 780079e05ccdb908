/**
 * The task that knows the agents of the zone: their heartbeats, and the links to them.
 */
#pragma once

#include "core/membership/membership.h"
#include "entry/entrysettings.h"
#include "entry/peerentries.h"
#include "logservice/logservice.h"
#include "net/log.h"
#include "net/peerlink.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <variant>
#include <vector>

namespace greengageseam {

/** An agent that can be given work, with the link to it. */
struct UsableAgent
{
    Heartbeat lastHeartbeat;
    PeerLinkHandle link;
};

/** The zone as this entry sees it, as handed to other tasks. */
struct FleetView
{
    std::vector<UsableAgent> usableAgents;
    /** All agents, also those that are silent or draining. */
    std::vector<Member> members;
    /** The newest summary of each other zone; a zone that is silent for long is left out. */
    std::map<ZoneName, ZoneSummary> zones;
};

/** An agent sent a heartbeat over its link. */
struct HeartbeatReceived
{
    HeartbeatMessage message;
    PeerLinkHandle link;
};

/** Another entry sent a message. */
struct EntryMessageReceived
{
    HelloMessage peer;
    Message message;
};

/** The entries to which there are links. */
struct LinkedEntriesChanged
{
    std::vector<LinkedEntry> entries;
};

/** The link over which an agent sent heartbeats has ended. */
struct HeartbeatLinkLost
{
    InstanceId instance;
};

/** A link for requests was made, or could not be. */
struct AgentDialed
{
    InstanceId instance;
    Address address;
    Outcome<PeerLinkHandle> link;
};

/** A link for requests has ended. */
struct AgentLinkLost
{
    InstanceId instance;
};

/** The platform's list was read. */
struct InstanceListReceived
{
    std::vector<ListedInstance> list;
};

/** An operator wants an agent to take no more work. */
struct DrainAgent
{
    InstanceId instance;
    /** Gets whether the agent is known here. */
    MailboxPtr<bool> reply;
};

/** Time passes. */
struct FleetTick
{ };

/** Messages to the keeper. */
using FleetCommand = std::variant<HeartbeatReceived, HeartbeatLinkLost, AgentDialed, AgentLinkLost,
                                  EntryMessageReceived, LinkedEntriesChanged, InstanceListReceived,
                                  DrainAgent, ConfigView, FleetTick>;

/** Hook that is told of the zone; it must not wait. */
using FleetObserver = std::function<void(const FleetView &view)>;
/** Hook that sends a message to other entries; it must not wait. */
using SendToEntries = std::function<void(PeerEntriesCommand command)>;

/** Keeps the roster of the zone. */
class FleetManager : public std::enable_shared_from_this<FleetManager>
{
public:
    FleetManager(const asio::any_io_executor &executor, EntrySettings settings,
                 MemberTableOptions options, FleetObserver observer, SendToEntries sendToEntries,
                 Log log);

    /** @returns where to send commands */
    const MailboxPtr<FleetCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    void apply(const HeartbeatReceived &command);
    void apply(const HeartbeatLinkLost &command);
    void apply(const AgentDialed &command);
    void apply(const AgentLinkLost &command);
    void apply(const EntryMessageReceived &command);
    void apply(const LinkedEntriesChanged &command);
    void apply(const InstanceListReceived &command);
    void apply(const DrainAgent &command);
    void apply(const ConfigView &command);
    void apply(const FleetTick &command);
    void acknowledge(const HeartbeatReceived &command);
    void applyHeartbeat(const Heartbeat &heartbeat, HeartbeatSource source);
    void applyDigest(const HelloMessage &peer, const ZoneDigest &digest);
    void applySummary(const HelloMessage &peer, const ZoneSummary &summary);
    void recordNeighbour(const Member &member);
    void recordAllMembers();
    void sendDigest();
    void sendSummaries();
    void removeSilent();
    void sendMissingConfig(const InstanceId &instance, Offset applied);
    void dialMissing();
    Awaitable<void> dial(InstanceId instance, Address address);
    void publish();

    asio::any_io_executor m_executor;
    EntrySettings m_settings;
    FleetObserver m_observer;
    SendToEntries m_sendToEntries;
    Log m_log;
    MailboxPtr<FleetCommand> m_mailbox;
    MemberTable m_memberTable;
    /** Links over which agents send heartbeats and get configuration. */
    std::map<InstanceId, PeerLinkHandle> m_heartbeatLinks;
    /** Links over which requests go; one without a link is being dialed. */
    std::map<InstanceId, PeerLinkHandle> m_requestLinks;
    ConfigView m_config;
    /** The whole zone as agents need it. */
    MemberChangeLog m_neighbours;
    /** The agents that are heard here, as other entries need them. */
    MemberChangeLog m_localMembers;
    /** Revision of m_heard up to which all entries of the zone were told. */
    std::uint64_t m_sentRevision = 0;
    /** Agents heard here since the last digest. */
    std::set<InstanceId> m_heartbeatsSinceDigest;
    /** What each other entry of the zone told. */
    std::map<InstanceId, RemoteMembers> m_remoteMembers;
    std::vector<LinkedEntry> m_linkedEntries;
    std::map<ZoneName, ZoneSummary> m_zoneSummaries;
    std::map<ZoneName, Instant> m_summaryReceivedAt;
    Instant m_startedAt;
    Instant m_lastDigestAt;
    Instant m_lastSummaryAt;
    ZoneSummary m_lastSentSummary;
};

} // namespace greengageseam
