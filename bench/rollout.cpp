#include "rollout.h"

#include "core/weights/weights.h"
#include "net/clock.h"
#include "net/httpclient.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <random>
#include <utility>

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
constexpr std::size_t firstVersionBytes = 65536;

std::string randomBytes(std::uint64_t n, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::string bytes(n, '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(random());
    }
    return bytes;
}

/** @returns the value of a metric in the text of `/metrics`; 0 if it is missing */
double valueOf(const std::string &text, const std::string &metric)
{
    const std::size_t at = text.find("\n" + metric + " ");
    return at == std::string::npos ? 0 : std::stod(text.substr(at + metric.size() + 2));
}

} // namespace

Rollout::Rollout(const asio::any_io_executor &executor, RolloutCase rolloutCase)
    : m_executor(executor), m_case(std::move(rolloutCase)), m_fleet(m_executor, m_case)
{ }

Awaitable<void> Rollout::run()
{
    m_firstManifest = co_await publish(firstVersionBytes, firstVersionBytes);
    const bool isUp = co_await deployFirstVersion();
    if (!isUp) {
        std::cout << json::serialize(
                json::object {{"case", nameOf(m_case)}, {"error", "not ready"}})
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
    m_result.failedRequests = 0;
    const double cpuAtFirst = m_fleet.agentCpuSeconds();
    co_await sleepFor(baselineTime);
    const double cpuRate = (m_fleet.agentCpuSeconds() - cpuAtFirst) / secondsOf(baselineTime);
    m_result.latenciesBefore = std::exchange(m_latencies, {});
    m_secondManifest = co_await publish(m_case.bytes, m_case.chunkBytes);
    m_latencies.clear();
    const double originBefore = co_await originBytes();
    const double cpuBefore = m_fleet.agentCpuSeconds();
    m_startedAt = monotonicNow();
    co_await accept(versionEdits("v2", m_secondManifest, 0));
    co_await waitForRollout();
    m_result.latenciesDuring = std::exchange(m_latencies, {});
    m_result.agentCpuSeconds =
            m_fleet.agentCpuSeconds() - cpuBefore - cpuRate * m_result.secondsToAll;
    m_result.originBytes = co_await originBytes() - originBefore;
    co_await readAgentMetrics();
    m_result.maxAgentResidentBytes = m_fleet.maxAgentResidentBytes();
    std::cout << json::serialize(describe(m_case, m_result)) << std::endl;
    m_isFinished = true;
}

Awaitable<void> Rollout::sleepFor(Duration time)
{
    asio::steady_timer timer(m_executor, time);
    co_await timer.async_wait(asTuple);
}

Awaitable<std::string> Rollout::sendRequest(Address address, HttpRequest request)
{
    const Outcome<HttpResponse> answer =
            co_await callHttp(m_executor, address, request, requestTimeout, maxResponseBytes);
    const auto *response = std::get_if<HttpResponse>(&answer);
    co_return response == nullptr || response->status != 200 ? std::string() : response->body;
}

Awaitable<Digest> Rollout::publish(std::uint64_t size, std::size_t chunkBytes)
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
    HttpRequest put {"PUT", "/store/manifests/" + manifest.digest().text(), {}, manifest.text()};
    co_await sendRequest(m_fleet.platform().httpAddress, std::move(put));
    co_return manifest.digest();
}

std::vector<std::string> Rollout::versionEdits(const std::string &version, const Digest &digest,
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

Awaitable<bool> Rollout::accept(std::vector<std::string> edits)
{
    json::array array;
    for (const std::string &edit : edits) {
        const std::size_t n = edit.find('=');
        array.push_back(json::object {{"path", edit.substr(0, n)}, {"value", edit.substr(n + 1)}});
    }
    HttpRequest request {"POST",
                         "/admin/v1/changes",
                         {{"Authorization", "Bearer " + benchToken}},
                         json::serialize(json::object {{"edits", array}})};
    const std::string answer =
            co_await sendRequest(m_fleet.entries()[0].httpAddress, std::move(request));
    co_return !answer.empty();
}

Awaitable<bool> Rollout::deployFirstVersion()
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

Awaitable<std::size_t> Rollout::countServing(Digest digest)
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

Awaitable<void> Rollout::queryEngine(Address engine, Digest digest, MailboxPtr<bool> reply)
{
    HttpRequest request {"GET", "/state", {}, {}};
    const std::string text = co_await sendRequest(engine, std::move(request));
    const std::size_t serving = text.find("\"serving\":[");
    const std::size_t end = text.find(']', serving);
    const std::size_t at = text.find(digest.text(), serving);
    reply->post(serving != std::string::npos && at < end);
}

Awaitable<void> Rollout::liveClient(std::size_t n)
{
    const Address entry = m_fleet.entries()[n % m_case.zones].httpAddress;
    while (!m_isFinished) {
        HttpRequest request {"POST",
                             "/v1/completions",
                             {{"Authorization", "Bearer caps-key"}},
                             R"({"model":"drafts","prompt":"two herons","max_tokens":16})"};
        const Instant start = monotonicNow();
        const std::string answer = co_await sendRequest(entry, std::move(request));
        m_result.failedRequests += answer.empty() ? 1 : 0;
        m_latencies.push_back(secondsOf(monotonicNow() - start));
        co_await sleepFor(liveRequestPause);
    }
}

/** Records when half and all of the replicas serve the second version. */
Awaitable<void> Rollout::waitForRollout()
{
    while (monotonicNow() - m_startedAt < rolloutTimeout) {
        const std::size_t n = co_await countServing(m_secondManifest);
        const double elapsed = secondsOf(monotonicNow() - m_startedAt);
        if (m_result.secondsToHalf == 0 && n * 2 >= m_case.replicas) {
            m_result.secondsToHalf = elapsed;
        }
        if (n == m_case.replicas) {
            m_result.secondsToAll = elapsed;
            co_return;
        }
        co_await sleepFor(pollInterval);
    }
}

Awaitable<double> Rollout::originBytes()
{
    HttpRequest request {"GET", "/counts", {}, {}};
    const std::string text =
            co_await sendRequest(m_fleet.platform().secondAddress, std::move(request));
    const json::object counts = json::parse(text).as_object();
    co_return counts.at("originBytes").to_number<double>();
}

/** Reads how much each agent has sent to others. */
Awaitable<void> Rollout::readAgentMetrics()
{
    m_result.largestUpload = 0;
    m_result.haveMessagesSent = 0;
    for (const FleetProcess &agent : m_fleet.agents()) {
        HttpRequest request {"GET", "/metrics", {}, {}};
        const std::string text = co_await sendRequest(agent.httpAddress, std::move(request));
        m_result.largestUpload = std::max(m_result.largestUpload,
                                          valueOf(text, "greengageseam_weight_bytes_served_total"));
        m_result.haveMessagesSent += valueOf(text, "greengageseam_weight_have_sent_total");
    }
}

} // namespace greengageseam
