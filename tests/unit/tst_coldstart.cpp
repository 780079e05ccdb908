/**
 * Tests of the slow start of cold backend servers: until when a server is cold, the credits of its
 * agent, and what entries without credits may send.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName pool("pool");

class ColdStartFixture
{
protected:
    ColdStartFixture()
    {
        m_service.name = pool;
        m_service.engine = EngineCosts();
        m_service.engine->slots = 64;
        m_service.engine->typicalOutputTokens = 10;
        m_service.coldStart = seconds(20);
        m_service.coldRequestsPerSecond = 17;
        m_bounds.coldOvershoot = 1.5;
        m_bounds.coldSlack = 5;
    }

    ColdStartRules rules() const { return coldStartRules(m_service, m_bounds); }

    static ReplicaEntry replica(const std::string &id, std::uint64_t startedAtMs = 10,
                                Duration coldLeft = {})
    {
        ReplicaEntry entry;
        entry.id = ReplicaId(id);
        entry.service = pool;
        entry.address = Address("127.0.0.1:" + std::to_string(id.front()));
        entry.zone = ZoneName("a");
        entry.slots = 64;
        entry.startedAtMs = startedAtMs;
        entry.loaded.version = 1;
        entry.coldLeft = coldLeft;
        return entry;
    }

    static LoadReport report(const ReplicaEntry &entry, std::uint32_t running)
    {
        LoadReport report;
        report.backend = entry.address;
        report.startedAtMs = entry.startedAtMs;
        report.weightsVersion = 1;
        report.running = running;
        report.credits = 0;
        return report;
    }

    /** A load balancer that has known its service, an old server and all entries for long. */
    LoadBalancer balancer(const std::string &ip, const std::vector<std::string> &ips) const
    {
        LoadBalancerOptions options {ZoneName("a")};
        options.ip = ip;
        options.bounds = m_bounds;
        LoadBalancer balancer(options);
        balancer.setServices({{pool, m_service}});
        balancer.setReplicas({replica("old")}, Instant());
        balancer.addEntries(ips);
        balancer.setEntryCount(static_cast<std::uint32_t>(ips.size()));
        return balancer;
    }

    static std::optional<std::string> acquire(LoadBalancer &balancer, Instant now)
    {
        ReplicaRequirements requirements;
        requirements.service = pool;
        requirements.latencyObjective = seconds(10);
        const auto acquired = balancer.acquire(requirements, now, 0);
        if (!acquired) {
            return std::nullopt;
        }
        balancer.responseStarted(acquired->id, 0);
        balancer.finished(acquired->id, ReplicaVerdict::Answered, milliseconds(50), now);
        return acquired->id.text();
    }

    Service m_service;
    FleetBounds m_bounds;
    Instant m_now {seconds(100)};
    WallTime m_wall {seconds(1'000'000)};
};

TEST_CASE_METHOD(ColdStartFixture, "coldPeriod_sameRecordSeenAgain_isNotProlonged")
{
    const ColdPeriod seen = ColdPeriod().listed(seconds(5), m_now);
    REQUIRE(seen.listed(seconds(5), m_now + seconds(3)).endsAt({}) == m_now + seconds(5));
    REQUIRE(seen.listed(seconds(4), m_now + seconds(3)).endsAt({}) == m_now + seconds(7));
}

TEST_CASE_METHOD(ColdStartFixture, "coldPeriod_severalSources_lastsUntilTheLatest")
{
    const ColdPeriod period = ColdPeriod().startedAt(m_now).reported(seconds(30), m_now);
    REQUIRE(period.endsAt(seconds(20)) == m_now + seconds(30));
    REQUIRE(period.reported(seconds(1), m_now).endsAt(seconds(20)) == m_now + seconds(20));
    REQUIRE(ColdPeriod().endsAt(seconds(20)) < m_now);
}

TEST_CASE_METHOD(ColdStartFixture, "coldBackend_newIncarnation_isColdForTheWholeTime")
{
    ColdBackend backend = ColdBackend().withRules(rules()).withReport(5, m_now, m_wall);
    REQUIRE_FALSE(backend.coldLeft(m_now));
    backend = backend.withReport(6, m_now, m_wall).withHealth({}, m_now);
    REQUIRE(backend.coldLeft(m_now + seconds(1)) == Duration(seconds(19)));
}

// Guards against an agent that starts together with its server and takes it for a warm one.
TEST_CASE_METHOD(ColdStartFixture, "coldBackend_agentStarts_judgesByTheStartUntilHealthIsKnown")
{
    const auto startedAtMs = static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>((m_wall - seconds(3)).time_since_epoch())
                    .count());
    const ColdBackend backend =
            ColdBackend().withRules(rules()).withReport(startedAtMs, m_now, m_wall);
    REQUIRE(backend.coldLeft(m_now) == Duration(seconds(17)));
    REQUIRE_FALSE(backend.withHealth({}, m_now).coldLeft(m_now));
    REQUIRE(backend.withHealth(seconds(9), m_now).coldLeft(m_now) == Duration(seconds(9)));
}

TEST_CASE_METHOD(ColdStartFixture, "coldBackend_noLimitConfigured_isNeverCold")
{
    m_service.coldRequestsPerSecond = 0;
    const ColdBackend backend = ColdBackend().withRules(rules()).withHealth(seconds(9), m_now);
    REQUIRE_FALSE(backend.coldLeft(m_now));
}

TEST_CASE_METHOD(ColdStartFixture, "coldBackend_anySecond_handsOutNoMoreThanTheRate")
{
    ColdBackend backend = ColdBackend().withRules(rules()).withHealth(seconds(30), m_now);
    std::deque<Instant> handedOut;
    std::size_t most = 0;
    for (Instant now = m_now; now < m_now + seconds(10); now += milliseconds(50)) {
        backend = backend.at(now);
        // Nothing is asked for in the third second, so that credits could accumulate.
        const bool isAsked = now < m_now + seconds(2) || now > m_now + seconds(3);
        const std::uint32_t n = isAsked ? backend.availableCredits() : 0;
        backend = backend.handedOut(n);
        handedOut.insert(handedOut.end(), n, now);
        while (!handedOut.empty() && now - handedOut.front() >= seconds(1)) {
            handedOut.pop_front();
        }
        most = std::max(most, handedOut.size());
    }
    REQUIRE(most <= 17);
    REQUIRE(most >= 14);
}

TEST_CASE_METHOD(ColdStartFixture, "coldShare_anyNumberOfEntries_addsUpToThePool")
{
    REQUIRE(rules().sharePool() == 9);
    m_service.engine.reset();
    REQUIRE(rules().sharePool() == 30);
    for (const std::uint32_t n : {1U, 7U, 30U, 40U}) {
        std::uint32_t sum = 0;
        for (std::uint32_t rank = 0; rank < n; ++rank) {
            sum += coldShareQuota(30, n, rank);
            // An entry that knows of one entry too many has no more than its part.
            REQUIRE(coldShareQuota(30, n + 1, rank + 1) <= coldShareQuota(30, n, rank));
        }
        REQUIRE(sum == 30);
    }
}

TEST_CASE_METHOD(ColdStartFixture, "reportDelay_clockIsUnknown_trustsNoBurst")
{
    ReportDelay delay;
    for (int i = 0; i < 20; ++i) {
        delay = delay.received(milliseconds(50 * i), m_now + Duration(i));
        REQUIRE(delay.isLate());
    }
    delay = delay.received(milliseconds(1150), m_now + milliseconds(200));
    REQUIRE_FALSE(delay.isLate());
    REQUIRE(delay.received(milliseconds(1200), m_now + milliseconds(350)).isLate());
}

// Guards against credits that are used twice because the network has duplicated a report.
TEST_CASE_METHOD(ColdStartFixture, "reportDelay_copyOrOvertakenReport_isLate")
{
    ReportDelay delay;
    for (int i = 0; i < 5; ++i) {
        delay = delay.received(milliseconds(50 * i), m_now + milliseconds(50 * i));
    }
    REQUIRE_FALSE(delay.isLate());
    REQUIRE(delay.received(milliseconds(200), m_now + milliseconds(201)).isLate());
    REQUIRE(delay.received(milliseconds(150), m_now + milliseconds(201)).isLate());
    REQUIRE_FALSE(delay.received(milliseconds(250), m_now + milliseconds(250)).isLate());
}

// Guards against entries that are cut off since their start, and each take a large share.
TEST_CASE_METHOD(ColdStartFixture, "acquire_noOtherEntryWasHeardOf_hasNoShareOfAColdServer")
{
    LoadBalancer alone = balancer("10.0.0.1", {});
    alone.setReplicas({replica("new", 2, seconds(3))}, m_now);
    REQUIRE_FALSE(acquire(alone, m_now));
    LoadBalancer informed = balancer("10.0.0.1", {"10.0.0.1"});
    informed.setReplicas({replica("new", 2, seconds(3))}, m_now);
    REQUIRE(acquire(informed, m_now) == "new");
}

// Guards against a warm server that turns cold because a record does not state its start.
TEST_CASE_METHOD(ColdStartFixture, "acquire_recordWithoutStartTime_isNoNewIncarnation")
{
    LoadBalancer entries = balancer("10.0.0.1", {"10.0.0.1"});
    entries.setReplicas({replica("old", 0)}, m_now);
    REQUIRE(entries.coldReplicas(m_now).empty());
}

// Guards against a cold server that is the least loaded one, and gets all requests.
TEST_CASE_METHOD(ColdStartFixture, "acquire_emptyServerIsCold_usesTheBusyOneWithoutCredits")
{
    LoadBalancer balancer = this->balancer("e", {"e"});
    const ReplicaEntry cold = replica("new", 20);
    balancer.setReplicas({replica("old"), cold}, m_now);
    balancer.applyReport(report(replica("old"), 30), m_now);
    LoadReport news = report(cold, 0);
    news.coldLeft = seconds(20);
    news.sentAt = seconds(0);
    balancer.applyReport(news, m_now);
    REQUIRE(acquire(balancer, m_now) == "old");
    const Instant next = m_now + milliseconds(200);
    news.sentAt = milliseconds(200);
    news.credits = 1;
    balancer.applyReport(news, next);
    REQUIRE(acquire(balancer, next) == "new");
    REQUIRE(acquire(balancer, next) == "old");
    REQUIRE(balancer.coldReplicas(next).size() == 1);
}

TEST_CASE_METHOD(ColdStartFixture, "acquire_listCallsServerCold_needsNoReportToLimitIt")
{
    LoadBalancer balancer = this->balancer("e", {"e"});
    balancer.setReplicas({replica("old", 10, seconds(5))}, m_now);
    int sent = 0;
    while (acquire(balancer, m_now)) {
        ++sent;
    }
    REQUIRE(sent == 9);
    REQUIRE(acquire(balancer, m_now + seconds(5)));
}

TEST_CASE_METHOD(ColdStartFixture, "acquire_serverWasInTheFirstListOrCameBack_isNotCold")
{
    LoadBalancer balancer = this->balancer("e", {"e"});
    REQUIRE(balancer.coldReplicas(m_now).empty());
    balancer.setReplicas({}, m_now);
    balancer.setReplicas({replica("old")}, m_now + seconds(1));
    REQUIRE(balancer.coldReplicas(m_now + seconds(1)).empty());
}

TEST_CASE_METHOD(ColdStartFixture, "acquire_serviceWithoutLimit_servesNewServerAsBefore")
{
    m_service.coldRequestsPerSecond = 0;
    LoadBalancer balancer = this->balancer("e", {"e"});
    balancer.setReplicas({replica("new", 20, seconds(20))}, m_now);
    for (int i = 0; i < 60; ++i) {
        REQUIRE(acquire(balancer, m_now) == "new");
    }
}

/** Replays entries that send whatever they may to one server, and the agent beside it. */
class ColdReplayFixture : public ColdStartFixture
{
protected:
    static constexpr std::size_t entryCount = 40;

    struct Entry
    {
        LoadBalancer balancer;
        /** Extra delay of the reports to it, in whole milliseconds. */
        Duration delay {};
        bool isCutOff = false;
        Instant pausedUntil;
        std::deque<std::pair<Instant, LoadReport>> reports;
    };

    ColdReplayFixture()
    {
        std::vector<std::string> ips;
        for (std::size_t i = 0; i < entryCount; ++i) {
            ips.push_back("10.0.0." + std::to_string(i));
        }
        for (const std::string &ip : ips) {
            m_entries.push_back({balancer(ip, ips), {}, false, {}, {}});
        }
        m_agent = m_agent.withRules(rules());
    }

    std::uint64_t random(std::uint64_t n)
    {
        m_random = m_random * 6364136223846793005ULL + 1442695040888963407ULL;
        return (m_random >> 33U) % n;
    }

    void list(const ReplicaEntry &entry)
    {
        m_server = entry;
        for (Entry &it : m_entries) {
            it.balancer.setReplicas({entry}, m_now);
        }
    }

    void sendReports()
    {
        m_agent = m_agent.withReport(m_running.startedAtMs, m_now, m_wall).at(m_now);
        LoadReport load = report(m_running, 0);
        load.coldLeft = m_agent.coldLeft(m_now);
        load.sentAt = m_now.time_since_epoch() + seconds(1000);
        std::vector<CreditClaim> claims;
        for (std::size_t i = 0; i < entryCount; ++i) {
            if (!m_entries[i].isCutOff) {
                claims.push_back({InstanceId(std::to_string(i)), true, 10, 0});
            }
        }
        const auto credits = m_allocator.allocate(m_agent.availableCredits(), claims);
        for (std::size_t i = 0; i < entryCount; ++i) {
            const auto own = credits.find(InstanceId(std::to_string(i)));
            load.credits = own == credits.end() ? 0 : own->second;
            m_agent = m_agent.handedOut(*load.credits);
            if (!m_entries[i].isCutOff) {
                const Duration delay = m_entries[i].delay + milliseconds(1 + random(20));
                m_entries[i].reports.emplace_back(m_now + delay, load);
            }
        }
    }

    void send(Entry &entry)
    {
        // Callers of an entry ask for more than a cold server can do, but not for any number.
        for (int i = 0; i < 2 && acquire(entry.balancer, m_now); ++i) {
            m_arrivals.insert(m_now + milliseconds(1 + random(100)));
        }
    }

    void runEntry(Entry &entry)
    {
        if (m_now < entry.pausedUntil) {
            return;
        }
        send(entry);
        while (!entry.reports.empty() && entry.reports.front().first <= m_now) {
            entry.balancer.applyReport(entry.reports.front().second, m_now);
            entry.reports.pop_front();
            send(entry);
        }
    }

    void runFor(Duration time, bool hasAgent = true)
    {
        const Instant end = m_now + time;
        for (; m_now < end; m_now += milliseconds(5), m_wall += milliseconds(5)) {
            if (hasAgent && m_now.time_since_epoch() % milliseconds(50) == Duration::zero()) {
                sendReports();
            }
            for (Entry &entry : m_entries) {
                runEntry(entry);
            }
        }
    }

    /** @returns the most requests that arrived within any second from a time on */
    std::size_t mostInASecond(Instant from) const
    {
        std::size_t most = 0;
        for (auto it = m_arrivals.lower_bound(from); it != m_arrivals.end(); ++it) {
            const auto last = m_arrivals.lower_bound(*it + seconds(1));
            most = std::max(most, static_cast<std::size_t>(std::distance(it, last)));
        }
        return most;
    }

    std::vector<Entry> m_entries;
    ReplicaEntry m_server;
    ReplicaEntry m_running;
    ColdBackend m_agent;
    CreditAllocator m_allocator {1};
    std::multiset<Instant> m_arrivals;
    std::uint64_t m_random = 1;
};

// Guards against entries that all send to a new server as soon as they see it.
TEST_CASE_METHOD(ColdReplayFixture, "replay_newServerSomeCutOffSomeLate_staysWithinTheBound")
{
    for (std::size_t i = 0; i < entryCount; ++i) {
        m_entries[i].isCutOff = i % 3 == 0;
        m_entries[i].delay = i % 5 == 0 ? milliseconds(300) : milliseconds(0);
    }
    m_agent = m_agent.withReport(10, m_now, m_wall);
    m_running = replica("new", 20);
    list(m_running);
    const Instant from = m_now;
    runFor(seconds(15));
    INFO("requests " << m_arrivals.size());
    REQUIRE(mostInASecond(from) <= 30);
    REQUIRE(m_arrivals.size() >= 15 * 10);
}

TEST_CASE_METHOD(ColdReplayFixture, "replay_newServerWithoutAgent_getsTheShareOfEntriesOnly")
{
    list(replica("new", 20));
    runFor(seconds(15), false);
    REQUIRE(mostInASecond({}) <= 9);
    REQUIRE(m_arrivals.size() >= 15 * 5);
}

TEST_CASE_METHOD(ColdReplayFixture, "replay_plainServiceWithoutAgents_getsTheWholeBound")
{
    m_service.engine.reset();
    for (Entry &entry : m_entries) {
        entry.balancer.setServices({{pool, m_service}});
    }
    list(replica("new", 20));
    runFor(seconds(15), false);
    REQUIRE(mostInASecond({}) <= 30);
    REQUIRE(m_arrivals.size() >= 15 * 20);
}

TEST_CASE_METHOD(ColdReplayFixture, "replay_serverTurnsColdInMidTraffic_isLimitedOnceItsAgentKnows")
{
    for (std::size_t i = 0; i < entryCount; ++i) {
        m_entries[i].isCutOff = i % 4 == 0;
    }
    m_running = replica("old");
    list(m_running);
    m_agent = m_agent.withReport(10, m_now, m_wall).withHealth(seconds(10), m_now);
    runFor(seconds(2));
    list(replica("old", 10, seconds(8)));
    // The requests that were on their way when the list told it still arrive.
    const Instant from = m_now + milliseconds(101);
    runFor(seconds(7));
    REQUIRE(mostInASecond(from) <= 30);
}

// Guards against an agent that has forgotten the credits of its last second, and entries that know
// the new incarnation later than the agent.
TEST_CASE_METHOD(ColdReplayFixture, "replay_agentRestartsWithItsServer_staysWithinTheBound")
{
    m_agent = m_agent.withReport(10, m_now, m_wall);
    m_running = replica("new", 20);
    list(m_running);
    runFor(seconds(4));
    const auto startedAtMs = std::chrono::duration_cast<milliseconds>(m_wall.time_since_epoch());
    m_running = replica("next", static_cast<std::uint64_t>(startedAtMs.count()));
    m_running.address = m_server.address;
    m_agent = ColdBackend().withRules(rules());
    m_allocator = CreditAllocator(2);
    runFor(milliseconds(1200));
    list(m_running);
    runFor(seconds(8));
    REQUIRE(mostInASecond({}) <= 30);
}

// Guards against an entry that was paused and finds the reports of a second with credits.
TEST_CASE_METHOD(ColdReplayFixture, "replay_entriesWerePaused_useNoOldCredits")
{
    for (std::size_t i = 0; i < entryCount; ++i) {
        m_entries[i].isCutOff = i >= 10;
    }
    m_agent = m_agent.withReport(10, m_now, m_wall);
    m_running = replica("new", 20);
    list(m_running);
    runFor(seconds(3));
    for (std::size_t i = 0; i < 10; ++i) {
        m_entries[i].pausedUntil = m_now + milliseconds(900);
    }
    runFor(seconds(5));
    REQUIRE(mostInASecond({}) <= 30);
}

} // namespace
} // namespace greengageseam
