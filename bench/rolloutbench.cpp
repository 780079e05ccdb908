#include "rolloutbench.h"

#include "core/weights/weights.h"
#include "net/clock.h"
#include "net/httpclient.h"
#include "protocol/jsontext.h"
#include "rolloutfleet.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <random>
#include <set>

namespace greengageseam {

namespace json = boost::json;

namespace {

constexpr auto requestTimeout = std::chrono::seconds(10);
constexpr auto readyTimeout = std::chrono::seconds(60);
constexpr auto rolloutTimeout = std::chrono::seconds(400);
constexpr auto pollInterval = std::chrono::milliseconds(100);
constexpr auto stabilizationTime = std::chrono::seconds(2);
constexpr auto baselineTime = std::chrono::seconds(5);
constexpr auto liveRequestPause = std::chrono::milliseconds(20);
constexpr std::size_t maxResponseBytes = 16U * 1024 * 1024;
constexpr std::size_t liveClients = 4;
constexpr std::size_t minLatencySamples = 20;
constexpr double microseconds = 1e6;
constexpr std::uint64_t megabyte = 1'000'000;
constexpr std::size_t firstVersionBytes = 65536;

double secondsOf(Duration duration)
{
    return static_cast<double>(duration.count()) / microseconds;
}

std::string randomBytes(std::uint64_t n, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::string bytes(n, '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(random());
    }
    return bytes;
}

/** @returns the 95th percentile; 0 if there are too few values */
double percentile95(std::vector<double> values)
{
    if (values.size() < minLatencySamples) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[values.size() * 95 / 100];
}

/**
 * Runs one rollout on its own fleet: deploys a small first version, measures the latency of live
 * requests, then rolls out the second version while the live requests continue.
 */
class Rollout
{
public:
    Rollout(asio::io_context &context, RolloutCase rolloutCase)
        : m_executor(context.get_executor()), m_case(std::move(rolloutCase)),
          m_fleet(m_executor, m_case)
    { }

    Awaitable<void> run()
    {
        m_firstManifest = co_await publish(firstVersionBytes, firstVersionBytes);
        const bool isUp = co_await deployFirstVersion();
        if (!isUp) {
            std::cout << json::serialize(json::object {{"case", name()}, {"error", "not ready"}})
                      << std::endl;
            std::cerr << m_fleet.lastLogLines();
            m_isFinished = true;
            co_return;
        }
        for (std::size_t n = 0; n < liveClients; ++n) {
            asio::co_spawn(m_executor, liveClient(n), asio::detached);
        }
        co_await sleepFor(stabilizationTime);
        m_latencies.clear();
        m_failedRequests = 0;
        const double cpuAtFirst = m_fleet.agentCpuSeconds();
        co_await sleepFor(baselineTime);
        const double cpuRate = (m_fleet.agentCpuSeconds() - cpuAtFirst) / secondsOf(baselineTime);
        const std::vector<double> before = std::exchange(m_latencies, {});
        m_secondManifest = co_await publish(m_case.bytes, m_case.chunkBytes);
        m_latencies.clear();
        const double originBefore = co_await originBytes();
        const double cpuBefore = m_fleet.agentCpuSeconds();
        m_startedAt = monotonicNow();
        co_await accept(versionEdits("v2", m_secondManifest, 0));
        co_await waitForRollout();
        const std::vector<double> during = std::exchange(m_latencies, {});
        const double cpu = m_fleet.agentCpuSeconds() - cpuBefore - cpuRate * m_secondsToAll;
        const double origin = co_await originBytes() - originBefore;
        const double upload = co_await largestUpload();
        print(before, during, cpu, origin, upload);
        m_isFinished = true;
    }

private:
    std::string name() const
    {
        return m_case.policy + "-" + std::to_string(m_case.originCopies) + "-"
                + std::to_string(m_case.replicas) + "-zones" + std::to_string(m_case.zones);
    }

    Awaitable<void> sleepFor(Duration time)
    {
        asio::steady_timer timer(m_executor, time);
        co_await timer.async_wait(asTuple);
    }

    Awaitable<std::string> sendRequest(Address address, HttpRequest request)
    {
        const Outcome<HttpResponse> answer =
                co_await callHttp(m_executor, address, request, requestTimeout, maxResponseBytes);
        const auto *response = std::get_if<HttpResponse>(&answer);
        co_return response == nullptr || response->status != 200 ? std::string() : response->body;
    }

    Awaitable<Digest> publish(std::uint64_t size, std::size_t chunkBytes)
    {
        const std::string bytes = randomBytes(size, size);
        std::vector<Chunk> chunks;
        for (std::size_t at = 0; at < bytes.size(); at += chunkBytes) {
            std::string part = bytes.substr(at, chunkBytes);
            chunks.push_back({digestOf(part), part.size()});
            HttpRequest put {"PUT", "/store/chunks/" + chunks.back().digest.text(), {}, part};
            co_await sendRequest(m_fleet.platform().httpAddress, std::move(put));
        }
        const Manifest manifest(chunks);
        HttpRequest put {
                "PUT", "/store/manifests/" + manifest.digest().text(), {}, manifest.text()};
        co_await sendRequest(m_fleet.platform().httpAddress, std::move(put));
        co_return manifest.digest();
    }

    std::vector<std::string> versionEdits(const std::string &version, const Digest &digest,
                                          int weight) const
    {
        const std::string path = "model/drafts/" + version + "/";
        std::vector<std::string> edits {path + "manifest=" + digest.text()};
        for (std::size_t n = 0; n < m_case.zones; ++n) {
            const std::string zone = m_fleet.entries()[n].zone.text();
            const std::size_t replicas = (m_case.replicas + m_case.zones - 1 - n) / m_case.zones;
            edits.push_back(path + "weight/zone/" + zone + "=" + std::to_string(weight));
            edits.push_back(path + "replicas/" + zone + "=" + std::to_string(replicas));
        }
        return edits;
    }

    Awaitable<bool> accept(std::vector<std::string> edits)
    {
        json::array array;
        for (const std::string &edit : edits) {
            const std::size_t n = edit.find('=');
            array.push_back(
                    json::object {{"path", edit.substr(0, n)}, {"value", edit.substr(n + 1)}});
        }
        HttpRequest request {"POST",
                             "/admin/v1/changes",
                             {{"Authorization", "Bearer " + benchToken}},
                             json::serialize(json::object {{"edits", array}})};
        const std::string answer =
                co_await sendRequest(m_fleet.entries()[0].httpAddress, std::move(request));
        co_return !answer.empty();
    }

    Awaitable<bool> deployFirstVersion()
    {
        std::vector<std::string> edits = versionEdits("v1", m_firstManifest, 1);
        edits.push_back("account/caps/key=" + digestOf("caps-key").text());
        edits.push_back("limit/origin-copies=" + std::to_string(m_case.originCopies));
        const Instant deadline = monotonicNow() + readyTimeout;
        bool isAccepted = false;
        while (!isAccepted && monotonicNow() < deadline) {
            co_await sleepFor(pollInterval);
            isAccepted = co_await accept(edits);
        }
        while (monotonicNow() < deadline) {
            const std::size_t n = co_await countServing(m_firstManifest);
            if (n == m_case.replicas) {
                co_return true;
            }
            co_await sleepFor(pollInterval);
        }
        co_return false;
    }

    Awaitable<std::size_t> countServing(Digest digest)
    {
        const auto replies = makeMailbox<bool>(m_executor, m_case.replicas);
        for (const FleetProcess &engine : m_fleet.engines()) {
            asio::co_spawn(m_executor, queryEngine(engine.httpAddress, digest, replies),
                           asio::detached);
        }
        std::size_t serving = 0;
        for (std::size_t n = 0; n < m_case.replicas; ++n) {
            const std::optional<bool> isServing = co_await replies->receive();
            serving += isServing.value_or(false) ? 1 : 0;
        }
        co_return serving;
    }

    Awaitable<void> queryEngine(Address engine, Digest digest, MailboxPtr<bool> reply)
    {
        HttpRequest request {"GET", "/state", {}, {}};
        const std::string text = co_await sendRequest(engine, std::move(request));
        const std::size_t serving = text.find("\"serving\":[");
        const std::size_t end = text.find(']', serving);
        const std::size_t at = text.find(digest.text(), serving);
        reply->post(serving != std::string::npos && at < end);
    }

    Awaitable<void> liveClient(std::size_t n)
    {
        const Address entry = m_fleet.entries()[n % m_case.zones].httpAddress;
        while (!m_isFinished) {
            HttpRequest request {"POST",
                                 "/v1/completions",
                                 {{"Authorization", "Bearer caps-key"}},
                                 R"({"model":"drafts","prompt":"two herons","max_tokens":16})"};
            const Instant start = monotonicNow();
            const std::string answer = co_await sendRequest(entry, std::move(request));
            m_failedRequests += answer.empty() ? 1 : 0;
            m_latencies.push_back(secondsOf(monotonicNow() - start));
            co_await sleepFor(liveRequestPause);
        }
    }

    /** Records when half and all of the replicas serve the second version. */
    Awaitable<void> waitForRollout()
    {
        while (monotonicNow() - m_startedAt < rolloutTimeout) {
            const std::size_t n = co_await countServing(m_secondManifest);
            const double elapsed = secondsOf(monotonicNow() - m_startedAt);
            if (m_secondsToHalf == 0 && n * 2 >= m_case.replicas) {
                m_secondsToHalf = elapsed;
            }
            if (n == m_case.replicas) {
                m_secondsToAll = elapsed;
                co_return;
            }
            co_await sleepFor(pollInterval);
        }
    }

    Awaitable<double> originBytes()
    {
        HttpRequest request {"GET", "/counts", {}, {}};
        const std::string text =
                co_await sendRequest(m_fleet.platform().secondAddress, std::move(request));
        const json::object counts = json::parse(text).as_object();
        co_return counts.at("originBytes").to_number<double>();
    }

    Awaitable<double> largestUpload()
    {
        double largest = 0;
        m_haveMessagesSent = 0;
        for (const FleetProcess &agent : m_fleet.agents()) {
            HttpRequest request {"GET", "/metrics", {}, {}};
            const std::string text = co_await sendRequest(agent.httpAddress, std::move(request));
            largest = std::max(largest, valueOf(text, "greengageseam_weight_bytes_served_total"));
            m_haveMessagesSent += valueOf(text, "greengageseam_weight_have_sent_total");
        }
        co_return largest;
    }

    static double valueOf(const std::string &text, const std::string &metric)
    {
        const std::size_t at = text.find("\n" + metric + " ");
        return at == std::string::npos ? 0 : std::stod(text.substr(at + metric.size() + 2));
    }

    /**
     * @returns the lower bound of the rollout's time in seconds: one copy over a machine's link, or
     *          over the links from all other zones together, whichever takes longer
     */
    double lowerBound() const
    {
        const auto bytes = static_cast<double>(m_case.bytes);
        const double machine = bytes / static_cast<double>(m_case.linkRate);
        if (m_case.zones == 1) {
            return machine;
        }
        const auto otherZones = static_cast<double>(m_case.zones - 1);
        return std::max(machine, bytes / otherZones / m_case.zoneLink.bytesPerSecond);
    }

    void print(const std::vector<double> &before, const std::vector<double> &during, double cpu,
               double origin, double upload) const
    {
        const auto bytes = static_cast<double>(m_case.bytes);
        const double baseline = percentile95(before);
        const double moved = bytes * static_cast<double>(m_case.replicas);
        const std::uint64_t chunkCount = m_case.bytes / m_case.chunkBytes;
        const auto chunks = static_cast<double>(chunkCount);
        const json::object line {
                {"policy", m_case.policy},
                {"origin_copies_allowed", m_case.originCopies},
                {"replicas", m_case.replicas},
                {"zones", m_case.zones},
                {"bytes", m_case.bytes},
                {"chunk_bytes", m_case.chunkBytes},
                {"seconds_to_half", m_secondsToHalf},
                {"seconds_to_all", m_secondsToAll},
                {"origin_copies", origin / bytes},
                {"max_upload_copies", upload / bytes},
                {"lower_bound_seconds", lowerBound()},
                {"ratio_to_bound", m_secondsToAll / lowerBound()},
                {"live_p95_ratio", baseline > 0 ? percentile95(during) / baseline : 0},
                {"live_p95_ms", baseline * 1000},
                {"live_failed", m_failedRequests},
                {"agent_cpu_seconds_per_gb", cpu / moved * 1e9},
                {"largest_agent_bytes", m_fleet.maxAgentResidentBytes()},
                {"have_messages_per_chunk_and_agent",
                 m_haveMessagesSent / static_cast<double>(m_case.replicas) / chunks}};
        std::cout << json::serialize(line) << std::endl;
    }

    asio::any_io_executor m_executor;
    RolloutCase m_case;
    RolloutFleet m_fleet;
    Digest m_firstManifest;
    Digest m_secondManifest;
    Instant m_startedAt;
    double m_secondsToHalf = 0;
    double m_secondsToAll = 0;
    double m_haveMessagesSent = 0;
    std::uint64_t m_failedRequests = 0;
    std::vector<double> m_latencies;
    bool m_isFinished = false;
};

RolloutCase singleZoneCase(const std::string &policy, std::uint32_t originCopies,
                           std::size_t replicas)
{
    RolloutCase rolloutCase;
    rolloutCase.policy = policy;
    rolloutCase.originCopies = originCopies;
    rolloutCase.replicas = replicas;
    rolloutCase.bytes = 32 * megabyte;
    rolloutCase.chunkBytes = 128'000;
    rolloutCase.linkRate = 2 * megabyte;
    rolloutCase.originRate = 4 * rolloutCase.linkRate;
    return rolloutCase;
}

RolloutCase threeZoneCase(const std::string &policy, std::uint32_t originCopies,
                          std::size_t replicas)
{
    RolloutCase rolloutCase = singleZoneCase(policy, originCopies, replicas);
    rolloutCase.zones = 3;
    rolloutCase.bytes = 16 * megabyte;
    rolloutCase.chunkBytes = 64'000;
    rolloutCase.zoneLink = {static_cast<double>(rolloutCase.linkRate) / 10,
                            std::chrono::microseconds(3500), 0.01};
    return rolloutCase;
}

std::vector<RolloutCase> allCases()
{
    std::vector<RolloutCase> cases;
    for (const std::size_t replicas : {4, 16, 48}) {
        cases.push_back(singleZoneCase("swarm", 1, replicas));
        cases.push_back(singleZoneCase("swarm", 4, replicas));
        cases.push_back(singleZoneCase("naive", 1, replicas));
        cases.push_back(singleZoneCase("tree", 1, replicas));
    }
    for (const std::size_t replicas : {6, 12, 48}) {
        cases.push_back(threeZoneCase("swarm", 1, replicas));
        cases.push_back(threeZoneCase("swarm", 4, replicas));
    }
    cases.push_back(threeZoneCase("naive", 1, 6));
    return cases;
}

std::string nameOf(const RolloutCase &rolloutCase)
{
    return rolloutCase.policy + "-" + std::to_string(rolloutCase.originCopies) + "-"
            + std::to_string(rolloutCase.replicas) + "-zones" + std::to_string(rolloutCase.zones);
}

void runCase(const RolloutCase &rolloutCase)
{
    asio::io_context context(1);
    Rollout rollout(context, rolloutCase);
    asio::co_spawn(context, rollout.run(), [&](const std::exception_ptr &error) {
        context.stop();
        if (error) {
            std::rethrow_exception(error);
        }
    });
    context.run();
}

} // namespace

int runRolloutBench(const std::vector<std::string> &arguments)
{
    bool isQuick = false;
    std::string nameFilter;
    for (const std::string &argument : arguments) {
        isQuick = isQuick || argument == "--quick";
        nameFilter = argument.starts_with("--only=") ? argument.substr(argument.find('=') + 1)
                                                     : nameFilter;
    }
    for (const RolloutCase &rolloutCase : allCases()) {
        const bool isSmall = rolloutCase.replicas <= 6;
        if ((isSmall || !isQuick) && nameOf(rolloutCase).find(nameFilter) != std::string::npos) {
            runCase(rolloutCase);
        }
    }
    return 0;
}

} // namespace greengageseam
