/**
 * The task that knows the agents of the zone: their heartbeats, and the links to them.
 */
#pragma once

#include "core/membership/membership.h"
#include "entry/entrysettings.h"
#include "net/log.h"
#include "net/peerlink.h"
#include "platform/platform.h"

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
    Heartbeat last;
    PeerLinkHandle link;
};

/** The zone as this entry sees it, as handed to other tasks. */
struct FleetView
{
    std::vector<UsableAgent> usable;
    /** All agents, also those that are silent or draining. */
    std::vector<Member> members;
};

/** An agent sent a heartbeat over its link. */
struct HeartbeatHeard
{
    Heartbeat heartbeat;
    PeerLinkHandle link;
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
using FleetCommand = std::variant<HeartbeatHeard, HeartbeatLinkLost, AgentDialed, AgentLinkLost,
                                  ListRead, DrainAgent, ConfigView, FleetTick>;

/** Hook that is told of the zone; it must not wait. */
using FleetObserver = std::function<void(const FleetView &view)>;

/** Keeps the roster of the zone. */
class FleetKeeper : public std::enable_shared_from_this<FleetKeeper>
{
public:
    FleetKeeper(const asio::any_io_executor &executor, EntrySettings settings,
                RosterOptions options, FleetObserver observer, Log log);

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
    void apply(const ListRead &command);
    void apply(const DrainAgent &command);
    void apply(const ConfigView &command);
    void apply(const FleetTick &command);
    void acknowledge(const HeartbeatHeard &command);
    void bringUpToDate(const InstanceId &instance, Offset applied);
    void dialMissing();
    Awaitable<void> dial(InstanceId instance, Address address);
    void publish();

    asio::any_io_executor m_executor;
    EntrySettings m_settings;
    FleetObserver m_observer;
    Log m_log;
    MailboxPtr<FleetCommand> m_mailbox;
    Roster m_roster;
    /** Links over which agents send heartbeats and get configuration. */
    std::map<InstanceId, PeerLinkHandle> m_heartbeatLinks;
    /** Links over which requests go; one without a link is being dialed. */
    std::map<InstanceId, PeerLinkHandle> m_requestLinks;
    std::set<InstanceId> m_drainWanted;
    ConfigView m_config;
};

} // namespace greengageseam
