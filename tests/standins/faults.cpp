#include "faults.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace greengageseam {

namespace {

constexpr auto freezePollInterval = std::chrono::milliseconds(10);

} // namespace

Faults Faults::with(const boost::json::object &object) const
{
    Faults next = *this;
    if (const auto *value = object.if_contains("outage")) {
        next.outage = value->as_bool();
    }
    if (const auto *value = object.if_contains("delayMs")) {
        next.delay = std::chrono::milliseconds(value->to_number<std::uint32_t>());
    }
    if (const auto *value = object.if_contains("loseAnswers")) {
        next.responsesToDrop = value->to_number<std::uint32_t>();
    }
    if (const auto *value = object.if_contains("corruptChunks")) {
        next.chunksToCorrupt = value->to_number<std::uint32_t>();
    }
    if (const auto *value = object.if_contains("freeze")) {
        next.freeze = value->as_bool();
    }
    return next;
}

Awaitable<void> waitWhileFrozen(const Faults &faults)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (faults.freeze) {
        timer.expires_after(freezePollInterval);
        co_await timer.async_wait(asTuple);
    }
}

Awaitable<void> respondUnderFaults(HttpExchange &exchange, Faults &faults,
                                   MakeResponse makeResponse)
{
    if (faults.outage) {
        exchange.abort();
        co_return;
    }
    if (faults.delay > Duration::zero()) {
        asio::steady_timer timer(co_await asio::this_coro::executor, faults.delay);
        co_await timer.async_wait(asTuple);
    }
    co_await waitWhileFrozen(faults);
    HttpResponse response = co_await makeResponse(exchange.request());
    if (faults.responsesToDrop > 0) {
        --faults.responsesToDrop;
        exchange.abort();
        co_return;
    }
    co_await exchange.respond(std::move(response));
}

HttpResponse jsonResponse(const boost::json::object &object, int status)
{
    return {status, "application/json", {}, boost::json::serialize(object) + "\n"};
}

} // namespace greengageseam
