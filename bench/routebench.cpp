/**
 * A decision comprises the work of the router on its own state for one request: it chooses a
 * version by weight and a backend server, and counts the request at its start and end. Encoding and
 * decoding of messages are not included.
 */
#include "routebench.h"

#include "core/routing/routing.h"
#include "net/clock.h"

#include <boost/json.hpp>
#include <cmath>
#include <iostream>
#include <random>
#include <string>

namespace greengageseam {

namespace {

namespace json = boost::json;

constexpr std::uint64_t seed = 20261204;
constexpr int decisions = 200'000;
constexpr int scanDecisions = 20'000;
constexpr int updates = 50;
constexpr std::size_t maxInFlight = 64;

ConfigTable makeTable()
{
    ConfigTable table;
    for (const char *version : {"v1", "v2"}) {
        const ModelVersionKey key {ModelName("drafts"), VersionName(version)};
        ModelVersion row;
        row.key = key;
        row.manifest = digestOf(version);
        row.zoneWeights[ZoneName("fyn")] = 50;
        table.modelVersions.emplace(key, row);
    }
    return table;
}

std::vector<BackendReport> makeReports(std::uint32_t replicas, std::uint64_t sequence)
{
    std::vector<BackendReport> reports;
    for (std::uint32_t n = 0; n < replicas; ++n) {
        const Digest manifest = digestOf(n % 2 == 0 ? "v1" : "v2");
        reports.push_back({InstanceId("agent-" + std::to_string(n)),
                           {{manifest, ServiceName()}},
                           n % 8,
                           sequence});
    }
    return reports;
}

double nanosecondsSince(Instant start, int n)
{
    return std::chrono::duration<double, std::nano>(monotonicNow() - start).count() / n;
}

double measureDecisions(const ChooseBackend &choose, std::uint32_t replicas, int n)
{
    const ConfigTable table = makeTable();
    const std::vector<BackendReport> reports = makeReports(replicas, 1);
    const Instant start = monotonicNow();
    BackendIndex index(choose);
    index.update(reports, start);
    std::mt19937_64 random(seed);
    std::vector<std::size_t> running;
    for (int iteration = 0; iteration < n; ++iteration) {
        const VersionChoice version = chooseVersion(
                table, ModelName("drafts"), ZoneName("fyn"), AccountName("caps"),
                [&](const ModelVersion &row) { return index.serves({row.manifest, {}}); },
                random());
        const ChoiceRandom draw {random(), random()};
        const std::optional<std::size_t> chosen =
                index.acquire({version.row->manifest, {}}, {}, draw, start);
        running.push_back(*chosen);
        if (running.size() == maxInFlight) {
            const std::size_t oldest = random() % running.size();
            std::swap(running[oldest], running.back());
            index.finished(reports[running.back()].instance, AttemptVerdict::Answered, 0.4, start);
            running.pop_back();
        }
    }
    return nanosecondsSince(start, n);
}

double measureUpdate(std::uint32_t replicas)
{
    BackendIndex index(makeRoundRobinWithTwoRandom());
    const Instant start = monotonicNow();
    Duration spent {};
    for (int n = 0; n < updates; ++n) {
        const std::vector<BackendReport> reports = makeReports(replicas, n);
        const Instant before = monotonicNow();
        index.update(reports, start);
        spent += monotonicNow() - before;
    }
    return std::chrono::duration<double, std::nano>(spent).count() / updates;
}

} // namespace

bool runRouteBench()
{
    for (const std::uint32_t replicas : {12U, 130U, 3000U}) {
        const std::vector<std::tuple<std::string, ChooseBackend, int>> policies {
                {"turn-and-two", makeRoundRobinWithTwoRandom(), decisions},
                {"two-choices", choosePowerOfTwo, decisions},
                {"round-robin", makeRoundRobin(), decisions},
                {"least-connections", chooseLeastConnections, scanDecisions},
                {"maximum-idle-first", chooseMaximumIdle, scanDecisions},
        };
        for (const auto &[name, choose, n] : policies) {
            const json::object line {
                    {"bench", "route"},
                    {"policy", name},
                    {"replicas", replicas},
                    {"ns_per_decision", std::round(measureDecisions(choose, replicas, n))}};
            std::cout << json::serialize(line) << std::endl;
        }
        const json::object line {{"bench", "route"},
                                 {"case", "index-update"},
                                 {"replicas", replicas},
                                 {"ns_per_update", std::round(measureUpdate(replicas))}};
        std::cout << json::serialize(line) << std::endl;
    }
    return true;
}

} // namespace greengageseam
