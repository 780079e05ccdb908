/**
 * Plays requests to a pool of backend servers in virtual time, with hedges and without, and
 * compares the slowest answers and the work on the servers.
 * labels: differential
 */
#include "core/fleet/fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <queue>
#include <random>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName pool("pool");
constexpr std::size_t servers = 20;
constexpr double usualMs = 100;
constexpr Duration interval = milliseconds(10);
constexpr int requestCount = 6000;
/** Requests after which all servers become slow, where they do. */
constexpr int slowFrom = 3000;

/** What is played. */
struct Scenario
{
    double ratio = 0.05;
    /** Factor by which the answers of the first server take longer. */
    double slowFactor = 1;
    /** The same for all servers, from a certain request on. */
    double laterSlowFactor = 1;
    /** Share of the answers that take ten times as long, whatever the server. */
    double strayShare = 0;
    unsigned seed = 1;
};

struct Tally
{
    std::vector<Duration> times;
    int hedges = 0;
    int won = 0;
    std::map<HedgeDenial, int> denied;

    Duration quantile(double share) const
    {
        std::vector<Duration> sorted = times;
        std::sort(sorted.begin(), sorted.end());
        return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
    }
};

/** One request, which may have two attempts. */
struct PlayedRequest
{
    Instant arrivedAt;
    std::size_t server = 0;
    std::uint64_t lease = 0;
    std::uint64_t hedgeLease = 0;
    bool isDone = false;
};

enum class EventKind {
    Arrives,
    IsLate,
    Answers,
};

struct Event
{
    Instant at;
    EventKind kind = EventKind::Arrives;
    std::size_t request = 0;
    std::uint64_t lease = 0;

    bool operator>(const Event &other) const { return at > other.at; }
};

class HedgingFixture
{
protected:
    Tally play(const Scenario &scenario)
    {
        m_scenario = scenario;
        m_random.seed(scenario.seed);
        m_tracker = HedgeTracker(scenario.ratio);
        m_requests.clear();
        m_tally = {};
        m_lastLease = 0;
        m_events.push({m_start, EventKind::Arrives, 0, 0});
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            apply(event);
        }
        return m_tally;
    }

    void apply(const Event &event)
    {
        if (event.kind == EventKind::Arrives) {
            arrive(event.at);
        } else if (event.kind == EventKind::IsLate) {
            hedge(event);
        } else {
            answer(event);
        }
    }

    void arrive(Instant now)
    {
        const std::size_t index = m_requests.size();
        m_tracker.recordRequest(pool);
        m_requests.push_back({now, m_random() % servers, 0, 0, false});
        m_requests.back().lease = send(index, m_requests.back().server, now);
        if (m_requests.size() < requestCount) {
            m_events.push({now + interval, EventKind::Arrives, 0, 0});
        }
    }

    std::uint64_t send(std::size_t request, std::size_t server, Instant now)
    {
        AwaitedAttempt attempt;
        attempt.lease = ++m_lastLease;
        attempt.service = pool;
        attempt.replica = ReplicaId("i-" + std::to_string(server));
        attempt.sentAt = now;
        const auto delay = m_tracker.started(attempt, std::nullopt);
        m_events.push(
                {now + responseTime(request, server), EventKind::Answers, request, m_lastLease});
        if (delay && m_requests[request].lease == 0) {
            m_events.push({now + delay->delay, EventKind::IsLate, request, m_lastLease});
        }
        return m_lastLease;
    }

    Duration responseTime(std::size_t request, std::size_t server)
    {
        std::lognormal_distribution<double> spread(0, 0.2);
        std::bernoulli_distribution strays(m_scenario.strayShare);
        double ms = usualMs * spread(m_random) * (strays(m_random) ? 10 : 1);
        ms *= server == 0 ? m_scenario.slowFactor : 1;
        ms *= request >= slowFrom ? m_scenario.laterSlowFactor : 1;
        return Duration(static_cast<std::int64_t>(ms * 1000));
    }

    void hedge(const Event &event)
    {
        PlayedRequest &request = m_requests[event.request];
        auto conditions = request.isDone
                ? std::nullopt
                : m_tracker.conditions(event.lease, Duration::zero(), event.at);
        if (!conditions) {
            return;
        }
        conditions->hasRetryBudget = true;
        if (const auto denial = hedgeDenial(*conditions)) {
            ++m_tally.denied[*denial];
            return;
        }
        m_tracker.grant(event.lease, event.at);
        ++m_tally.hedges;
        const std::size_t other = (request.server + 1 + m_random() % (servers - 1)) % servers;
        request.hedgeLease = send(event.request, other, event.at);
    }

    void answer(const Event &event)
    {
        PlayedRequest &request = m_requests[event.request];
        if (request.isDone) {
            return;
        }
        request.isDone = true;
        m_tally.times.push_back(event.at - request.arrivedAt);
        m_tally.won += event.lease == request.hedgeLease ? 1 : 0;
        m_tracker.responseStarted(event.lease, event.at);
        const std::uint64_t loser =
                event.lease == request.lease ? request.hedgeLease : request.lease;
        m_tracker.released(loser, event.at);
    }

    const Instant m_start {seconds(1000)};
    Scenario m_scenario;
    std::mt19937 m_random;
    HedgeTracker m_tracker {0};
    std::vector<PlayedRequest> m_requests;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    Tally m_tally;
    std::uint64_t m_lastLease = 0;
};

TEST_CASE_METHOD(HedgingFixture, "pool_oneSlowServer_slowestAnswersComeEarlierWithinLimit")
{
    Scenario scenario;
    scenario.slowFactor = 10;
    scenario.seed = GENERATE(1, 2, 3);
    const Tally hedged = play(scenario);
    scenario.ratio = 0;
    const Tally plain = play(scenario);
    CAPTURE(scenario.seed, hedged.hedges, hedged.won, hedged.quantile(0.99).count(),
            plain.quantile(0.99).count());
    REQUIRE(plain.hedges == 0);
    REQUIRE(hedged.hedges <= 0.05 * requestCount);
    REQUIRE(hedged.quantile(0.99) < plain.quantile(0.99) * 6 / 10);
}

// Hedges to a pool that is slow as a whole would only add to its load.
TEST_CASE_METHOD(HedgingFixture, "pool_allBecomeSlow_hardlyAnyHedgeIsSent")
{
    Scenario scenario;
    scenario.laterSlowFactor = 10;
    scenario.seed = GENERATE(1, 2, 3);
    const Tally hedged = play(scenario);
    scenario.laterSlowFactor = 1;
    const Tally before = play(scenario);
    CAPTURE(scenario.seed, hedged.hedges, before.hedges);
    REQUIRE(hedged.hedges - before.hedges <= 3);
    REQUIRE(hedged.denied.at(HedgeDenial::ManyLate) > 0);
}

// The usual spread of answers is no reason for extra work.
TEST_CASE_METHOD(HedgingFixture, "pool_allAnswerAlike_hardlyAnyHedgeIsSent")
{
    Scenario scenario;
    scenario.seed = GENERATE(1, 2, 3);
    const Tally hedged = play(scenario);
    CAPTURE(scenario.seed, hedged.hedges);
    REQUIRE(hedged.hedges <= 0.001 * requestCount);
}

// More requests are late than the budget has hedges for.
TEST_CASE_METHOD(HedgingFixture, "budget_moreLateRequestsThanHedges_limitIsKept")
{
    Scenario scenario;
    scenario.ratio = 0.02;
    scenario.strayShare = 0.1;
    scenario.seed = GENERATE(1, 2, 3);
    const Tally hedged = play(scenario);
    CAPTURE(scenario.seed, hedged.hedges);
    REQUIRE(hedged.hedges <= 0.02 * requestCount);
    REQUIRE(hedged.denied.at(HedgeDenial::HedgeBudget) > 0);
}

// A first attempt may answer after the second was sent; its time counts, and the other's does not.
TEST_CASE_METHOD(HedgingFixture, "hedge_firstAttemptAnswersFirst_isNotWon")
{
    Scenario scenario;
    scenario.strayShare = 0.03;
    const Tally hedged = play(scenario);
    CAPTURE(hedged.hedges, hedged.won);
    REQUIRE(hedged.won > 0);
    REQUIRE(hedged.won < hedged.hedges);
}

} // namespace
} // namespace greengageseam
