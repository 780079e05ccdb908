/**
 * The task that reports this agent to entries of the zone by heartbeats, and receives from them the
 * configuration and the other agents of the zone.
 */
#pragma once

#include "agent/agentsettings.h"
#include "agent/gate.h"
#include "agent/weightmanager.h"
#include "core/config/config.h"
#include "core/membership/membership.h"
#include "engine/engine.h"
#include "logservice/configmanager.h"
#include "logservice/listclient.h"
#include "net/log.h"
#include "net/peerlink.h"

#include <functional>
#include <map>
#include <memory>
#include <variant>

namespace greengageseam {

/** The active configuration has changed. */
struct ActiveConfigChanged
{
    ConfigView view;
};

/** The platform's instance list was read; these are the entries of the zone. */
struct ListedEntriesUpdated
{
    std::vector<Address> entries;
};

/** A dial attempt has succeeded or failed. */
struct EntryDialed
{
    Address address;
    Outcome<PeerLinkHandle> link;
};

/** A link to an entry was closed. */
struct EntryLinkClosed
{
    Address address;
    InstanceId entry;
};

/** An entry sent a message that does not belong to a stream. */
struct EntryLinkMessageReceived
{
    Address address;
    Message message;
    /** Link on which to reply. */
    PeerLinkHandle link;
};

/** Triggers a heartbeat and the maintenance of the links. */
struct HeartbeatTick
{ };

/** Messages to the task. */
using EntryLinksCommand = std::variant<ActiveConfigChanged, ListedEntriesUpdated, EntryDialed,
                                       EntryLinkClosed, EntryLinkMessageReceived, HeartbeatTick,
                                       GateStatus, WeightStatus, EngineState, IncarnationUpdated>;

/** Hook that is called with all agents of the zone when they change. It must not block. */
using NeighbourObserver = std::function<void(const std::vector<Heartbeat> &neighbours)>;
/** Hook that is called when an operator has ordered this agent to drain. It must not block. */
using DrainObserver = std::function<void()>;
/** Hook that is called with the incarnation of a later process in the slot. It must not block. */
using SupersededObserver = std::function<void(Offset by)>;

/** Hooks that the task calls on messages of entries. */
struct EntryLinksHooks
{
    NeighbourObserver onNeighboursChanged;
    DrainObserver onDrain;
    SupersededObserver onSuperseded;
};

/** Maintains links to a few entries of the zone, chosen by rendezvous hashing. */
class EntryLinks : public std::enable_shared_from_this<EntryLinks>
{
public:
    /**
     * @param executor runs the task
     * @param settings settings of the agent
     * @param config mailbox of the ConfigManager, which applies the records that entries send
     * @param hooks called on messages of entries
     * @param readList reads the platform's instance list; empty if only the seed entries are used
     * @param log logger of the agent
     */
    EntryLinks(const asio::any_io_executor &executor, AgentSettings settings,
               MailboxPtr<ConfigCommand> config, EntryLinksHooks hooks, ReadInstanceList readList,
               Log log);

    /** @returns the mailbox for commands to this task */
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
    EntryRanking m_ranking;
    /** An entry that was dialed. The link is empty while the entry is being dialed. */
    struct Entry
    {
        PeerLinkHandle link;
        Instant lastAckAt;
        /** Whether the entry has been running long enough to know the complete zone. */
        bool isWarm = false;
        RemoteMembers neighbours;
    };

    std::map<Address, Entry> m_entries;
    /**
     * Version of the neighbours that the hook was last called with: epoch of the entry that sent
     * them, and its revision.
     */
    std::pair<std::uint64_t, std::uint64_t> m_notifiedNeighbours;
};

} // namespace greengageseam
