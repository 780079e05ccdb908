/**
 * Task that requests load reports from agents by UDP and relays replica list deltas between the
 * entries of a zone.
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

/** The list of backend servers whose agents are asked for reports has changed. */
struct AgentsKnown
{
    std::vector<Address> backends;
};

/** The operator's topic was read up to an offset, which is announced to agents. */
struct NewsRead
{
    std::uint64_t offset = 0;
};

/** Announces a target version of weights to agents. */
struct WeightsToTell
{
    NamedVersion named;
};

/** Relays a delta of the list of backend servers to the other entries of the zone. */
struct PassList
{
    ListNews news;
};

/** Messages to the task. */
using ListenerCommand = std::variant<AgentsKnown, NewsRead, WeightsToTell, PassList>;

/** Hooks for what the listener receives. They must not block. */
struct LoadListenerHooks
{
    /** Called for each load report. */
    std::function<void(const LoadReport &report)> report;
    /** Called when the set of running entries has changed. The set includes this entry. */
    std::function<void(const std::vector<EntrySite> &entries)> entries;
    /** Called when another entry has read the list of backend servers and relays the delta. */
    std::function<void(const ListNews &news)> list;
};

/** Requests load reports at a fixed interval and receives the datagrams sent in return. */
class LoadListener : public std::enable_shared_from_this<LoadListener>
{
public:
    /** @param port UDP port of this task, and of its counterpart on the agents' machines */
    LoadListener(const asio::any_io_executor &executor, EntrySite self, std::uint16_t port,
                 LoadListenerHooks hooks, Log log);

    /** @returns the mailbox that takes commands */
    const MailboxPtr<ListenerCommand> &mailbox() const { return m_mailbox; }
    /** Binds the socket and starts the task. */
    Result<void> start();

private:
    Awaitable<void> listen();
    Awaitable<void> learn();
    void apply(const AgentsKnown &command);
    void apply(const NewsRead &command);
    void apply(const WeightsToTell &command);
    void apply(const PassList &command);
    void ask();
    void take(const Datagram &datagram);

    asio::any_io_executor m_executor;
    EntrySite m_self;
    std::uint16_t m_port;
    LoadListenerHooks m_hooks;
    Log m_log;
    MailboxPtr<ListenerCommand> m_mailbox;
    DatagramSocket m_socket;
    std::vector<asio::ip::udp::endpoint> m_agents;
    EntrySites m_entries;
    /** Offset up to which the operator's topic was read. */
    std::uint64_t m_news = 0;
    /** The newest target version of the weights of each model. */
    std::map<ModelName, std::uint64_t> m_named;
};

} // namespace greengageseam
