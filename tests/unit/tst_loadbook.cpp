/**
 * Tests of the load balancer.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

class LoadBookFixture
{
protected:
    LoadBookFixture() : m_book(LoadBookOptions {ZoneName("a")})
    {
        EngineCosts engine;
        engine.slots = 2;
        engine.stepMs = 7;
        engine.usualAnswerTokens = 100;
        engine.model = ModelName("m");
        Service pool;
        pool.name = ServiceName("pool");
        pool.engine = engine;
        m_book.setServices({{pool.name, pool}});
        m_wish.service = pool.name;
        m_wish.objective = milliseconds(400);
    }

    static ReplicaEntry replica(const std::string &id, std::uint64_t weights = 1)
    {
        ReplicaEntry entry;
        entry.id = ReplicaId(id);
        entry.service = ServiceName("pool");
        entry.address = Address("127.0.0.1:" + std::to_string(id.front()));
        entry.zone = ZoneName("a");
        entry.slots = 2;
        entry.bornMs = 10;
        entry.loaded.version = weights;
        return entry;
    }

    static LoadReport report(const ReplicaEntry &entry, std::uint32_t running)
    {
        LoadReport report;
        report.backend = entry.address;
        report.bornMs = entry.bornMs;
        report.weights = entry.loaded.version;
        report.running = running;
        return report;
    }

    /** Configures engines that prefill ten tokens per millisecond. */
    void useReadingEngine(double usualPromptTokens)
    {
        EngineCosts engine;
        engine.slots = 10;
        engine.stepMs = 7;
        engine.readTokensPerSecond = 10'000;
        engine.usualPromptTokens = usualPromptTokens;
        engine.usualAnswerTokens = 100;
        engine.model = ModelName("m");
        Service pool;
        pool.name = m_wish.service;
        pool.engine = engine;
        m_book.setServices({{pool.name, pool}});
    }

    std::optional<std::string> take(std::uint64_t random = 0)
    {
        const auto taken = m_book.take(m_wish, m_now, random);
        return taken ? std::optional(taken->id.text()) : std::nullopt;
    }

    LoadBook m_book;
    ReplicaWish m_wish;
    Instant m_now {milliseconds(1000)};
};

TEST_CASE_METHOD(LoadBookFixture, "acquire_oneReportsBusy_choosesTheOther")
{
    m_book.setReplicas({replica("a"), replica("b")});
    m_book.hear(report(replica("a"), 2), m_now);
    m_book.hear(report(replica("b"), 0), m_now);
    for (std::uint64_t random = 0; random < 8; ++random) {
        REQUIRE(take(random) == "b");
        m_book.ended(ReplicaId("b"), ReplicaVerdict::Answered, std::nullopt, m_now);
    }
}

TEST_CASE_METHOD(LoadBookFixture, "acquire_engineWithoutWeights_isNotUsed")
{
    m_book.setReplicas({replica("a", 0)});
    REQUIRE_FALSE(take());
}

TEST_CASE_METHOD(LoadBookFixture, "acquire_olderWeightsThanRequired_isNotUsed")
{
    m_book.setReplicas({replica("a", 1), replica("b", 2)});
    m_wish.oldestWeights = 2;
    REQUIRE(take() == "b");
}

TEST_CASE_METHOD(LoadBookFixture, "acquire_reportHasOrderInProgress_isNotUsed")
{
    m_book.setReplicas({replica("a")});
    LoadReport loading = report(replica("a"), 0);
    loading.isOrderBusy = true;
    m_book.hear(loading, m_now);
    REQUIRE_FALSE(take());
}

TEST_CASE_METHOD(LoadBookFixture, "acquire_restartedUnderTheSameAddress_isNotUsed")
{
    m_book.setReplicas({replica("a")});
    LoadReport successor = report(replica("a"), 0);
    successor.bornMs = 20;
    m_book.hear(successor, m_now);
    REQUIRE_FALSE(take());
}

TEST_CASE_METHOD(LoadBookFixture, "acquire_draining_isNotUsed")
{
    ReplicaEntry leaving = replica("a");
    leaving.isDraining = true;
    m_book.setReplicas({leaving});
    REQUIRE_FALSE(take());
}

TEST_CASE_METHOD(LoadBookFixture, "acquire_triedBefore_isNotUsed")
{
    m_book.setReplicas({replica("a")});
    m_wish.tried = {ReplicaId("a")};
    REQUIRE_FALSE(take());
}

TEST_CASE_METHOD(LoadBookFixture, "acquire_allSlotsInUseAndNoReport_hasNoCapacity")
{
    m_book.setReplicas({replica("a")});
    REQUIRE(take());
    REQUIRE(take());
    REQUIRE_FALSE(take());
}

TEST_CASE_METHOD(LoadBookFixture, "acquire_rejectedJustNow_backsOff")
{
    m_book.setReplicas({replica("a")});
    REQUIRE(take());
    m_book.ended(ReplicaId("a"), ReplicaVerdict::Full, std::nullopt, m_now);
    REQUIRE_FALSE(take());
    m_now += milliseconds(100);
    REQUIRE(take());
}

TEST_CASE_METHOD(LoadBookFixture, "acquire_oneRespondsSlowly_choosesTheOther")
{
    m_book.setReplicas({replica("a"), replica("b")});
    m_wish.tried = {ReplicaId("b")};
    REQUIRE(take() == "a");
    m_wish.tried.clear();
    m_book.ended(ReplicaId("a"), ReplicaVerdict::Answered, milliseconds(2000), m_now);
    for (std::uint64_t random = 0; random < 8; ++random) {
        REQUIRE(take(random) == "b");
        m_book.ended(ReplicaId("b"), ReplicaVerdict::Answered, milliseconds(100), m_now);
    }
}

TEST_CASE_METHOD(LoadBookFixture, "acquire_threeConsecutiveFailures_isEjected")
{
    m_book.setReplicas({replica("a")});
    for (int n = 0; n < 3; ++n) {
        REQUIRE(take());
        m_book.ended(ReplicaId("a"), ReplicaVerdict::Failed, std::nullopt, m_now);
    }
    REQUIRE_FALSE(take());
    REQUIRE_FALSE(m_book.hasUsable(m_wish.service, 0, m_now));
}

TEST_CASE_METHOD(LoadBookFixture, "acquire_olderEntryHasTheSameAddress_usesOnlyTheNewer")
{
    ReplicaEntry older = replica("z");
    ReplicaEntry newer = replica("b", 0);
    newer.address = older.address;
    newer.bornMs = older.bornMs + 1;
    m_book.setReplicas({newer, older});
    REQUIRE_FALSE(take().has_value());
    REQUIRE_FALSE(m_book.hasUsable(m_wish.service, 0, m_now));
    m_book.hear(report(newer, 0), m_now);
    newer.loaded.version = 1;
    m_book.setReplicas({newer, older});
    m_book.hear(report(newer, 0), m_now);
    REQUIRE(take() == "b");
}

TEST_CASE_METHOD(LoadBookFixture, "acquire_requestMissesObjective_leavesSlotsToOthers")
{
    ReplicaEntry entry = replica("b");
    entry.slots = 10;
    m_book.setReplicas({entry});
    m_book.hear(report(entry, 6), m_now);
    m_wish.isLate = true;
    REQUIRE_FALSE(take().has_value());
    m_wish.isLate = false;
    REQUIRE(take() == "b");
}

TEST_CASE_METHOD(LoadBookFixture, "acquire_longPromptPendingAtOne_shortOneGoesToTheOther")
{
    useReadingEngine(100);
    ReplicaEntry first = replica("b");
    ReplicaEntry second = replica("c");
    first.slots = 10;
    second.slots = 10;
    m_book.setReplicas({first, second});
    m_wish.promptTokens = 2000;
    const std::string busy = *take(0);
    m_wish.promptTokens = 100;
    for (std::uint64_t n = 0; n < 5; ++n) {
        REQUIRE(take(n) != busy);
    }
    m_book.begun(ReplicaId(busy), 2000);
    REQUIRE(take(0) == busy);
}

TEST_CASE_METHOD(LoadBookFixture, "acquire_responseWouldMissObjectiveEverywhere_hasNoCapacity")
{
    useReadingEngine(1000);
    ReplicaEntry entry = replica("b");
    entry.slots = 10;
    m_book.setReplicas({entry});
    for (int n = 0; n < 3; ++n) {
        REQUIRE(take() == "b");
    }
    // The fourth response would start after the prefill of four prompts that take 100 ms each.
    REQUIRE_FALSE(take().has_value());
}

TEST_CASE_METHOD(LoadBookFixture, "acquire_reportsOfOneAreStale_choosesTheOther")
{
    const ReplicaEntry silent = replica("b");
    const ReplicaEntry heard = replica("c");
    m_book.setReplicas({silent, heard});
    m_book.hear(report(silent, 0), m_now);
    m_now += std::chrono::seconds(2);
    m_book.hear(report(heard, 1), m_now);
    for (std::uint64_t n = 0; n < 2; ++n) {
        REQUIRE(take(n) == "c");
        m_book.ended(ReplicaId("c"), ReplicaVerdict::Neutral, std::nullopt, m_now);
    }
}

} // namespace
} // namespace greengageseam
