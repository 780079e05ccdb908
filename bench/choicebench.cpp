/**
 * A discrete-event simulation of the choice alone: entries that choose, backend servers with a
 * number of slots and a queue, and load reports that arrive with a delay. Every policy gets the
 * same arrivals from the same seed. Waiting times are in simulated time.
 */
#include "choicebench.h"

#include "core/routing/routing.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <deque>
#include <iostream>
#include <queue>
#include <random>
#include <string>

namespace greengageseam {

namespace {

namespace json = boost::json;

constexpr std::uint64_t seed = 20261204;
constexpr std::uint32_t entries = 3;
constexpr std::uint32_t slotsPerServer = 8;
constexpr std::size_t requests = 200'000;
constexpr double meanService = 0.4;
constexpr double slowFactor = 2;
constexpr std::uint32_t slowServerStride = 4;
/**
 * Tenths of the arrivals that go to the first entry in a skewed case, in addition to its equal
 * share of the remaining ones.
 */
constexpr std::uint64_t skewTenths = 7;
constexpr double reportInterval = 0.5;

/** One request: its arrival time and its work in seconds, and the entry that receives it. */
struct Arrival
{
    double at = 0;
    std::uint32_t entry = 0;
    double work = 0;
};

/** Parameters of a case. */
struct ChoiceCase
{
    std::uint32_t servers = 12;
    /** Mean utilization of the capacity. */
    double load = 0.7;
    /** Ratio of the arrival rate in a burst to the mean rate. */
    double burst = 1;
    /** Time in seconds from the making of a load report to its arrival. */
    double reportDelay = 0.5;
    bool hasSlowServers = false;
    /** Whether one entry receives most of the arrivals. */
    bool isSkewed = false;
};

/**
 * Generates arrivals with exponential gaps. The rate alternates between bursts and calm periods
 * such that the mean rate is as given.
 */
std::vector<Arrival> makeArrivals(const ChoiceCase &it)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> unit(1);
    double capacity = 0;
    for (std::uint32_t n = 0; n < it.servers; ++n) {
        const bool isSlow = it.hasSlowServers && n % slowServerStride == 0;
        capacity += slotsPerServer / (meanService * (isSlow ? slowFactor : 1));
    }
    const double mean = capacity * it.load;
    constexpr double burstShare = 0.2;
    const double calm = mean * (1 - burstShare * it.burst) / (1 - burstShare);
    std::vector<Arrival> arrivals;
    double now = 0;
    double switchAt = 0;
    bool isBurst = true;
    while (arrivals.size() < requests) {
        if (now >= switchAt) {
            isBurst = !isBurst;
            switchAt = now + unit(random) * (isBurst ? burstShare : 1 - burstShare) * 5;
        }
        now += unit(random) / (isBurst ? mean * it.burst : calm);
        const bool isFirst = it.isSkewed && random() % 10 < skewTenths;
        const std::uint64_t entry = isFirst ? 0 : random() % entries;
        arrivals.push_back({now, static_cast<std::uint32_t>(entry), unit(random) * meanService});
    }
    return arrivals;
}

Instant instantOf(double seconds)
{
    return Instant(Duration(static_cast<Duration::rep>(seconds * 1e6)));
}

/** Simulates the backend servers, and each entry's view of their load. */
class ChoiceSimulation
{
public:
    ChoiceSimulation(const ChoiceCase &it, ChooseBackend choose)
        : m_case(it), m_choose(std::move(choose)), m_servers(it.servers),
          m_views(entries, std::vector<BackendLoad>(it.servers)), m_members(it.servers)
    {
        for (std::uint32_t n = 0; n < it.servers; ++n) {
            m_members[n] = n;
            m_events.push({reportInterval * n / it.servers, EventKind::Report, n, {}, {}});
            for (auto &view : m_views) {
                view[n].slots = slotsPerServer;
            }
        }
    }

    /** @returns the waiting times of all requests in seconds, sorted */
    std::vector<double> run(const std::vector<Arrival> &arrivals)
    {
        for (const Arrival &arrival : arrivals) {
            while (m_events.top().at <= arrival.at) {
                step();
            }
            start(arrival);
        }
        while (m_waits.size() < arrivals.size()) {
            step();
        }
        std::sort(m_waits.begin(), m_waits.end());
        return m_waits;
    }

private:
    enum class EventKind { Report, ReportArrived, RequestFinished };
    struct Event
    {
        double at;
        EventKind kind;
        std::uint32_t server;
        std::uint32_t load;
        Arrival arrival;
        bool operator<(const Event &other) const { return at > other.at; }
    };
    struct Server
    {
        std::uint32_t running = 0;
        std::deque<Arrival> queue;
    };

    void start(const Arrival &arrival)
    {
        auto &view = m_views[arrival.entry];
        const BackendPool pool(m_members, view, instantOf(arrival.at));
        const std::size_t chosen = *m_choose(pool, {m_random(), m_random()});
        ++view[chosen].localInFlight;
        Server &server = m_servers[chosen];
        server.queue.push_back(arrival);
        serveNext(static_cast<std::uint32_t>(chosen), arrival.at);
    }

    void serveNext(std::uint32_t n, double now)
    {
        Server &server = m_servers[n];
        if (server.running >= slotsPerServer || server.queue.empty()) {
            return;
        }
        const Arrival arrival = server.queue.front();
        server.queue.pop_front();
        ++server.running;
        m_waits.push_back(now - arrival.at);
        const bool isSlow = m_case.hasSlowServers && n % slowServerStride == 0;
        const double work = arrival.work * (isSlow ? slowFactor : 1);
        m_events.push({now + work, EventKind::RequestFinished, n, 0, arrival});
    }

    void step()
    {
        const Event event = m_events.top();
        m_events.pop();
        Server &server = m_servers[event.server];
        const auto load = static_cast<std::uint32_t>(server.running + server.queue.size());
        switch (event.kind) {
        case EventKind::Report:
            m_events.push({event.at + m_case.reportDelay,
                           EventKind::ReportArrived,
                           event.server,
                           load,
                           {}});
            m_events.push({event.at + reportInterval, EventKind::Report, event.server, 0, {}});
            break;
        case EventKind::ReportArrived:
            for (auto &view : m_views) {
                BackendLoad &it = view[event.server];
                it.reportedLoad = event.load;
                it.localInFlightAtReport = it.localInFlight;
                it.reportedAt = instantOf(event.at);
            }
            break;
        case EventKind::RequestFinished:
            --server.running;
            BackendLoad &it = m_views[event.arrival.entry][event.server];
            it = it.finished(event.at - event.arrival.at);
            serveNext(event.server, event.at);
            break;
        }
    }

    ChoiceCase m_case;
    ChooseBackend m_choose;
    std::vector<Server> m_servers;
    std::vector<std::vector<BackendLoad>> m_views;
    std::vector<std::uint32_t> m_members;
    std::priority_queue<Event> m_events;
    std::vector<double> m_waits;
    std::mt19937_64 m_random {seed};
};

void printCase(const std::string &policy, const ChoiceCase &it, const std::vector<double> &waits)
{
    double sum = 0;
    for (const double wait : waits) {
        sum += wait;
    }
    const auto n = static_cast<double>(waits.size());
    const json::object line {
            {"bench", "choice"},
            {"policy", policy},
            {"servers", it.servers},
            {"load", it.load},
            {"burst", it.burst},
            {"report_lag_s", it.reportDelay},
            {"slow_servers", it.hasSlowServers},
            {"skewed_entries", it.isSkewed},
            {"mean_wait_ms", std::round(sum / n * 1e5) / 100},
            {"p95_wait_ms", std::round(waits[static_cast<std::size_t>(n * 0.95)] * 1e5) / 100}};
    std::cout << json::serialize(line) << std::endl;
}

} // namespace

bool runChoiceBench()
{
    const std::vector<ChoiceCase> cases {
            {12, 0.7, 1, 0.5, false},       {12, 0.7, 3, 0.5, false},
            {12, 0.7, 3, 2.0, false},       {12, 0.7, 3, 0.5, true},
            {130, 0.7, 1, 0.5, false},      {130, 0.85, 2, 0.5, false},
            {130, 0.85, 2, 2.0, false},     {130, 0.85, 2, 0.5, true},
            {12, 0.7, 1, 0.5, false, true}, {12, 0.7, 3, 0.5, true, true},
    };
    for (const ChoiceCase &it : cases) {
        const std::vector<Arrival> arrivals = makeArrivals(it);
        const std::vector<std::pair<std::string, ChooseBackend>> policies {
                {"round-robin", makeRoundRobin()},
                {"least-connections", chooseLeastConnections},
                {"two-choices", choosePowerOfTwo},
                {"maximum-idle-first", chooseMaximumIdle},
                {"turn-and-two", makeRoundRobinWithTwoRandom()},
        };
        for (const auto &[name, choose] : policies) {
            printCase(name, it, ChoiceSimulation(it, choose).run(arrivals));
        }
    }
    return true;
}

} // namespace greengageseam
