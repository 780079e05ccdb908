/**
 * The task that tells the zone's entries of this agent, and hears from them of the zone.
 */
#pragma once

#include "agent/agentsettings.h"
#include "agent/gate.h"
#include "agent/weightmanager.h"
#include "core/config/config.h"
#include "engine/engine.h"
#include "logservice/configmanager.h"
#include "logservice/listclient.h"
#include "net/log.h"
#include "net/peerlink.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <variant>

namespace greengageseam {

/** The configuration in force changed. */
struct ActiveConfigChanged
{
    ConfigView view;
};

/** Entries of the zone were found on the platform's list. */
struct ListedEntriesUpdated
{
    std::vector<Address> entries;
};

/** A link to an entry was made, or could not be. */
struct EntryDialed
{
    Address address;
    Outcome<PeerLinkHandle> link;
};

/** A link to an entry has ended. */
struct EntryLinkClosed
{
    Address address;
    InstanceId entry;
};

/** An entry sent a message that belongs to no stream. */
struct EntryLinkMessageReceived
{
    Address address;
    Message message;
    /** Where an answer goes. */
    PeerLinkHandle link;
};

/** Time for a heartbeat. */
struct HeartbeatTick
{ };

/** Messages to the task. */
using EntryLinksCommand = std::variant<ActiveConfigChanged, ListedEntriesUpdated, EntryDialed,
                                       EntryLinkClosed, EntryLinkMessageReceived, HeartbeatTick,
                                       GateStatus, WeightStatus, EngineState, IncarnationUpdated>;

/** Hook that is told of the agents of the zone; it must not wait. */
using NeighbourObserver = std::function<void(const std::vector<Heartbeat> &neighbours)>;
/** Hook that is told that an operator wants this agent to drain; it must not wait. */
using DrainObserver = std::function<void()>;
/** Hook that is told that a later process holds the agent's slot; it must not wait. */
using SupersededObserver = std::function<void(Offset by)>;

/** What the task passes on. */
struct EntryLinksHooks
{
    NeighbourObserver onNeighboursChanged;
    DrainObserver onDrain;
    SupersededObserver onSuperseded;
};

/** Sends heartbeats to a few entries of the zone, chosen by rendezvous hashing. */
class EntryLinks : public std::enable_shared_from_this<EntryLinks>
{
public:
    /** @param readList how entries are looked up; may be empty */
    EntryLinks(const asio::any_io_executor &executor, AgentSettings settings,
               MailboxPtr<ConfigCommand> config, EntryLinksHooks hooks, ReadInstanceList readList,
               Log log);

    /** @returns where to send commands */
    const MailboxPtr<EntryLinksCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    void apply(const ActiveConfigChanged &command);
    void apply(const ListedEntriesUpdated &command);
    void apply(const EntryDialed &command);
    void apply(const EntryLinkClosed &command);
    void apply(const EntryLinkMessageReceived &command);
    void apply(const HeartbeatTick &command);
    void apply(const GateStatus &command);
    void apply(const WeightStatus &command);
    void apply(const EngineState &command);
    void apply(const IncarnationUpdated &command);
    Awaitable<void> dial(Address address);
    Awaitable<void> pollInstanceList();
    void applyConfigPush(const ConfigPushMessage &push);
    void sendSnapshot(const ConfigRequestMessage &request, const PeerLinkHandle &link);
    void applyHeartbeatAck(const EntryLinkMessageReceived &command, const HeartbeatAckMessage &ack);
    std::vector<Address> entriesByScore() const;
    void closeSilentLinks();
    void closeSurplusLinks(const std::vector<Address> &chosen);
    void notifyNeighboursChanged();
    void sendHeartbeat();

    asio::any_io_executor m_executor;
    AgentSettings m_settings;
    MailboxPtr<ConfigCommand> m_config;
    EntryLinksHooks m_hooks;
    ReadInstanceList m_readList;
    Log m_log;
    MailboxPtr<EntryLinksCommand> m_mailbox;
    Heartbeat m_heartbeat;
    std::vector<Address> m_listedEntries;
    /** An entry that was dialed; without a link it is being dialed. */
    struct Entry
    {
        PeerLinkHandle link;
        Instant lastAckAt;
        bool isWarm = false;
        RemoteMembers neighbours;
    };

    std::map<Address, Entry> m_entries;
    std::map<Address, Instant> m_failedAt;
    /** What was told last of the neighbours: the life of the entry that told, and its revision. */
    std::pair<std::uint64_t, std::uint64_t> m_notifiedNeighbours;
};

} // namespace greengageseam
