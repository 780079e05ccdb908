/**
 * Plays bursts of the least urgent of three kinds of requests in virtual time, with the load
 * balancers and queues of several entries and the credits of all agents, and compares the kinds
 * with each other in every second, and the queue with the plain one that knows no priorities.
 * labels: differential
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <random>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

const ServiceName pool("pool");
constexpr std::uint32_t slots = 8;
constexpr std::size_t serverCount = 24;
constexpr double decodeMs = 1400;
constexpr double prefillTokensPerMs = 20;
constexpr Duration sendTime = milliseconds(10);
constexpr Duration step = milliseconds(5);
constexpr Duration reportInterval = milliseconds(50);
/** Every so many reports go to all entries, the others to those that receive credits. */
constexpr std::int64_t reportsPerRound = 2;
constexpr std::size_t kindCount = 3;
constexpr int burstStart = 3;
constexpr int burstEnd = 13;
constexpr int playSeconds = 16;

/** One kind of requests; its priority is its index. */
struct Kind
{
    Duration objective {};
    double promptTokens = 0;
    /** Usual number of requests in a second. */
    double perSecond = 0;
};

const std::array<Kind, kindCount> kinds {{{milliseconds(400), 3000, 25},
                                          {milliseconds(600), 1500, 25},
                                          {milliseconds(800), 800, 50}}};

struct Scenario
{
    std::size_t entries = 6;
    /** Factor by which the requests of the least urgent kind increase during the burst. */
    double burst = 2.6;
    /** Whether requests differ in priority. */
    bool isRanked = true;
    /** Whether the queue is one that only knows the order of arrival. */
    bool isPlain = false;
};

/** What became of the requests of one kind or account. */
struct Tally
{
    double arrived = 0;
    double served = 0;
    double inTime = 0;

    double servedShare() const { return arrived == 0 ? 1 : served / arrived; }
    double inTimeShare() const { return arrived == 0 ? 1 : inTime / arrived; }
    auto operator<=>(const Tally &) const = default;
};

using Second = std::array<Tally, kindCount>;

struct Result
{
    std::vector<Second> seconds = std::vector<Second>(playSeconds);
    /** During the burst, for the least urgent kind. */
    std::map<AccountName, Tally> accounts;

    auto operator<=>(const Result &) const = default;
};

struct Request
{
    PendingRequest pending;
    std::size_t kind = 0;
    std::size_t entry = 0;
    int second = 0;
    Instant arrivedAt;
};

class PriorityFixture
{
protected:
    struct Server
    {
        explicit Server(std::uint64_t seed) : credits(seed) { }

        std::vector<Instant> endsAt;
        Instant prefillEndsAt;
        std::deque<Request> waiting;
        CreditAllocator credits;
    };

    struct Entry
    {
        LoadBalancer loads {LoadBalancerOptions {ZoneName("a")}};
        DemandMeter demand;
        bool isSaturated = false;
        PendingQueue queue;
        std::map<std::uint64_t, Request> pending;
        /** Takes the place of the queue where only the order of arrival counts. */
        std::deque<Request> plain;
    };

    struct Send
    {
        Instant arrivesAt;
        std::size_t server = 0;
        Request request;
    };

    struct Start
    {
        Instant at;
        std::size_t server = 0;
        Request request;
    };

    static Service poolService()
    {
        EngineCosts engine;
        engine.slots = slots;
        engine.stepMs = 10;
        engine.stepsPerPass = 7;
        engine.prefillTokensPerSecond = prefillTokensPerMs * 1000;
        engine.typicalPromptTokens = 1500;
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

    Result play(const Scenario &scenario)
    {
        m_scenario = scenario;
        m_result = {};
        m_arrivalRandom.seed(seed);
        m_random.seed(seed + 1);
        m_lastId = 0;
        m_now = startAt;
        m_sends.clear();
        m_starts.clear();
        m_servers.clear();
        m_entries = std::vector<Entry>(scenario.entries);
        std::vector<ReplicaEntry> replicas;
        for (std::size_t i = 0; i < serverCount; ++i) {
            m_servers.emplace_back(i);
            replicas.push_back(replica(i));
        }
        for (Entry &entry : m_entries) {
            entry.loads.setReplicas(replicas);
            entry.loads.setServices({{pool, poolService()}});
            entry.loads.setEntryCount(static_cast<std::uint32_t>(scenario.entries));
        }
        for (std::int64_t n = 0; m_now < startAt + std::chrono::seconds(playSeconds);
             ++n, m_now += step) {
            arrive();
            deliver();
            runServers();
            report(n);
            for (Entry &entry : m_entries) {
                entry.isSaturated = isSaturated(entry.demand.demand(pool, m_now));
                entry.loads.setSaturated(pool, entry.isSaturated);
                dispatch(entry);
            }
        }
        return m_result;
    }

    int second() const { return static_cast<int>((m_now - startAt) / std::chrono::seconds(1)); }

    bool isInBurst(int second) const { return second >= burstStart && second < burstEnd; }

    void arrive()
    {
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            for (std::size_t kind = 0; kind < kindCount; ++kind) {
                const bool isBurst = kind + 1 == kindCount && isInBurst(second());
                const double perSecond = kinds[kind].perSecond * (isBurst ? m_scenario.burst : 1);
                const double mean = perSecond / static_cast<double>(m_entries.size())
                        * std::chrono::duration<double>(step).count();
                const int n = std::poisson_distribution<int>(mean)(m_arrivalRandom);
                for (int k = 0; k < n; ++k) {
                    arrive(i, kind);
                }
            }
        }
    }

    void arrive(std::size_t entryIndex, std::size_t kind)
    {
        // One account makes nine of ten requests.
        const AccountName account(m_arrivalRandom() % 10 == 0 ? "small" : "large");
        const auto level = static_cast<std::uint32_t>(kind);
        Request request;
        request.kind = kind;
        request.entry = entryIndex;
        request.second = second();
        request.arrivedAt = m_now;
        request.pending.id = ++m_lastId;
        request.pending.service = pool;
        request.pending.priority = m_scenario.isRanked
                ? RequestPriority {level, level, static_cast<std::uint32_t>(kindCount)}
                : RequestPriority {1, 0, 1};
        request.pending.route = RouteName(std::to_string(kind));
        request.pending.account = account;
        request.pending.promptTokens = kinds[kind].promptTokens;
        request.pending.lateAfter = m_now + kinds[kind].objective;
        ++m_result.seconds[request.second][kind].arrived;
        if (isInBurst(request.second) && kind + 1 == kindCount) {
            ++m_result.accounts[account].arrived;
        }
        Entry &entry = m_entries[entryIndex];
        entry.demand.recordArrival(m_now);
        entry.queue.recordArrival(request.pending);
        const bool yields =
                !m_scenario.isPlain && entry.queue.mustYield(request.pending, supply(entry), m_now);
        if (yields || !send(entry, request)) {
            enqueue(entry, request);
        }
    }

    void enqueue(Entry &entry, const Request &request)
    {
        if (m_scenario.isPlain) {
            entry.plain.push_back(request);
            return;
        }
        entry.queue.push(request.pending);
        entry.pending.emplace(request.pending.id, request);
    }

    SlotSupply supply(const Entry &entry) const
    {
        const Occupancy occupancy = entry.loads.occupancy(pool, {}, m_now);
        return {occupancy.slots,
                occupancy.slots > occupancy.inUse ? occupancy.slots - occupancy.inUse : 0,
                static_cast<std::uint32_t>(m_entries.size())};
    }

    /** Does what Dispatcher does with the requests that wait. */
    void dispatch(Entry &entry)
    {
        if (m_scenario.isPlain) {
            dispatchPlain(entry);
            return;
        }
        for (const std::uint64_t id : entry.queue.order(m_now)) {
            const Request request = entry.pending.at(id);
            const bool mustYield = entry.queue.mustYield(request.pending, supply(entry), m_now);
            if ((!mustYield && send(entry, request)) || turnAway(entry, request)) {
                entry.queue.remove(id);
                entry.pending.erase(id);
            }
        }
    }

    void dispatchPlain(Entry &entry)
    {
        std::deque<Request> pending;
        std::swap(pending, entry.plain);
        for (auto it = pending.rbegin(); it != pending.rend(); ++it) {
            if (!send(entry, *it) && !turnAway(entry, *it)) {
                entry.plain.push_front(*it);
            }
        }
    }

    bool send(Entry &entry, const Request &request)
    {
        ReplicaRequirements requirements;
        requirements.service = pool;
        requirements.latencyObjective = std::min<Duration>(kinds[request.kind].objective,
                                                           request.pending.lateAfter - m_now);
        requirements.missesObjective = m_now >= request.pending.lateAfter;
        requirements.promptTokens = request.pending.promptTokens;
        const auto chosen = entry.loads.acquire(requirements, m_now, m_random());
        if (!chosen) {
            return false;
        }
        entry.queue.recordServed(request.pending);
        const auto server = static_cast<std::size_t>(std::stoi(chosen->id.text().substr(2)));
        m_sends.push_back({m_now + sendTime, server, request});
        return true;
    }

    bool turnAway(Entry &entry, const Request &request)
    {
        const QueueWait wait =
                queueWait({kinds[request.kind].objective, std::chrono::seconds(6), true});
        const bool isShed = entry.isSaturated && !entry.queue.isBelowShare(request.pending);
        if (m_now - request.arrivedAt < slotWait(wait, request.pending.priority, isShed)) {
            return false;
        }
        entry.demand.recordTurnedAway(m_now);
        entry.queue.recordTurnedAway(request.pending, m_now);
        return true;
    }

    void deliver()
    {
        while (!m_sends.empty() && m_sends.front().arrivesAt <= m_now) {
            const Send send = m_sends.front();
            m_sends.pop_front();
            std::deque<Request> &waiting = m_servers[send.server].waiting;
            // The server admits the most urgent request first.
            const auto place =
                    std::find_if(waiting.begin(), waiting.end(), [&send](const Request &it) {
                        return it.pending.priority.level > send.request.pending.priority.level;
                    });
            waiting.insert(place, send.request);
        }
    }

    void runServers()
    {
        std::uniform_real_distribution<double> variation(0.7, 1.3);
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            Server &server = m_servers[i];
            std::erase_if(server.endsAt, [this](Instant at) { return at <= m_now; });
            while (server.endsAt.size() < slots && !server.waiting.empty()) {
                const Request request = server.waiting.front();
                server.waiting.pop_front();
                server.prefillEndsAt = std::max(server.prefillEndsAt, m_now)
                        + toDuration(request.pending.promptTokens / prefillTokensPerMs);
                const Instant startsAt = server.prefillEndsAt + toDuration(passMs);
                m_starts.push_back({startsAt, i, request});
                server.endsAt.push_back(startsAt + toDuration(decodeMs * variation(m_random)));
            }
        }
        std::erase_if(m_starts, [this](const Start &start) {
            if (start.at > m_now) {
                return false;
            }
            recordStart(start);
            return true;
        });
    }

    static Duration toDuration(double ms)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
    }

    void recordStart(const Start &start)
    {
        const Request &request = start.request;
        const Duration latency = m_now - request.arrivedAt;
        Tally &tally = m_result.seconds[request.second][request.kind];
        ++tally.served;
        tally.inTime += latency <= kinds[request.kind].objective ? 1 : 0;
        if (isInBurst(request.second) && request.kind + 1 == kindCount) {
            ++m_result.accounts[request.pending.account].served;
        }
        LoadBalancer &loads = m_entries[request.entry].loads;
        loads.responseStarted(replica(start.server).id, request.pending.promptTokens);
        loads.finished(replica(start.server).id, ReplicaVerdict::Answered, latency, m_now);
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
            const BackendOccupancy occupancy {slots, report.running + report.waiting};
            std::vector<CreditClaim> claims;
            bool areNeeded = isContended(occupancy);
            for (std::size_t k = 0; k < m_entries.size(); ++k) {
                const ServiceDemand demand = m_entries[k].demand.demand(pool, m_now);
                areNeeded = areNeeded || demand.turnedAway > 0;
                claims.push_back({InstanceId(std::to_string(k)), true, demand.arrivals,
                                  demand.turnedAwayShare()});
            }
            const auto credits =
                    server.credits.allocate(areNeeded ? availableCredits(occupancy) : 0, claims);
            const bool isForAll = n / turns % reportsPerRound == 0;
            for (std::size_t k = 0; k < m_entries.size(); ++k) {
                const auto own = credits.find(InstanceId(std::to_string(k)));
                if (isForAll || own != credits.end()) {
                    report.credits = own == credits.end() ? 0 : own->second;
                    m_entries[k].loads.applyReport(report, m_now);
                }
            }
        }
    }

    /** @returns the sums over the seconds of the burst */
    static Second burstSum(const Result &result)
    {
        Second sum;
        for (int second = burstStart; second < burstEnd; ++second) {
            for (std::size_t kind = 0; kind < kindCount; ++kind) {
                const Tally &tally = result.seconds[second][kind];
                sum[kind].arrived += tally.arrived;
                sum[kind].served += tally.served;
                sum[kind].inTime += tally.inTime;
            }
        }
        return sum;
    }

    /** @returns the standard deviation of the difference of two shares that are equal by chance */
    static double deviation(const Tally &left, const Tally &right)
    {
        const double n = left.arrived + right.arrived;
        const double share = (left.inTime + right.inTime) / n;
        return std::sqrt(share * (1 - share) * (1 / left.arrived + 1 / right.arrived));
    }

    static double servedShareOfAll(const Second &sum)
    {
        return (sum[0].served + sum[1].served + sum[2].served)
                / (sum[0].arrived + sum[1].arrived + sum[2].arrived);
    }

    static std::string describe(const Second &second)
    {
        std::string text;
        for (const Tally &it : second) {
            text += std::to_string(static_cast<int>(it.arrived)) + " arrived, served "
                    + std::to_string(it.servedShare()) + ", in time "
                    + std::to_string(it.inTimeShare()) + "; ";
        }
        return text;
    }

    static constexpr std::uint64_t seed = 20261207;
    /** Time of a decode pass, with which the first event of a response comes. */
    static constexpr double passMs = 70;
    static constexpr Instant startAt {std::chrono::seconds(1000)};

    Scenario m_scenario;
    Result m_result;
    std::vector<Server> m_servers;
    std::vector<Entry> m_entries;
    std::deque<Send> m_sends;
    std::vector<Start> m_starts;
    /** Separate sources, so that all plays of a scenario have the same arrivals. */
    std::mt19937_64 m_arrivalRandom;
    std::mt19937_64 m_random;
    std::uint64_t m_lastId = 0;
    Instant m_now = startAt;
};

TEST_CASE_METHOD(PriorityFixture, "burst_leastUrgentKind_moreUrgentAreServedNoLessInEverySecond")
{
    const Result result = play({});
    for (int second = burstStart; second < burstEnd; ++second) {
        const Second &tallies = result.seconds[second];
        INFO("second " << second << ": " << describe(tallies));
        for (std::size_t kind = 0; kind + 1 < kindCount; ++kind) {
            const Tally &urgent = tallies[kind];
            const Tally &other = tallies[kind + 1];
            const double tolerance = deviation(urgent, other);
            CHECK(urgent.servedShare() + tolerance >= other.servedShare());
            CHECK(urgent.inTimeShare() + tolerance >= other.inTimeShare());
        }
    }
}

TEST_CASE_METHOD(PriorityFixture, "burst_priorities_serveMoreUrgentThanWithoutAndNotLessInAll")
{
    const Second with = burstSum(play({}));
    Scenario equal;
    equal.isRanked = false;
    const Second without = burstSum(play(equal));
    INFO("with: " << describe(with));
    INFO("without: " << describe(without));
    CHECK(with[0].inTimeShare() > without[0].inTimeShare());
    for (std::size_t kind = 0; kind + 1 < kindCount; ++kind) {
        CHECK(with[kind].servedShare() >= with[kind + 1].servedShare());
        CHECK(with[kind].inTimeShare() >= with[kind + 1].inTimeShare());
    }
    CHECK(servedShareOfAll(with) >= 0.97 * servedShareOfAll(without));
}

// Credits of the agents often go to another entry than the one at which an urgent request waits.
TEST_CASE_METHOD(PriorityFixture, "burst_fewOrManyEntries_moreUrgentAreServedNoLess")
{
    for (const std::size_t entries : {2, 12, 24}) {
        Scenario scenario;
        scenario.entries = entries;
        const Second sum = burstSum(play(scenario));
        INFO(entries << " entries: " << describe(sum));
        for (std::size_t kind = 0; kind + 1 < kindCount; ++kind) {
            CHECK(sum[kind].servedShare() >= sum[kind + 1].servedShare());
            CHECK(sum[kind].inTimeShare() >= sum[kind + 1].inTimeShare());
        }
    }
}

TEST_CASE_METHOD(PriorityFixture, "burst_leastUrgentKind_keepsItsShareAndSoDoItsAccounts")
{
    for (const double burst : {2.6, 8.0}) {
        Scenario scenario;
        scenario.burst = burst;
        const Result result = play(scenario);
        const Second sum = burstSum(result);
        const double least = servedShareOfAll(sum) / 4;
        INFO("burst " << burst << ": " << describe(sum));
        CHECK(sum[2].servedShare() >= least);
        for (const auto &[account, tally] : result.accounts) {
            INFO("account " << account.text() << ": " << tally.servedShare());
            CHECK(tally.servedShare() >= least);
        }
    }
}

TEST_CASE_METHOD(PriorityFixture, "burst_equalPriorities_equalsThePlainQueue")
{
    Scenario scenario;
    scenario.isRanked = false;
    const Result queue = play(scenario);
    scenario.isPlain = true;
    REQUIRE(queue == play(scenario));
}

} // namespace
} // namespace greengageseam
