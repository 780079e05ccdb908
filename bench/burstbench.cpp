/**
 * Runs one entry, four agents and four engines as real processes on loopback. The load is
 * open-loop: requests are sent at their scheduled times whether or not earlier ones have been
 * answered. A response counts as good if it is complete and its first token arrived within the
 * target time.
 */
#include "burstbench.h"

#include "core/common/hashing.h"
#include "fleet.h"
#include "net/clock.h"
#include "net/httpclient.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <iostream>
#include <random>

namespace greengageseam {

namespace {

namespace json = boost::json;

constexpr int engines = 4;
constexpr int slotsPerEngine = 8;
constexpr int tokens = 20;
constexpr int tokenMicroseconds = 10'000;
/** Requests per second that the engines can serve. */
constexpr double capacity = engines * slotsPerEngine * 1e6 / (tokens * tokenMicroseconds);
constexpr double caseSeconds = 6;
constexpr auto requestTimeout = std::chrono::seconds(20);
constexpr auto firstTokenTarget = std::chrono::milliseconds(1100);
constexpr std::uint64_t seed = 20261204;

/** Numbers of requests of one case by their outcome. */
struct BurstCounters
{
    std::uint32_t sent = 0;
    std::uint32_t ended = 0;
    std::uint32_t good = 0;
    std::uint32_t late = 0;
    std::uint32_t refused = 0;
    std::uint32_t failed = 0;
    /** Time to first token of each complete response, in seconds. */
    std::vector<double> firstToken;
};

/** The processes of the benchmark, with one setting of the maximum queue time. */
class BurstFleet
{
public:
    explicit BurstFleet(const std::string &longestWait)
    {
        m_fleet.startPlatform();
        m_fleet.startEntry("entry", "fyn", {"--longest-wait=" + longestWait});
        for (int n = 0; n < engines; ++n) {
            const std::string number = std::to_string(n);
            m_fleet.startEngine("engine" + number,
                                {"--batch=" + std::to_string(slotsPerEngine),
                                 "--token-us=" + std::to_string(tokenMicroseconds)});
            m_fleet.startAgent("agent" + number, "fyn", "engine" + number);
        }
    }

    /** Publishes a version, and waits until all engines serve it. @returns false on a timeout */
    bool prepare()
    {
        if (!waitUntil([&] { return m_fleet.isReady("entry"); })) {
            return false;
        }
        const Digest manifest = m_fleet.publish(std::string(100'000, 'w'), 65'536);
        const int status = m_fleet.accept(
                "entry",
                {"model/drafts/v1/manifest=" + manifest.text(), "model/drafts/v1/weight/zone/fyn=1",
                 "model/drafts/v1/replicas/fyn=" + std::to_string(engines),
                 "account/caps/key=" + digestOf("caps-key").text()});
        return status == 200 && waitUntil([&] {
                   const auto report = json::serialize(m_fleet.report("entry"));
                   const std::string all = "\"serving\":" + std::to_string(engines);
                   return report.find(all) != std::string::npos && isServing();
               });
    }

    Address entry() const { return m_fleet.addresses("entry").http; }

private:
    bool isServing() const
    {
        const auto answer =
                m_fleet.call("entry", "/v1/completions",
                             R"({"model":"drafts","prompt":"x","max_tokens":1})", "caps-key");
        const auto *response = std::get_if<HttpResponse>(&answer);
        return response != nullptr && response->status == 200;
    }

    Fleet m_fleet;
};

/** Sends one request, and counts it by its outcome. */
Awaitable<void> sendRequest(asio::any_io_executor executor, Address entry,
                            std::shared_ptr<BurstCounters> counters)
{
    const json::object body {
            {"model", "drafts"}, {"prompt", "herons"}, {"max_tokens", tokens}, {"stream", true}};
    const HttpRequest request {
            "POST",
            "/v1/completions",
            {{"Authorization", "Bearer caps-key"}, {"Content-Type", "application/json"}},
            json::serialize(body)};
    const Instant start = monotonicNow();
    HttpCall call(executor);
    const Outcome<HttpCallHead> head = co_await call.start(entry, request, requestTimeout);
    ++counters->ended;
    const auto *answer = std::get_if<HttpCallHead>(&head);
    if (answer == nullptr || answer->status != 200) {
        const bool isRefused = answer != nullptr && answer->status == 503;
        ++(isRefused ? counters->refused : counters->failed);
        co_return;
    }
    Instant first {};
    while (true) {
        const Outcome<HttpBodyPart> part = co_await call.readBodyPart(requestTimeout);
        if (failureOf(part) != nullptr) {
            ++counters->failed;
            co_return;
        }
        first = first == Instant() ? monotonicNow() : first;
        if (std::get<HttpBodyPart>(part).isLast) {
            break;
        }
    }
    ++(first - start <= firstTokenTarget ? counters->good : counters->late);
    counters->firstToken.push_back(std::chrono::duration<double>(first - start).count());
}

Awaitable<void> sendRequests(asio::any_io_executor executor, Address entry, double perSecond,
                             std::shared_ptr<BurstCounters> counters)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(perSecond);
    asio::steady_timer timer(executor);
    Instant nextSendAt = monotonicNow();
    const Instant end = nextSendAt + Duration(static_cast<Duration::rep>(caseSeconds * 1e6));
    while (nextSendAt < end) {
        timer.expires_after(std::max<Duration>(nextSendAt - monotonicNow(), Duration::zero()));
        co_await timer.async_wait(asTuple);
        ++counters->sent;
        asio::co_spawn(executor, sendRequest(executor, entry, counters), asio::detached);
        nextSendAt += Duration(static_cast<Duration::rep>(gap(random) * 1e6));
    }
}

/** Runs one load and prints its result. @returns the goodput in requests per second */
double runCase(const std::string &name, const Address &entry, double load)
{
    asio::io_context context(1);
    const auto counters = std::make_shared<BurstCounters>();
    asio::co_spawn(context, sendRequests(context.get_executor(), entry, capacity * load, counters),
                   asio::detached);
    context.run();
    std::sort(counters->firstToken.begin(), counters->firstToken.end());
    const auto n = static_cast<double>(counters->firstToken.size());
    const double p95 = counters->firstToken.empty()
            ? 0
            : counters->firstToken[static_cast<std::size_t>(n * 0.95)];
    const double goodput = counters->good / caseSeconds;
    const json::object line {{"bench", "burst"},
                             {"admission", name},
                             {"load", load},
                             {"sent", counters->sent},
                             {"goodput_per_s", std::round(goodput * 10) / 10},
                             {"good", counters->good},
                             {"late", counters->late},
                             {"refused", counters->refused},
                             {"failed", counters->failed},
                             {"p95_first_token_ms", std::round(p95 * 1000)}};
    std::cout << json::serialize(line) << std::endl;
    return goodput;
}

} // namespace

bool runBurstBench()
{
    bool isGoodputSustained = true;
    for (const auto &[name, longestWait] :
         {std::pair("early", "500"), std::pair("never-early", "60000")}) {
        BurstFleet fleet(longestWait);
        if (!fleet.prepare()) {
            std::cerr << "burst: the fleet did not become ready in time\n";
            return false;
        }
        std::map<double, double> goodput;
        for (const double load : {0.5, 1.0, 2.0, 4.0}) {
            goodput[load] = runCase(name, fleet.entry(), load);
        }
        const double ratio = goodput[4.0] / std::max(goodput[1.0], 1.0);
        const json::object line {{"bench", "burst"},
                                 {"admission", name},
                                 {"goodput_4_over_1", std::round(ratio * 1000) / 1000}};
        std::cout << json::serialize(line) << std::endl;
        isGoodputSustained = isGoodputSustained && (std::string(name) != "early" || ratio >= 0.95);
    }
    return isGoodputSustained;
}

} // namespace greengageseam
