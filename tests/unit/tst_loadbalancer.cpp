/**
 * Tests of the load balancer.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

class LoadBalancerFixture
{
protected:
    LoadBalancerFixture() : m_balancer(LoadBalancerOptions {ZoneName("a")})
    {
        EngineCosts engine;
        engine.slots = 2;
        engine.stepMs = 7;
        engine.typicalOutputTokens = 100;
        engine.model = ModelName("m");
        Service pool;
        pool.name = ServiceName("pool");
        pool.engine = engine;
        m_balancer.setServices({{pool.name, pool}});
        m_requirements.service = pool.name;
        m_requirements.latencyObjective = milliseconds(400);
    }

    static ReplicaEntry replica(const std::string &id, std::uint64_t weights = 1)
    {
        ReplicaEntry entry;
        entry.id = ReplicaId(id);
        entry.service = ServiceName("pool");
        entry.address = Address("127.0.0.1:" + std::to_string(id.front()));
        entry.zone = ZoneName("a");
        entry.slots = 2;
        entry.startedAtMs = 10;
        entry.loaded.version = weights;
        return entry;
    }

    static LoadReport report(const ReplicaEntry &entry, std::uint32_t running)
    {
        LoadReport report;
        report.backend = entry.address;
        report.startedAtMs = entry.startedAtMs;
        report.weightsVersion = entry.loaded.version;
        report.running = running;
        return report;
    }

    /** Configures engines that prefill ten tokens per millisecond. */
    void usePrefillEngine(double typicalPromptTokens)
    {
        EngineCosts engine;
        engine.slots = 10;
        engine.stepMs = 7;
        engine.prefillTokensPerSecond = 10'000;
        engine.typicalPromptTokens = typicalPromptTokens;
        engine.typicalOutputTokens = 100;
        engine.model = ModelName("m");
        Service pool;
        pool.name = m_requirements.service;
        pool.engine = engine;
        m_balancer.setServices({{pool.name, pool}});
    }

    std::optional<std::string> acquire(std::uint64_t random = 0)
    {
        const auto acquired = m_balancer.acquire(m_requirements, m_now, random);
        return acquired ? std::optional(acquired->id.text()) : std::nullopt;
    }

    LoadBalancer m_balancer;
    ReplicaRequirements m_requirements;
    Instant m_now {milliseconds(1000)};
};

// What is sent to a server that stands still begins when it wakes, which may be after the bound.
TEST_CASE_METHOD(LoadBalancerFixture, "acquire_serverOnOlderWeightsIsSilent_isNotChosen")
{
    m_balancer.setReplicas({replica("a", 1)});
    m_balancer.applyReport(report(replica("a", 1), 0), m_now);
    m_now += milliseconds(1001);
    REQUIRE(acquire() == "a");
    m_requirements.weights.targetVersion = 2;
    REQUIRE_FALSE(acquire());
    REQUIRE_FALSE(m_balancer.hasUsable(m_requirements.service, m_requirements.weights, m_now));
    m_balancer.applyReport(report(replica("a", 1), 0), m_now);
    REQUIRE(acquire() == "a");
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_serverOnTargetWeightsIsSilent_isChosen")
{
    m_balancer.setReplicas({replica("a", 2)});
    m_balancer.applyReport(report(replica("a", 2), 0), m_now);
    m_now += milliseconds(1001);
    m_requirements.weights.targetVersion = 2;
    REQUIRE(acquire() == "a");
}

// Without an agent, the list alone tells the weights; they are used until newer ones are required.
TEST_CASE_METHOD(LoadBalancerFixture, "acquire_serverOnOlderWeightsNeverReported_isChosen")
{
    m_balancer.setReplicas({replica("a", 1)});
    m_requirements.weights.targetVersion = 2;
    REQUIRE(acquire() == "a");
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_oneReportsBusy_choosesTheOther")
{
    m_balancer.setReplicas({replica("a"), replica("b")});
    m_balancer.applyReport(report(replica("a"), 2), m_now);
    m_balancer.applyReport(report(replica("b"), 0), m_now);
    for (std::uint64_t random = 0; random < 8; ++random) {
        REQUIRE(acquire(random) == "b");
        m_balancer.finished(ReplicaId("b"), ReplicaVerdict::Answered, std::nullopt, m_now);
    }
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_engineWithoutWeights_isNotUsed")
{
    m_balancer.setReplicas({replica("a", 0)});
    REQUIRE_FALSE(acquire());
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_olderWeightsThanRequired_isNotUsed")
{
    m_balancer.setReplicas({replica("a", 1), replica("b", 2)});
    m_requirements.weights.minVersion = 2;
    REQUIRE(acquire() == "b");
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_reportHasOrderInProgress_isNotUsed")
{
    m_balancer.setReplicas({replica("a")});
    LoadReport loading = report(replica("a"), 0);
    loading.hasOrderInProgress = true;
    m_balancer.applyReport(loading, m_now);
    REQUIRE_FALSE(acquire());
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_restartedUnderTheSameAddress_isNotUsed")
{
    m_balancer.setReplicas({replica("a")});
    LoadReport successor = report(replica("a"), 0);
    successor.startedAtMs = 20;
    m_balancer.applyReport(successor, m_now);
    REQUIRE_FALSE(acquire());
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_saidThatItLeaves_isNotUsedInThisIncarnation")
{
    m_balancer.setReplicas({replica("a")});
    m_balancer.applyStatement(processOf(replica("a")), {true, {}}, m_now);
    REQUIRE_FALSE(acquire());
    m_balancer.setReplicas({});
    m_balancer.setReplicas({replica("a")});
    m_balancer.applyReport(report(replica("a"), 0), m_now);
    REQUIRE_FALSE(acquire());
    ReplicaEntry restarted = replica("a");
    restarted.startedAtMs += 100;
    m_balancer.setReplicas({restarted});
    REQUIRE(acquire() == "a");
}

// A late answer of an earlier incarnation must not hold its successor back.
TEST_CASE_METHOD(LoadBalancerFixture, "acquire_earlierIncarnationSaidThatItLeaves_isUsed")
{
    ReplicaEntry restarted = replica("a");
    restarted.startedAtMs += 100;
    m_balancer.setReplicas({restarted});
    m_balancer.applyStatement(processOf(replica("a")), {true, milliseconds(900)}, m_now);
    REQUIRE(acquire() == "a");
}

TEST_CASE_METHOD(LoadBalancerFixture, "occupancy_askedForAPause_countsItsSlotsAsTaken")
{
    m_balancer.setReplicas({replica("a"), replica("b")});
    const ReplicaStatement pause {false, milliseconds(900)};
    m_balancer.applyStatement(processOf(replica("a")), pause, m_now);
    Occupancy occupancy = m_balancer.occupancy(m_requirements.service, {}, m_now);
    REQUIRE(occupancy.usableReplicas == 2);
    REQUIRE(occupancy.inUse == replica("a").slots);
    REQUIRE(occupancy.pauseLeft == Duration::zero());
    m_balancer.applyStatement(processOf(replica("b")), pause, m_now + milliseconds(100));
    occupancy = m_balancer.occupancy(m_requirements.service, {}, m_now + milliseconds(100));
    REQUIRE(occupancy.pauseLeft == milliseconds(800));
    REQUIRE_FALSE(acquire());
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_pauseHasEnded_allowsOneRequestFirst")
{
    m_balancer.setReplicas({replica("a")});
    m_balancer.applyStatement(processOf(replica("a")), {false, milliseconds(900)}, m_now);
    m_now = m_now + milliseconds(900);
    REQUIRE(acquire() == "a");
    REQUIRE_FALSE(acquire());
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_draining_isNotUsed")
{
    ReplicaEntry leaving = replica("a");
    leaving.isDraining = true;
    m_balancer.setReplicas({leaving});
    REQUIRE_FALSE(acquire());
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_triedBefore_isNotUsed")
{
    m_balancer.setReplicas({replica("a")});
    m_requirements.tried = {ReplicaId("a")};
    REQUIRE_FALSE(acquire());
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_allSlotsInUseAndNoReport_hasNoCapacity")
{
    m_balancer.setReplicas({replica("a")});
    REQUIRE(acquire());
    REQUIRE(acquire());
    REQUIRE_FALSE(acquire());
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_rejectedJustNow_backsOff")
{
    m_balancer.setReplicas({replica("a")});
    REQUIRE(acquire());
    m_balancer.finished(ReplicaId("a"), ReplicaVerdict::Full, std::nullopt, m_now);
    REQUIRE_FALSE(acquire());
    m_now += milliseconds(100);
    REQUIRE(acquire());
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_oneRespondsSlowly_choosesTheOther")
{
    m_balancer.setReplicas({replica("a"), replica("b")});
    m_requirements.tried = {ReplicaId("b")};
    REQUIRE(acquire() == "a");
    m_requirements.tried.clear();
    m_balancer.finished(ReplicaId("a"), ReplicaVerdict::Answered, milliseconds(2000), m_now);
    for (std::uint64_t random = 0; random < 8; ++random) {
        REQUIRE(acquire(random) == "b");
        m_balancer.finished(ReplicaId("b"), ReplicaVerdict::Answered, milliseconds(100), m_now);
    }
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_threeConsecutiveFailures_isEjected")
{
    m_balancer.setReplicas({replica("a")});
    for (int n = 0; n < 3; ++n) {
        REQUIRE(acquire());
        m_balancer.finished(ReplicaId("a"), ReplicaVerdict::Failed, std::nullopt, m_now);
    }
    REQUIRE_FALSE(acquire());
    REQUIRE_FALSE(m_balancer.hasUsable(m_requirements.service, {}, m_now));
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_olderEntryHasTheSameAddress_usesOnlyTheNewer")
{
    ReplicaEntry older = replica("z");
    ReplicaEntry newer = replica("b", 0);
    newer.address = older.address;
    newer.startedAtMs = older.startedAtMs + 1;
    m_balancer.setReplicas({newer, older});
    REQUIRE_FALSE(acquire().has_value());
    REQUIRE_FALSE(m_balancer.hasUsable(m_requirements.service, {}, m_now));
    m_balancer.applyReport(report(newer, 0), m_now);
    newer.loaded.version = 1;
    m_balancer.setReplicas({newer, older});
    m_balancer.applyReport(report(newer, 0), m_now);
    REQUIRE(acquire() == "b");
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_requestMissesObjective_leavesSlotsToOthers")
{
    ReplicaEntry entry = replica("b");
    entry.slots = 10;
    m_balancer.setReplicas({entry});
    m_balancer.applyReport(report(entry, 6), m_now);
    m_requirements.missesObjective = true;
    REQUIRE_FALSE(acquire().has_value());
    m_requirements.missesObjective = false;
    REQUIRE(acquire() == "b");
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_longPromptPendingAtOne_shortOneGoesToTheOther")
{
    usePrefillEngine(100);
    ReplicaEntry first = replica("b");
    ReplicaEntry second = replica("c");
    first.slots = 10;
    second.slots = 10;
    m_balancer.setReplicas({first, second});
    m_requirements.promptTokens = 2000;
    const std::string busy = *acquire(0);
    m_requirements.promptTokens = 100;
    for (std::uint64_t n = 0; n < 5; ++n) {
        REQUIRE(acquire(n) != busy);
    }
    m_balancer.responseStarted(ReplicaId(busy), 2000);
    REQUIRE(acquire(0) == busy);
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_responseWouldMissObjectiveEverywhere_hasNoCapacity")
{
    usePrefillEngine(1000);
    ReplicaEntry entry = replica("b");
    entry.slots = 10;
    m_balancer.setReplicas({entry});
    for (int n = 0; n < 3; ++n) {
        REQUIRE(acquire() == "b");
    }
    // The fourth response would start after the prefill of four prompts that take 100 ms each.
    REQUIRE_FALSE(acquire().has_value());
}

// All entries see the same free slot in a report, and would fill the server's queue together.
TEST_CASE_METHOD(LoadBalancerFixture, "acquire_contendedWithoutCredit_isNotUsed")
{
    m_balancer.setReplicas({replica("a")});
    LoadReport contended = report(replica("a"), 2);
    contended.credits = 0;
    m_balancer.applyReport(contended, m_now);
    REQUIRE_FALSE(acquire());
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_contendedWithCredit_spendsIt")
{
    m_balancer.setReplicas({replica("a")});
    LoadReport contended = report(replica("a"), 2);
    contended.credits = 1;
    m_requirements.latencyObjective = milliseconds(2000);
    m_balancer.applyReport(contended, m_now);
    REQUIRE(acquire() == "a");
    REQUIRE_FALSE(acquire());
    m_balancer.applyReport(contended, m_now);
    REQUIRE(acquire() == "a");
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_creditIsOld_isNotUsed")
{
    m_balancer.setReplicas({replica("a")});
    LoadReport contended = report(replica("a"), 2);
    contended.credits = 1;
    m_requirements.latencyObjective = milliseconds(2000);
    m_balancer.applyReport(contended, m_now);
    m_now += milliseconds(100);
    REQUIRE_FALSE(acquire());
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_slotsFree_needsNoCredit")
{
    m_balancer.setReplicas({replica("a")});
    LoadReport idle = report(replica("a"), 1);
    idle.credits = 0;
    m_balancer.applyReport(idle, m_now);
    REQUIRE(acquire() == "a");
}

// The first server with many free slots would be overrun by the requests that wait everywhere.
TEST_CASE_METHOD(LoadBalancerFixture, "acquire_slotsFreeWhileCallersAreTurnedAway_needsACredit")
{
    m_balancer.setReplicas({replica("a")});
    m_balancer.setSaturated(m_requirements.service, true);
    LoadReport idle = report(replica("a"), 1);
    idle.credits = 0;
    m_balancer.applyReport(idle, m_now);
    REQUIRE_FALSE(acquire());
    m_balancer.setSaturated(m_requirements.service, false);
    REQUIRE(acquire() == "a");
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_agentHandsOutNoCredits_isUsedWhileSlotsAreFree")
{
    m_balancer.setReplicas({replica("a")});
    m_balancer.setSaturated(m_requirements.service, true);
    m_balancer.applyReport(report(replica("a"), 1), m_now);
    REQUIRE(acquire() == "a");
}

TEST_CASE_METHOD(LoadBalancerFixture, "acquire_reportsOfOneAreStale_choosesTheOther")
{
    const ReplicaEntry silent = replica("b");
    const ReplicaEntry reporting = replica("c");
    m_balancer.setReplicas({silent, reporting});
    m_balancer.applyReport(report(silent, 0), m_now);
    m_now += std::chrono::seconds(2);
    m_balancer.applyReport(report(reporting, 1), m_now);
    for (std::uint64_t n = 0; n < 2; ++n) {
        REQUIRE(acquire(n) == "c");
        m_balancer.finished(ReplicaId("c"), ReplicaVerdict::Neutral, std::nullopt, m_now);
    }
}

} // namespace
} // namespace greengageseam
