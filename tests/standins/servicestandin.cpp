#include "servicestandin.h"

namespace greengageseam {

Awaitable<void> ServiceStandin::handle(HttpExchange &exchange)
{
    co_await respondUnderFaults(exchange, m_faults,
                                [this](const HttpRequest &request) { return run(request); });
}

Awaitable<void> ServiceStandin::handleAdmin(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    HttpResponse response = jsonResponse({{"set", true}});
    if (request.path() == "/faults") {
        m_faults = m_faults.with(boost::json::parse(request.body).as_object());
    } else {
        boost::json::object runs;
        for (const auto &[body, n] : m_runs) {
            runs[body] = n;
        }
        response = jsonResponse({{"runs", std::move(runs)}});
    }
    co_await exchange.respond(std::move(response));
}

Awaitable<HttpResponse> ServiceStandin::run(const HttpRequest &request)
{
    const std::uint32_t n = ++m_runs[request.body];
    co_return jsonResponse({{"method", request.method},
                            {"path", request.target},
                            {"echo", request.body},
                            {"runs", n}});
}

} // namespace greengageseam
