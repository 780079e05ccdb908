#include "streamstandin.h"

#include "net/clock.h"

#include <algorithm>
#include <map>

namespace greengageseam {

std::size_t SendLog::countOf(const std::string &requestId) const
{
    return static_cast<std::size_t>(
            std::count_if(sends.begin(), sends.end(),
                          [&](const ReceivedSend &send) { return send.requestId == requestId; }));
}

std::size_t SendLog::resentRequests() const
{
    std::map<std::string, std::size_t> counts;
    for (const ReceivedSend &send : sends) {
        ++counts[send.requestId];
    }
    return static_cast<std::size_t>(std::count_if(
            counts.begin(), counts.end(), [](const auto &count) { return count.second > 1; }));
}

StreamStandin::StreamStandin(const asio::any_io_executor &executor,
                             std::shared_ptr<SendLog> sendLog, ChooseScript chooseScript,
                             const Log &log)
    : m_executor(executor), m_sendLog(std::move(sendLog)), m_chooseScript(std::move(chooseScript))
{
    m_server = std::make_shared<HttpServer>(
            executor, HttpServerOptions(), makeUnlimitedBudget(log),
            [this](HttpExchange &exchange) { return handle(exchange); }, log);
    const auto bound = toOutcome([&] { return m_server->listen(Address("127.0.0.1:0")); });
    m_address = std::get<Address>(bound);
    m_server->start();
}

Awaitable<void> StreamStandin::handle(HttpExchange &exchange)
{
    using namespace asio::experimental::awaitable_operators;
    const std::string id = exchange.request().header("Attempt-Id").value_or(std::string());
    const StreamScript script = m_chooseScript(id, m_sendLog->countOf(id));
    const std::size_t send = m_sendLog->sends.size();
    m_sendLog->sends.push_back({id, {}, {}});
    ++m_requests;
    const auto ended = co_await (play(exchange, script, send) || exchange.waitForDisconnect());
    if (ended.index() == 1) {
        m_sendLog->sends[send].closedAt = monotonicNow();
    }
}

Awaitable<void> StreamStandin::play(HttpExchange &exchange, StreamScript script, std::size_t send)
{
    Timer timer(m_executor, script.headDelay);
    co_await timer.async_wait(asTuple);
    HttpResponse rejection {503, "text/plain", {{"Not-Executed", "1"}}, {}};
    if (script.isRejected) {
        co_await exchange.respond(std::move(rejection));
        co_return;
    }
    HttpResponse head {200, "text/event-stream", {{"Server-Seal", "s"}}, {}};
    head.headers.push_back({"Attempt-Id", m_sendLog->sends[send].requestId});
    co_await exchange.beginStream(std::move(head));
    const std::string last = exchange.request().header("Last-Event-Id").value_or(std::string("0"));
    for (std::uint64_t id = std::stoull(last) + 1; id <= script.events; ++id) {
        timer.expires_after(id == script.pausesBefore ? script.pause : script.interval);
        co_await timer.async_wait(asTuple);
        if (id == script.breaksBefore) {
            exchange.abort();
            co_return;
        }
        std::string event = "id: " + std::to_string(id)
                + "\ndata: " + std::string(script.eventBytes, 'p') + "\n\n";
        co_await exchange.sendPart(std::move(event));
        std::optional<Instant> &firstEventAt = m_sendLog->sends[send].firstEventAt;
        firstEventAt = firstEventAt.value_or(monotonicNow());
    }
    co_await exchange.endStream();
}

} // namespace greengageseam
