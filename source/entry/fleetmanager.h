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
    std::vector<UsableAgent> usable;
    /** All agents, also those that are silent or draining. */
    std::vector<Member> members;
    /** The newest summary of each other zone; a zone that is silent for long is left out. */
    std::map<ZoneName, ZoneSummary> zones;
};

/** An agent sent a heartbeat over its link. */
struct HeartbeatHeard
{
    HeartbeatMessage message;
    PeerLinkHandle link;
};

/** Another entry sent a message. */
struct EntryHeard
{
    HelloMessage peer;
    Message message;
};

/** The entries to which there are links. */
struct EntriesLinked
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
struct ListRead
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
using FleetCommand =
        std::variant<HeartbeatHeard, HeartbeatLinkLost, AgentDialed, AgentLinkLost, EntryHeard,
                     EntriesLinked, ListRead, DrainAgent, ConfigView, FleetTick>;

/** Hook that is told of the zone; it must not wait. */
using FleetObserver = std::function<void(const FleetView &view)>;
/** Hook that sends a message to other entries; it must not wait. */
using TellEntries = std::function<void(PeerEntriesCommand command)>;

/** Keeps the roster of the zone. */
class FleetKeeper : public std::enable_shared_from_this<FleetKeeper>
{
public:
    FleetKeeper(const asio::any_io_executor &executor, EntrySettings settings,
                MemberTableOptions options, FleetObserver observer, TellEntries tellEntries,
                Log log);

    /** @returns where to send commands */
    const MailboxPtr<FleetCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    void apply(const HeartbeatHeard &command);
    void apply(const HeartbeatLinkLost &command);
    void apply(const AgentDialed &command);
    void apply(const AgentLinkLost &command);
    void apply(const EntryHeard &command);
    void apply(const EntriesLinked &command);
    void apply(const ListRead &command);
    void apply(const DrainAgent &command);
    void apply(const ConfigView &command);
    void apply(const FleetTick &command);
    void acknowledge(const HeartbeatHeard &command);
    void hear(const Heartbeat &heartbeat, HeartbeatSource from);
    void hearDigest(const HelloMessage &peer, const ZoneDigest &digest);
    void hearSummary(const HelloMessage &peer, const ZoneSummary &summary);
    void noteNeighbour(const Member &member);
    void noteAll();
    void sendDigest();
    void sendSummaries();
    void forgetSilent();
    void bringUpToDate(const InstanceId &instance, Offset applied);
    void dialMissing();
    Awaitable<void> dial(InstanceId instance, Address address);
    void publish();

    asio::any_io_executor m_executor;
    EntrySettings m_settings;
    FleetObserver m_observer;
    TellEntries m_tellEntries;
    Log m_log;
    MailboxPtr<FleetCommand> m_mailbox;
    MemberTable m_roster;
    /** Links over which agents send heartbeats and get configuration. */
    std::map<InstanceId, PeerLinkHandle> m_heartbeatLinks;
    /** Links over which requests go; one without a link is being dialed. */
    std::map<InstanceId, PeerLinkHandle> m_requestLinks;
    ConfigView m_config;
    /** The whole zone as agents need it. */
    MemberChangeLog m_neighbours;
    /** The agents that are heard here, as other entries need them. */
    MemberChangeLog m_heard;
    /** Revision of m_heard up to which all entries of the zone were told. */
    std::uint64_t m_toldRevision = 0;
    /** Agents heard here since the last digest. */
    std::set<InstanceId> m_pulses;
    /** What each other entry of the zone told. */
    std::map<InstanceId, RemoteMembers> m_told;
    std::vector<LinkedEntry> m_entries;
    std::map<ZoneName, ZoneSummary> m_zones;
    std::map<ZoneName, Instant> m_zoneHeardAt;
    Instant m_startedAt;
    Instant m_digestAt;
    Instant m_summaryAt;
    ZoneSummary m_toldSummary;
};

} // namespace greengageseam
