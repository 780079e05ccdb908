/**
 * The task that asks agents for reports of load, and passes on what they say.
 */
#pragma once

#include "core/fleet/fleet.h"
#include "net/datagramsocket.h"
#include "net/log.h"
#include "protocol/datagramcodec.h"

#include <functional>
#include <variant>
#include <vector>

namespace greengageseam {

/** Backend servers whose agents are asked. */
struct AgentsUpdated
{
    std::vector<Address> backends;
};

/** What the operator does was read up to an offset, which agents are told. */
struct OperatorOffsetUpdated
{
    std::uint64_t offset = 0;
};

/** Weights were named, which agents are told. */
struct AnnounceTargetVersion
{
    TargetVersion targetVersion;
};

/** What a read of the list of backend servers brought, for the other entries of the zone. */
struct RelayListDelta
{
    ReplicaListDelta delta;
};

/** Messages to the task. */
using LoadListenerCommand =
        std::variant<AgentsUpdated, OperatorOffsetUpdated, AnnounceTargetVersion, RelayListDelta>;

/** What is passed on; the hooks must not wait. */
struct LoadListenerHooks
{
    std::function<void(const LoadReport &report)> onReport;
    /** The entries that are known to run have changed; this one is among them. */
    std::function<void(const std::vector<EntryLocation> &entries)> onEntriesChanged;
    /** Another entry has read the list of backend servers. */
    std::function<void(const ReplicaListDelta &delta)> onListDelta;
};

/** Asks and listens. */
class LoadListener : public std::enable_shared_from_this<LoadListener>
{
public:
    /** @param port the port of this task here and of its counterpart on the agents' machines */
    LoadListener(const asio::any_io_executor &executor, EntryLocation self, std::uint16_t port,
                 LoadListenerHooks hooks, Log log);

    /** @returns where to send what is known of agents */
    const MailboxPtr<LoadListenerCommand> &mailbox() const { return m_mailbox; }
    /** Binds the socket and starts the task. */
    Result<void> start();

private:
    Awaitable<void> listen();
    Awaitable<void> runCommands();
    void apply(const AgentsUpdated &command);
    void apply(const OperatorOffsetUpdated &command);
    void apply(const AnnounceTargetVersion &command);
    void apply(const RelayListDelta &command);
    void requestReports();
    void handleDatagram(const Datagram &datagram);

    asio::any_io_executor m_executor;
    EntryLocation m_self;
    std::uint16_t m_port;
    LoadListenerHooks m_hooks;
    Log m_log;
    MailboxPtr<LoadListenerCommand> m_mailbox;
    DatagramSocket m_socket;
    std::vector<asio::ip::udp::endpoint> m_agents;
    EntryRegistry m_entries;
    std::uint64_t m_operatorOffset = 0;
    /** The newest weights that were named, by model. */
    std::map<ModelName, std::uint64_t> m_targetVersions;
};

} // namespace greengageseam
