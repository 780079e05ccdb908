/**
 * A link between two zones: paced, delayed and losing packets, shared by all connections over it.
 */
#pragma once

#include "core/routing/tokenbucket.h"
#include "net/endpoint.h"
#include "net/mailbox.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <random>

namespace greengageseam {

/** How a link behaves each way. */
struct SimulatedZoneLinkOptions
{
    double bytesPerSecond = 0;
    /** One way. */
    Duration oneWayDelay {};
    /** Share of packets that are lost; a loss holds its connection up for one retransmission. */
    double packetLossRate = 0;

    auto operator<=>(const SimulatedZoneLinkOptions &) const = default;
};

/** Both ways of the link between two zones. */
class SimulatedZoneLink : public std::enable_shared_from_this<SimulatedZoneLink>
{
public:
    SimulatedZoneLink(const asio::any_io_executor &executor, SimulatedZoneLinkOptions options);

    /**
     * Opens a port for one target at the other end.
     * @param isForward whether the dialer is at the first zone of the pair
     * @returns where to connect instead of the target
     */
    Address openPort(const Address &target, bool isForward);

private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;
    using Acceptor = std::shared_ptr<asio::ip::tcp::acceptor>;

    Awaitable<void> acceptLoop(Acceptor acceptor, Address target, bool isForward);
    Awaitable<void> connect(Socket clientSocket, Address target, bool isForward);
    Awaitable<void> forwardBytes(Socket from, Socket to, std::size_t direction);
    Awaitable<void> deliver(Socket to, MailboxPtr<std::pair<Instant, std::string>> queue);

    asio::any_io_executor m_executor;
    SimulatedZoneLinkOptions m_options;
    /** One bucket for each way. */
    std::vector<TokenBucket> m_buckets;
    std::mt19937 m_random {1};
};

} // namespace greengageseam
