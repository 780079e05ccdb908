/**
 * Plays loads above the capacity of the backend servers in virtual time, with the load balancers of
 * many entries and the credits of all agents, and compares them with entries that get no credits
 * and with a scheduler that knows everything.
 * labels: differential
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

const ServiceName pool("pool");
constexpr std::uint32_t slots = 8;
constexpr std::size_t serverQueue = 16;
constexpr double serviceMs = 1400;
constexpr Duration prefillTime = milliseconds(200);
constexpr Duration objective = milliseconds(500);
constexpr Duration sendTime = milliseconds(10);
constexpr Duration step = milliseconds(5);
constexpr Duration reportInterval = milliseconds(50);
/** Every so many reports go to all entries, the others to those that receive credits. */
constexpr std::int64_t reportsPerRound = 2;

/** A load on a fleet. */
struct Scenario
{
    std::size_t entries = 40;
    std::size_t servers = 48;
    /** Arrivals as a multiple of what the servers can process. */
    double load = 2;
    /** Arrivals at the first entry as a multiple of those at another one. */
    double hotEntryFactor = 1;
    bool usesCredits = true;
    /** Whether a scheduler that knows everything replaces the entries. */
    bool isAllKnowing = false;
};

/** What became of the requests. */
struct Tally
{
    int arrived = 0;
    int inTime = 0;
    int late = 0;
    int turnedAway = 0;
    int sends = 0;
    int rejected = 0;
    /** In time, of those that arrived at the first entry, and how many arrived there. */
    int hotInTime = 0;
    int hotArrived = 0;
};

struct Request
{
    std::size_t entry = 0;
    Instant arrivedAt;
    int attempts = 0;
    std::set<ReplicaId> tried;
};

class OverloadFixture
{
protected:
    /** A backend server and its agent. */
    struct Server
    {
        explicit Server(std::uint64_t seed) : credits(seed) { }

        std::vector<Instant> endsAt;
        std::deque<Request> waiting;
        CreditAllocator credits;
    };

    struct Entry
    {
        LoadBalancer loads {LoadBalancerOptions {ZoneName("a")}};
        DemandMeter demand;
        std::deque<Request> pending;
    };

    struct Send
    {
        Instant arrivesAt;
        std::size_t server = 0;
        Request request;
    };

    static Service poolService()
    {
        EngineCosts engine;
        engine.slots = slots;
        engine.stepMs = 10;
        engine.stepsPerPass = 7;
        engine.prefillTokensPerSecond = 20'000;
        engine.typicalPromptTokens = 1000;
        engine.typicalOutputTokens = 100;
        engine.model = ModelName("m");
        Service service;
        service.name = pool;
        service.engine = engine;
        return service;
    }

    static ReplicaEntry replica(std::size_t server)
    {
        ReplicaEntry entry;
        entry.id = ReplicaId("i-" + std::to_string(server));
        entry.service = pool;
        entry.address = Address("127.0.0.1:" + std::to_string(server));
        entry.zone = ZoneName("a");
        entry.slots = slots;
        entry.startedAtMs = 10;
        entry.loaded.version = 1;
        return entry;
    }

    Tally play(const Scenario &scenario)
    {
        m_scenario = scenario;
        m_tally = {};
        m_arrivalRandom.seed(seed);
        m_random.seed(seed + 1);
        m_sends.clear();
        m_servers.clear();
        m_entries = std::vector<Entry>(scenario.entries);
        std::vector<ReplicaEntry> replicas;
        for (std::size_t i = 0; i < scenario.servers; ++i) {
            m_servers.emplace_back(i);
            replicas.push_back(replica(i));
        }
        for (Entry &entry : m_entries) {
            entry.loads.setReplicas(replicas);
            entry.loads.setServices({{pool, poolService()}});
            entry.loads.setEntryCount(static_cast<std::uint32_t>(scenario.entries));
        }
        const Instant end = m_now + playTime;
        for (std::int64_t n = 0; m_now < end; ++n, m_now += step) {
            arrive();
            deliver();
            runServers();
            report(n);
            if (scenario.isAllKnowing) {
                dispatchAllKnowing();
            } else {
                dispatch();
            }
        }
        return m_tally;
    }

    void arrive()
    {
        const double capacity = static_cast<double>(m_scenario.servers * slots) * 1000 / serviceMs;
        const double perSecond = m_scenario.load * capacity;
        const double shares =
                static_cast<double>(m_scenario.entries - 1) + m_scenario.hotEntryFactor;
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            const double share = (i == 0 ? m_scenario.hotEntryFactor : 1) / shares;
            const double mean = perSecond * share * std::chrono::duration<double>(step).count();
            const int n = std::poisson_distribution<int>(mean)(m_arrivalRandom);
            for (int k = 0; k < n; ++k) {
                m_entries[i].demand.recordArrival(m_now);
                m_entries[i].pending.push_back({i, m_now, 0, {}});
                ++m_tally.arrived;
                m_tally.hotArrived += i == 0 ? 1 : 0;
            }
        }
    }

    /** Sends the pending requests of all entries, the newest first, or turns them away. */
    void dispatch()
    {
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            Entry &entry = m_entries[i];
            entry.loads.setSaturated(pool, isSaturated(entry.demand.demand(pool, m_now)));
            std::deque<Request> pending;
            std::swap(pending, entry.pending);
            for (auto it = pending.rbegin(); it != pending.rend(); ++it) {
                if (!send(entry, *it) && !turnAway(entry, *it)) {
                    entry.pending.push_front(*it);
                }
            }
        }
    }

    /** Begins the newest requests in all free slots, without any delay. */
    void dispatchAllKnowing()
    {
        std::vector<Request> pending;
        for (Entry &entry : m_entries) {
            pending.insert(pending.end(), entry.pending.begin(), entry.pending.end());
            entry.pending.clear();
        }
        std::erase_if(pending, [this](const Request &it) {
            return it.arrivedAt + objective < m_now + prefillTime;
        });
        std::sort(pending.begin(), pending.end(),
                  [](const Request &a, const Request &b) { return a.arrivedAt < b.arrivedAt; });
        for (Server &server : m_servers) {
            while (!pending.empty() && server.endsAt.size() + server.waiting.size() < slots) {
                server.waiting.push_back(pending.back());
                pending.pop_back();
            }
        }
        runServers();
        for (const Request &request : pending) {
            m_entries[request.entry].pending.push_back(request);
        }
    }

    bool send(Entry &entry, const Request &request)
    {
        ReplicaRequirements requirements;
        requirements.service = pool;
        requirements.tried = request.tried;
        requirements.latencyObjective =
                std::min<Duration>(objective, request.arrivedAt + objective - m_now);
        const auto chosen = entry.loads.acquire(requirements, m_now, m_random());
        if (!chosen) {
            return false;
        }
        ++m_tally.sends;
        const auto server = static_cast<std::size_t>(std::stoi(chosen->id.text().substr(2)));
        m_sends.push_back({m_now + sendTime, server, request});
        return true;
    }

    bool turnAway(Entry &entry, const Request &request)
    {
        const WaitingRequest waiting {objective, std::chrono::seconds(6), true};
        if (m_now - request.arrivedAt < queueWait(waiting).slot) {
            return false;
        }
        entry.demand.recordTurnedAway(m_now);
        ++m_tally.turnedAway;
        return true;
    }

    void deliver()
    {
        while (!m_sends.empty() && m_sends.front().arrivesAt <= m_now) {
            Send send = m_sends.front();
            m_sends.pop_front();
            Server &server = m_servers[send.server];
            if (server.waiting.size() >= serverQueue) {
                reject(send);
            } else {
                server.waiting.push_back(send.request);
            }
        }
    }

    void reject(Send &send)
    {
        ++m_tally.rejected;
        Entry &entry = m_entries[send.request.entry];
        const ReplicaId id = replica(send.server).id;
        entry.loads.responseStarted(id, 0);
        entry.loads.finished(id, ReplicaVerdict::Full, std::nullopt, m_now);
        send.request.tried.insert(id);
        if (++send.request.attempts < maxAttempts) {
            entry.pending.push_back(send.request);
        } else {
            entry.demand.recordTurnedAway(m_now);
            ++m_tally.turnedAway;
        }
    }

    void runServers()
    {
        std::uniform_real_distribution<double> variation(0.7, 1.3);
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            Server &server = m_servers[i];
            std::erase_if(server.endsAt, [this](Instant at) { return at <= m_now; });
            while (server.endsAt.size() < slots && !server.waiting.empty()) {
                begin(i, server.waiting.front());
                server.waiting.pop_front();
                const auto time =
                        std::chrono::duration<double, std::milli>(serviceMs * variation(m_random));
                server.endsAt.push_back(m_now + std::chrono::duration_cast<Duration>(time));
            }
        }
    }

    void begin(std::size_t server, const Request &request)
    {
        const Duration latency = m_now + prefillTime - request.arrivedAt;
        ++(latency <= objective ? m_tally.inTime : m_tally.late);
        m_tally.hotInTime += latency <= objective && request.entry == 0 ? 1 : 0;
        Entry &entry = m_entries[request.entry];
        entry.loads.responseStarted(replica(server).id, 0);
        entry.loads.finished(replica(server).id, ReplicaVerdict::Answered, latency, m_now);
    }

    /** Lets the agents whose turn it is report to all entries. */
    void report(std::int64_t n)
    {
        const auto turns = reportInterval / step;
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            if (static_cast<std::int64_t>(i) % turns != n % turns) {
                continue;
            }
            Server &server = m_servers[i];
            LoadReport report;
            report.backend = replica(i).address;
            report.startedAtMs = replica(i).startedAtMs;
            report.weightsVersion = 1;
            report.running = static_cast<std::uint32_t>(server.endsAt.size());
            report.waiting = static_cast<std::uint32_t>(server.waiting.size());
            std::vector<CreditClaim> claims;
            for (std::size_t k = 0; k < m_entries.size(); ++k) {
                const ServiceDemand demand = m_entries[k].demand.demand(pool, m_now);
                claims.push_back({InstanceId(std::to_string(k)), true, demand.arrivals,
                                  demand.turnedAwayShare()});
            }
            const auto credits = server.credits.allocate(
                    availableCredits({slots, report.running + report.waiting}), claims);
            const bool isForAll = n / turns % reportsPerRound == 0;
            for (std::size_t k = 0; k < m_entries.size(); ++k) {
                const auto own = credits.find(InstanceId(std::to_string(k)));
                if (!isForAll && (own == credits.end() || !m_scenario.usesCredits)) {
                    continue;
                }
                if (m_scenario.usesCredits) {
                    report.credits = own == credits.end() ? 0 : own->second;
                }
                m_entries[k].loads.applyReport(report, m_now);
            }
        }
    }

    /** @returns the requests that a scheduler which knows everything begins in time */
    int bestInTime(Scenario scenario)
    {
        scenario.isAllKnowing = true;
        return play(scenario).inTime;
    }

    static constexpr Duration playTime = std::chrono::seconds(8);
    static constexpr int maxAttempts = 2;
    static constexpr std::uint64_t seed = 20261206;

    Scenario m_scenario;
    Tally m_tally;
    std::vector<Server> m_servers;
    std::vector<Entry> m_entries;
    std::deque<Send> m_sends;
    /** Separate sources, so that all plays of a scenario have the same arrivals. */
    std::mt19937_64 m_arrivalRandom;
    std::mt19937_64 m_random;
    Instant m_now {std::chrono::seconds(1000)};
};

TEST_CASE_METHOD(OverloadFixture, "overload_twiceTheCapacity_servesNearlyAsManyInTimeAsPossible")
{
    Scenario scenario;
    const Tally tally = play(scenario);
    const int best = bestInTime(scenario);
    INFO("arrived " << tally.arrived << ", in time " << tally.inTime << " of " << best << ", late "
                    << tally.late << ", sends " << tally.sends << ", rejected " << tally.rejected);
    CHECK(tally.rejected * 20 < tally.sends);
    CHECK(tally.inTime >= 0.9 * best);
    CHECK(tally.late * 20 < tally.inTime);
}

TEST_CASE_METHOD(OverloadFixture, "overload_withoutCredits_rejectsMoreAndServesFewerInTime")
{
    Scenario scenario;
    const Tally with = play(scenario);
    scenario.usesCredits = false;
    const Tally without = play(scenario);
    INFO("with credits: in time " << with.inTime << ", rejected " << with.rejected
                                  << "; without: in time " << without.inTime << ", rejected "
                                  << without.rejected);
    CHECK(with.inTime > without.inTime);
    CHECK(with.rejected < without.rejected);
}

TEST_CASE_METHOD(OverloadFixture, "overload_fewEntries_rejectsFewAndServesNearlyAllThatCanBe")
{
    for (const std::size_t entries : {3, 5, 20}) {
        Scenario scenario;
        scenario.entries = entries;
        scenario.servers = 24;
        scenario.load = 1.4;
        const Tally tally = play(scenario);
        const int best = bestInTime(scenario);
        INFO(entries << " entries: sends " << tally.sends << ", rejected " << tally.rejected
                     << ", in time " << tally.inTime << " of " << best);
        CHECK(tally.rejected * 20 < tally.sends);
        CHECK(tally.inTime >= 0.9 * best);
    }
}

// With few callers at each entry, credits often go to an entry that has no request for them.
TEST_CASE_METHOD(OverloadFixture, "overload_manyEntriesInOneZone_servesNearlyAllThatCanBe")
{
    Scenario scenario;
    scenario.entries = 100;
    scenario.servers = 24;
    scenario.load = 1.4;
    const Tally tally = play(scenario);
    const int best = bestInTime(scenario);
    INFO("sends " << tally.sends << ", rejected " << tally.rejected << ", in time " << tally.inTime
                  << " of " << best);
    CHECK(tally.rejected * 20 < tally.sends);
    CHECK(tally.inTime >= 0.9 * best);
}

// Credits must not turn callers away while there are free slots.
TEST_CASE_METHOD(OverloadFixture, "load_halfOfTheCapacity_servesNearlyAllInTime")
{
    Scenario scenario;
    scenario.load = 0.5;
    const Tally tally = play(scenario);
    INFO("arrived " << tally.arrived << ", in time " << tally.inTime << ", turned away "
                    << tally.turnedAway);
    CHECK(tally.inTime >= 0.97 * tally.arrived);
}

TEST_CASE_METHOD(OverloadFixture, "overload_oneEntryHasTenTimesTheCallers_isServedAlike")
{
    Scenario scenario;
    scenario.load = 1.4;
    scenario.hotEntryFactor = 10;
    const Tally tally = play(scenario);
    const double hotShare = static_cast<double>(tally.hotInTime) / tally.hotArrived;
    const double share = static_cast<double>(tally.inTime) / tally.arrived;
    INFO("in time at the hot entry " << hotShare << ", everywhere " << share);
    CHECK(hotShare >= 0.8 * share);
}

} // namespace
} // namespace greengageseam
