#include "simulatedzonelink.h"

#include "core/common/errors.h"
#include "net/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <cmath>

namespace greengageseam {

namespace {

constexpr std::size_t blockBytes = 8 * 1024;
constexpr double packetBytes = 1448;
constexpr double burstSeconds = 0.02;
/** Maximum number of blocks in flight on a connection; beyond it, the sender has to wait. */
constexpr std::size_t maxBlocksInFlight = 16;
constexpr int retransmissionDelays = 2;

} // namespace

SimulatedZoneLink::SimulatedZoneLink(const asio::any_io_executor &executor,
                                     SimulatedZoneLinkOptions options)
    : m_executor(executor), m_options(options),
      m_buckets(2,
                TokenBucket(options.bytesPerSecond, options.bytesPerSecond * burstSeconds,
                            monotonicNow()))
{ }

Address SimulatedZoneLink::openPort(const Address &target, bool isForward)
{
    const asio::ip::tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    const auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(m_executor, any);
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), acceptor, target, isForward] {
                return self->acceptLoop(acceptor, target, isForward);
            },
            asio::detached);
    return addressOf(acceptor->local_endpoint());
}

Awaitable<void> SimulatedZoneLink::acceptLoop(Acceptor acceptor, Address target, bool isForward)
{
    while (true) {
        auto [ec, socket] = co_await acceptor->async_accept(asTuple);
        if (ec) {
            co_return;
        }
        const auto clientSocket = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
        asio::co_spawn(
                m_executor,
                [self = shared_from_this(), clientSocket, target, isForward] {
                    return self->connect(clientSocket, target, isForward);
                },
                asio::detached);
    }
}

Awaitable<void> SimulatedZoneLink::connect(Socket clientSocket, Address target, bool isForward)
{
    const auto targetSocket = std::make_shared<asio::ip::tcp::socket>(m_executor);
    const auto endpoint = toOutcome([&] { return parseEndpoint(target); });
    auto [ec] = co_await targetSocket->async_connect(std::get<asio::ip::tcp::endpoint>(endpoint),
                                                     asTuple);
    if (ec) {
        clientSocket->close();
        co_return;
    }
    const auto self = shared_from_this();
    asio::co_spawn(
            m_executor,
            [self, clientSocket, targetSocket, isForward] {
                return self->forwardBytes(clientSocket, targetSocket, isForward ? 0 : 1);
            },
            asio::detached);
    asio::co_spawn(
            m_executor,
            [self, clientSocket, targetSocket, isForward] {
                return self->forwardBytes(targetSocket, clientSocket, isForward ? 1 : 0);
            },
            asio::detached);
}

/** Reads blocks at the rate of the direction, and queues each with the time of its delivery. */
Awaitable<void> SimulatedZoneLink::forwardBytes(Socket from, Socket to, std::size_t direction)
{
    const auto queue = makeMailbox<std::pair<Instant, std::string>>(m_executor, maxBlocksInFlight);
    asio::co_spawn(
            m_executor, [self = shared_from_this(), to, queue] { return self->deliver(to, queue); },
            asio::detached);
    asio::steady_timer timer(m_executor);
    Instant deliveryTime {};
    while (true) {
        std::string block(blockBytes, '\0');
        auto [ec, n] = co_await from->async_read_some(asio::buffer(block), asTuple);
        if (ec) {
            break;
        }
        block.resize(n);
        TokenBucket &bucket = m_buckets[direction];
        bucket = bucket.at(monotonicNow()).taken(static_cast<double>(n));
        timer.expires_after(bucket.waitFor(0));
        co_await timer.async_wait(asTuple);
        const double packets = std::ceil(static_cast<double>(n) / packetBytes);
        const double blockLossRate = 1 - std::pow(1 - m_options.packetLossRate, packets);
        const bool isLost = std::bernoulli_distribution(blockLossRate)(m_random);
        const Duration delay = m_options.oneWayDelay * (isLost ? 1 + retransmissionDelays : 1);
        deliveryTime = std::max(deliveryTime, monotonicNow() + delay);
        std::pair<Instant, std::string> item(deliveryTime, std::move(block));
        if (!co_await queue->send(std::move(item))) {
            break;
        }
    }
    queue->close();
}

Awaitable<void> SimulatedZoneLink::deliver(Socket to,
                                           MailboxPtr<std::pair<Instant, std::string>> queue)
{
    asio::steady_timer timer(m_executor);
    while (auto item = co_await queue->receive()) {
        const Duration wait = item->first - monotonicNow();
        if (wait > Duration::zero()) {
            timer.expires_after(wait);
            co_await timer.async_wait(asTuple);
        }
        auto [ec, n] = co_await asio::async_write(*to, asio::buffer(item->second), asTuple);
        if (ec) {
            break;
        }
    }
    boost::system::error_code ignored;
    to->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    queue->close();
}

} // namespace greengageseam
