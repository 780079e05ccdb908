#include "faults.h"

#include <boost/asio/this_coro.hpp>

namespace greengageseam {

namespace {

constexpr auto freezePoll = std::chrono::milliseconds(10);

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
        next.answersToLose = value->to_number<std::uint32_t>();
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
        timer.expires_after(freezePoll);
        co_await timer.async_wait(asTuple);
    }
}

Awaitable<void> answerUnderFaults(HttpExchange &exchange, Faults &faults, AnswerRequest answer)
{
    if (faults.outage) {
        exchange.breakOff();
        co_return;
    }
    if (faults.delay > Duration::zero()) {
        asio::steady_timer timer(co_await asio::this_coro::executor, faults.delay);
        co_await timer.async_wait(asTuple);
    }
    co_await waitWhileFrozen(faults);
    HttpResponse response = co_await answer(exchange.request());
    if (faults.answersToLose > 0) {
        --faults.answersToLose;
        exchange.breakOff();
        co_return;
    }
    co_await exchange.respond(std::move(response));
}

HttpResponse jsonAnswer(const boost::json::object &object, int status)
{
    return {status, "application/json", {}, boost::json::serialize(object) + "\n"};
}

} // namespace greengageseam
