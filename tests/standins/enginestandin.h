/**
 * Stand-in for a model engine. It loads versions, generates tokens at a constant rate, and counts
 * how often it executed each attempt.
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

/** Behaviour of an engine stand-in. */
struct EngineOptions
{
    /** Whether orders with an outdated fencing number are rejected. */
    bool checksFence = true;
    /** Number of versions that can be loaded at the same time. */
    std::uint32_t slots = 2;
    /** Number of requests that can run at the same time; further ones are rejected. */
    std::uint32_t batch = 64;
    /** Time between two tokens of a request. */
    Duration tokenTime = std::chrono::milliseconds(2);
    /** Time to load a version after its weights have been read. */
    Duration loadTime = std::chrono::milliseconds(50);

    auto operator<=>(const EngineOptions &) const = default;
};

/** An engine stand-in. Must be created with std::make_shared. */
class EngineStandin : public std::enable_shared_from_this<EngineStandin>
{
public:
    EngineStandin(const asio::any_io_executor &executor, EngineOptions options);

    /** Handles a request from the agent. */
    Awaitable<void> handle(HttpExchange &exchange);
    /** Handles a request on the admin port: injects faults, or returns the counters. */
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
    /** Increases with each simulated restart; work of an earlier generation is aborted. */
    std::uint64_t m_generation = 0;
    /** Number of executions of each attempt. */
    std::map<std::string, std::uint32_t> m_runs;
    std::vector<std::uint64_t> m_acceptedFences;
    std::uint64_t m_ordersRefused = 0;
    std::uint64_t m_loadsFailed = 0;
};

} // namespace greengageseam
