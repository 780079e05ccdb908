#include "testcaller.h"

#include "net/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <stdexcept>
#include <unistd.h>

namespace greengageseam {

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(10);
constexpr auto stepTimeout = std::chrono::seconds(1);
constexpr auto responseTimeout = std::chrono::seconds(5);
constexpr std::size_t maxBody = 100'000;
constexpr int firstPort = 20000;
constexpr int ports = 12000;
constexpr int portStep = 2;
/** Spreads the ports of test programs that run at the same time. */
constexpr int portsPerProcess = 61;

Awaitable<void> receive(HttpConnectionPtr connection, CallerResponse &result)
{
    HttpReadResult<HttpResponseHead> head = co_await connection->readHead(false, responseTimeout);
    if (head.ioStatus != HttpIoStatus::Done) {
        co_return;
    }
    result.status = head.value.status;
    result.head = head.value;
    HttpReadResult<std::string> body = co_await connection->readBody(maxBody, responseTimeout);
    result.isComplete = body.ioStatus == HttpIoStatus::Done;
    result.body = body.value;
}

} // namespace

Awaitable<void> exchange(asio::any_io_executor executor, Address address, std::string text,
                         std::optional<CallerResponse> &received, DelayedText rest)
{
    const auto connection = std::make_shared<HttpConnection>(executor);
    const auto endpoint = toOutcome([&] { return parseEndpoint(address); });
    CallerResponse result;
    const HttpIoStatus connected =
            co_await connection->connect(std::get<asio::ip::tcp::endpoint>(endpoint), stepTimeout);
    if (connected == HttpIoStatus::Done) {
        // The timeout of a write ends only with the next operation.
        const Duration timeout = stepTimeout + rest.delay;
        co_await connection->send(std::move(text), timeout);
        if (!rest.text.empty()) {
            asio::steady_timer timer(executor, rest.delay);
            co_await timer.async_wait(asTuple);
            co_await connection->send(std::move(rest.text), stepTimeout);
        }
        co_await receive(connection, result);
    }
    received = result;
}

bool runUntil(asio::io_context &context, const std::function<bool()> &condition, Duration timeout)
{
    const Instant end = monotonicNow() + timeout;
    while (!condition()) {
        if (monotonicNow() > end) {
            return false;
        }
        context.restart();
        context.run_for(pollInterval);
    }
    return true;
}

int requestStatus(asio::io_context &context, const Address &address, const std::string &text,
                  Duration timeout)
{
    std::optional<CallerResponse> received;
    asio::co_spawn(context, exchange(context.get_executor(), address, text, received),
                   asio::detached);
    runUntil(context, [&] { return received.has_value(); }, timeout);
    return received ? received->status : 0;
}

Address freeAddress(asio::io_context &context)
{
    static int offset = ::getpid() * portsPerProcess % ports;
    for (int n = 0; n < ports; n += portStep) {
        offset = (offset + portStep) % ports;
        Address address("127.0.0.1:" + std::to_string(firstPort + offset));
        asio::ip::tcp::acceptor acceptor(context);
        const Result<void> opened = openAcceptor(acceptor, address);
        if (opened) {
            return address;
        }
    }
    throw std::runtime_error("no free port");
}

std::uint16_t portOf(const Address &address)
{
    return static_cast<std::uint16_t>(
            std::stoi(address.text().substr(address.text().rfind(':') + 1)));
}

} // namespace greengageseam
