/**
 * Stand-in for a model engine: loads versions, makes tokens at a steady pace, counts what it ran.
 */
#pragma once

#include "core/common/common.h"
#include "faults.h"
#include "net/httpserver.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace greengageseam {

/** How an engine behaves. */
struct EngineOptions
{
    /** Whether an order with an old fencing number is refused. */
    bool checksFence = true;
    /** How many versions it has room for. */
    std::uint32_t slots = 2;
    /** How many requests it runs at a time; further ones are refused. */
    std::uint32_t batch = 64;
    /** Time between two tokens of a request. */
    Duration tokenTime = std::chrono::milliseconds(2);
    /** Time to load a version once its weights are read. */
    Duration loadTime = std::chrono::milliseconds(50);

    auto operator<=>(const EngineOptions &) const = default;
};

/** One engine. */
class EngineStandin : public std::enable_shared_from_this<EngineStandin>
{
public:
    EngineStandin(const asio::any_io_executor &executor, EngineOptions options);

    /** Answers a request of the agent. */
    Awaitable<void> handle(HttpExchange &exchange);
    /** Answers a request on the admin port. */
    Awaitable<void> handleAdmin(HttpExchange &exchange);

private:
    Awaitable<HttpResponse> answerControl(const HttpRequest &request);
    HttpResponse applyOrder(const HttpRequest &request);
    HttpResponse state() const;
    Awaitable<void> load(Digest manifest, Address source);
    Awaitable<bool> readWeights(Digest manifest, Address source);
    Awaitable<void> generate(HttpExchange &exchange);
    Awaitable<void> streamTokens(HttpExchange &exchange, const std::string &digest,
                                 const std::string &echo, std::uint64_t tokens);

    asio::any_io_executor m_executor;
    EngineOptions m_options;
    Faults m_faults;
    std::set<Digest> m_serving;
    std::set<Digest> m_loading;
    std::uint64_t m_fence = 0;
    std::uint32_t m_running = 0;
    /** Rises with each restart; work of an earlier life breaks off. */
    std::uint64_t m_generation = 0;
    /** How often each attempt was run. */
    std::map<std::string, std::uint32_t> m_runs;
    std::vector<std::uint64_t> m_acceptedFences;
    std::uint64_t m_ordersRefused = 0;
    std::uint64_t m_loadsFailed = 0;
};

} // namespace greengageseam
