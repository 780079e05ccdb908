/**
 * The task that tracks the agents of the zone: their heartbeats and the links to them.
 *
 * An agent sends heartbeats to a few entries of its zone. The entries of a zone exchange digests
 * of the heartbeats that they receive, and send summaries of their zone to entries of other zones.
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

/** An agent that can serve requests, with the link for them. */
struct UsableAgent
{
    Heartbeat lastHeartbeat;
    PeerLinkHandle link;
};

/** Snapshot of the zone as known to this entry; published to other tasks. */
struct FleetView
{
    std::vector<UsableAgent> usableAgents;
    /** All agents, including those that are suspect or draining. */
    std::vector<Member> members;
    /** The newest summary of each other zone; outdated summaries are omitted. */
    std::map<ZoneName, ZoneSummary> zones;
};

/** A heartbeat was received over an agent's link. */
struct HeartbeatReceived
{
    HeartbeatMessage message;
    PeerLinkHandle link;
};

/** A message of another entry was received. */
struct EntryMessageReceived
{
    HelloMessage peer;
    Message message;
};

/** The set of linked entries has changed. */
struct LinkedEntriesChanged
{
    std::vector<LinkedEntry> entries;
};

/** The link over which an agent sent heartbeats was closed. */
struct HeartbeatLinkLost
{
    InstanceId instance;
};

/** An attempt to connect a link for requests has finished. */
struct AgentDialed
{
    InstanceId instance;
    Address address;
    Outcome<PeerLinkHandle> link;
};

/** A link for requests was closed. */
struct AgentLinkLost
{
    InstanceId instance;
};

/** The platform's instance list was read. */
struct InstanceListReceived
{
    std::vector<ListedInstance> list;
};

/** An operator orders an agent to drain, that is, to accept no more requests. */
struct DrainAgent
{
    InstanceId instance;
    /** Receives true if the agent is known to this entry. */
    MailboxPtr<bool> reply;
};

/** Timer tick: updates member phases, connects links and sends digests and summaries. */
struct FleetTick
{ };

/** Messages to the FleetManager. */
using FleetCommand = std::variant<HeartbeatReceived, HeartbeatLinkLost, AgentDialed, AgentLinkLost,
                                  EntryMessageReceived, LinkedEntriesChanged, InstanceListReceived,
                                  DrainAgent, ConfigView, FleetTick>;

/** Hook called with each new view of the zone; must not block. */
using FleetObserver = std::function<void(const FleetView &view)>;
/** Hook that sends a message to other entries; must not block. */
using SendToEntries = std::function<void(PeerEntriesCommand command)>;

/** Owns the member table of the zone and the links to its agents. */
class FleetManager : public std::enable_shared_from_this<FleetManager>
{
public:
    FleetManager(const asio::any_io_executor &executor, EntrySettings settings,
                 MemberTableOptions options, FleetObserver observer, SendToEntries sendToEntries,
                 Log log);

    /** @returns the mailbox of the task */
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
    /** Links over which agents send heartbeats and receive configuration. */
    std::map<InstanceId, PeerLinkHandle> m_heartbeatLinks;
    /** Links for requests; an empty handle means that a connection attempt is in progress. */
    std::map<InstanceId, PeerLinkHandle> m_requestLinks;
    ConfigView m_config;
    /** All engine agents of the zone, with the fields that agents need. */
    MemberChangeLog m_neighbours;
    /** The agents that send heartbeats to this entry, with the fields that other entries need. */
    MemberChangeLog m_localMembers;
    /** Revision of m_localMembers up to which changes were sent to the entries of the zone. */
    std::uint64_t m_sentRevision = 0;
    /** Agents whose heartbeats were received since the last digest. */
    std::set<InstanceId> m_heartbeatsSinceDigest;
    /** The members reported by each other entry of the zone. */
    std::map<InstanceId, RemoteMembers> m_remoteMembers;
    std::vector<LinkedEntry> m_linkedEntries;
    ZoneSummaries m_zoneSummaries;
    Instant m_startedAt;
    Instant m_lastDigestAt;
    Instant m_lastSummaryAt;
    ZoneSummary m_lastSentSummary;
};

} // namespace greengageseam
