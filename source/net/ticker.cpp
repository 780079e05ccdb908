#include "net/ticker.h"

#include "net/mailbox.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

Awaitable<void> tick(asio::any_io_executor executor, Duration period, OnTick onTick)
{
    Timer timer(executor);
    while (onTick()) {
        timer.expires_after(period);
        co_await timer.async_wait(asTuple);
    }
}

} // namespace

void startTicker(const asio::any_io_executor &executor, Duration period, OnTick onTick)
{
    asio::co_spawn(executor, tick(executor, period, std::move(onTick)), asio::detached);
}

} // namespace greengageseam
