#include "proxybench.h"

#include "core/common/hashing.h"
#include "fleet.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <mutex>
#include <thread>

namespace greengageseam {

namespace {

constexpr int requestsPerRound = 1500;
constexpr int rounds = 4;
constexpr std::size_t weightBytes = 100'000;
constexpr std::size_t chunkBytes = 65'536;

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;

/** A request, and the address to send it to. */
struct Target
{
    Address address;
    HttpRequest request;
};

/** Measurements of one target. */
struct Samples
{
    std::vector<double> milliseconds;
    double seconds = 0;
    int failures = 0;
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto n = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + n, values.end());
    return values[static_cast<std::size_t>(n)];
}

/**
 * Sends requests from concurrent callers, each of which waits for a response before the next
 * request.
 */
void measure(const Target &target, int callers, Samples &samples)
{
    std::mutex mutex;
    std::vector<std::thread> threads;
    const auto startedAt = Clock::now();
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&] {
            std::vector<double> latencies;
            int failures = 0;
            for (int n = 0; n < requestsPerRound / callers; ++n) {
                const auto sentAt = Clock::now();
                const Outcome<HttpResponse> answer = callOnce(target.address, target.request);
                const auto *response = std::get_if<HttpResponse>(&answer);
                failures += response == nullptr || response->status != 200;
                latencies.push_back(Milliseconds(Clock::now() - sentAt).count());
            }
            const std::lock_guard lock(mutex);
            samples.failures += failures;
            samples.milliseconds.insert(samples.milliseconds.end(), latencies.begin(),
                                        latencies.end());
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    samples.seconds += std::chrono::duration<double>(Clock::now() - startedAt).count();
}

void printCase(int callers, const Samples &direct, const Samples &proxied)
{
    const auto rate = [](const Samples &samples) {
        return static_cast<double>(samples.milliseconds.size()) / samples.seconds;
    };
    const auto added = [&](double share) {
        return quantile(proxied.milliseconds, share) - quantile(direct.milliseconds, share);
    };
    const boost::json::object line {{"bench", "proxy"},
                                    {"callers", callers},
                                    {"requests", proxied.milliseconds.size()},
                                    {"failures", proxied.failures + direct.failures},
                                    {"requestsPerSecond", rate(proxied)},
                                    {"directRequestsPerSecond", rate(direct)},
                                    {"addedMedianMs", added(0.5)},
                                    {"added95Ms", added(0.95)},
                                    {"directMedianMs", quantile(direct.milliseconds, 0.5)},
                                    {"direct95Ms", quantile(direct.milliseconds, 0.95)}};
    std::cout << boost::json::serialize(line) << std::endl;
}

} // namespace

int runProxyBench()
{
    Fleet fleet;
    fleet.startPlatform();
    fleet.startEngine("engine", {"--token-us=100", "--batch=512"});
    fleet.startEntry("entry", "fyn", {"--log-level=warning"});
    fleet.startAgent("agent", "fyn", "engine", {"--log-level=warning"});
    const Digest manifest = fleet.publish(std::string(weightBytes, 'w'), chunkBytes);
    waitUntil([&] { return fleet.isReady("entry"); });
    fleet.accept("entry",
                 {"model/drafts/v1/manifest=" + manifest.text(),
                  "model/drafts/v1/weight/zone/fyn=1", "model/drafts/v1/replicas/fyn=1",
                  "account/caps/key=" + digestOf("caps-key").text()});
    const std::string body = R"({"model":"drafts","prompt":"two herons","max_tokens":4})";
    const Target direct {fleet.addresses("engine").http,
                         {"POST", "/v1/completions", {{"X-Manifest", manifest.text()}}, body}};
    const Target proxied {
            fleet.addresses("entry").http,
            {"POST", "/v1/completions", {{"Authorization", "Bearer caps-key"}}, body}};
    const bool isServing = waitUntil([&] {
        const auto answer = callOnce(proxied.address, proxied.request);
        const auto *response = std::get_if<HttpResponse>(&answer);
        return response != nullptr && response->status == 200;
    });
    if (!isServing) {
        std::cerr << "proxy: the version was not served in time\n";
        return 1;
    }
    for (const int callers : {1, 8, 32}) {
        Samples directSamples;
        Samples proxiedSamples;
        for (int round = 0; round < rounds; ++round) {
            measure(direct, callers, directSamples);
            measure(proxied, callers, proxiedSamples);
        }
        printCase(callers, directSamples, proxiedSamples);
    }
    return 0;
}

} // namespace greengageseam
