/**
 * The task that asks agents for reports of load, and passes on what they say.
 */
#pragma once

#include "core/fleet/fleet.h"
#include "net/datagramsocket.h"
#include "net/log.h"
#include "protocol/datagramcodec.h"

#include <functional>
#include <vector>

namespace greengageseam {

/** Backend servers whose agents are asked. */
struct AgentsKnown
{
    std::vector<Address> backends;
};

/** Hook that is told of a report; it must not wait. */
using LoadObserver = std::function<void(const LoadReport &report)>;

/** Asks and listens. */
class LoadListener : public std::enable_shared_from_this<LoadListener>
{
public:
    /** @param port the port of this task here and of its counterpart on the agents' machines */
    LoadListener(const asio::any_io_executor &executor, LoadWanted self, std::uint16_t port,
                 LoadObserver observer, Log log);

    /** @returns where to send what is known of agents */
    const MailboxPtr<AgentsKnown> &mailbox() const { return m_mailbox; }
    /** Binds the socket and starts the task. */
    Result<void> start(const std::string &ip);

private:
    Awaitable<void> listen();
    Awaitable<void> learn();
    void ask();

    asio::any_io_executor m_executor;
    LoadWanted m_self;
    std::uint16_t m_port;
    LoadObserver m_observer;
    Log m_log;
    MailboxPtr<AgentsKnown> m_mailbox;
    DatagramSocket m_socket;
    std::vector<asio::ip::udp::endpoint> m_agents;
};

} // namespace greengageseam
