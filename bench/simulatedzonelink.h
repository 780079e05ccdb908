/**
 * A simulated link between two zones with limited rate, delay and packet loss, which all
 * connections between the zones share.
 */
#pragma once

#include "core/routing/tokenbucket.h"
#include "net/endpoint.h"
#include "net/mailbox.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <random>

namespace greengageseam {

/** Properties of a link, which apply to each direction. */
struct SimulatedZoneLinkOptions
{
    double bytesPerSecond = 0;
    /** Delay of each direction. */
    Duration oneWayDelay {};
    /** Ratio of packets that are lost. A loss delays its connection by one retransmission. */
    double packetLossRate = 0;

    auto operator<=>(const SimulatedZoneLinkOptions &) const = default;
};

/** Forwards TCP connections between two zones in both directions. */
class SimulatedZoneLink : public std::enable_shared_from_this<SimulatedZoneLink>
{
public:
    SimulatedZoneLink(const asio::any_io_executor &executor, SimulatedZoneLinkOptions options);

    /**
     * Opens a local port from which connections are forwarded to a target in the other zone.
     * @param target address that connections are forwarded to
     * @param isForward whether connections come from the first zone of the pair
     * @returns the address to connect to instead of the target
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
    /** One bucket for each direction. */
    std::vector<TokenBucket> m_buckets;
    std::mt19937 m_random {1};
};

} // namespace greengageseam
