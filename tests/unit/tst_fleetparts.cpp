/**
 * Tests of the smaller parts of core/fleet: the shared retry budget, the schedule of a rollout, the
 * registry of entries and the weights of an engine.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RetryAllowanceFixture
{
protected:
    static Instant at(int ms) { return Instant(milliseconds(ms)); }

    RetryAllowance m_allowance {RetryAllowanceOptions().withRatio(0.2).withSlack(80)};
};

TEST_CASE_METHOD(RetryAllowanceFixture, "retryBudget_allEntriesTogether_stayBelowTheFleetLimit")
{
    constexpr std::uint32_t entries = 8;
    int taken = 0;
    for (int n = 0; n < 100; ++n) {
        m_allowance.countRequest(at(n));
    }
    while (m_allowance.take(at(200), entries)) {
        ++taken;
    }
    REQUIRE(taken > 0);
    REQUIRE(taken * entries <= 0.2 * 100 * entries + 80);
}

TEST_CASE_METHOD(RetryAllowanceFixture, "retryBudget_windowHasPassed_allowsRetriesAgain")
{
    while (m_allowance.take(at(0), 8)) { }
    REQUIRE_FALSE(m_allowance.take(at(5000), 8));
    REQUIRE(m_allowance.take(at(12'000), 8));
}

class RolloutFixture
{
protected:
    static std::vector<InstanceId> members(int count)
    {
        std::vector<InstanceId> members;
        for (int n = 0; n < count; ++n) {
            members.emplace_back("agent-" + std::to_string(n));
        }
        return members;
    }
};

TEST_CASE_METHOD(RolloutFixture, "rolloutDelay_twelveMembers_areDistinctAndWithinTheBounds")
{
    const RolloutOptions options;
    std::set<Duration> turns;
    for (const InstanceId &member : members(12)) {
        const Duration turn = rolloutTurn(members(12), member, 2, options);
        REQUIRE(turn >= options.first);
        REQUIRE(turn < options.last);
        turns.insert(turn);
    }
    REQUIRE(turns.size() == 12);
}

TEST_CASE_METHOD(RolloutFixture, "rolloutDelay_memberIsMissingFromTheList_startsFirst")
{
    const RolloutOptions options;
    const Duration turn = rolloutTurn({}, InstanceId("alone"), 2, options);
    REQUIRE(turn == options.first);
}

class LoadDueFixture
{
protected:
    bool isDue(std::uint32_t running, int ms, bool mayCut) const
    {
        ReplicaReport report;
        report.running = running;
        return isLoadDue(report, milliseconds(ms), mayCut, m_options);
    }

    RolloutOptions m_options;
};

TEST_CASE_METHOD(LoadDueFixture, "load_entriesNotNotifiedYet_mayNotStart")
{
    REQUIRE_FALSE(isDue(0, 100, true));
    REQUIRE_FALSE(isDue(0, 100, false));
}

TEST_CASE_METHOD(LoadDueFixture, "load_manyInterruptibleRequestsRunning_waitsForDrain")
{
    REQUIRE_FALSE(isDue(9, 400, true));
    REQUIRE(isDue(1, 400, true));
    REQUIRE(isDue(9, 700, true));
}

TEST_CASE_METHOD(LoadDueFixture, "load_runningRequestsMayNotBeInterrupted_startsAfterNotice")
{
    REQUIRE(isDue(9, 150, false));
}

class EntrySitesFixture
{
protected:
    static EntrySite site(const std::string &name)
    {
        return {InstanceId(name), ZoneName("a"), name};
    }
    static Instant at(int ms) { return Instant(milliseconds(ms)); }

    EntrySites m_sites {milliseconds(500)};
};

TEST_CASE_METHOD(EntrySitesFixture, "entries_notRefreshed_expire")
{
    m_sites.hear(site("a"), at(0));
    m_sites.hear(site("b"), at(400));
    REQUIRE(m_sites.settle(at(400)));
    REQUIRE(m_sites.settle(at(600)));
    REQUIRE(m_sites.sites() == std::vector<EntrySite> {site("b")});
}

TEST_CASE_METHOD(EntrySitesFixture, "entries_confirmedWithSameChecksum_stay")
{
    m_sites.hear(site("a"), at(0));
    for (int ms = 100; ms < 3000; ms += 100) {
        m_sites.confirm(m_sites.checksum(), at(ms));
    }
    m_sites.settle(at(3000));
    REQUIRE(m_sites.sites().size() == 1);
}

TEST_CASE_METHOD(EntrySitesFixture, "entries_confirmedWithOtherChecksum_expire")
{
    m_sites.hear(site("a"), at(0));
    m_sites.confirm(m_sites.checksum() + 1, at(400));
    REQUIRE(m_sites.settle(at(600)));
    REQUIRE(m_sites.sites().empty());
}

class LoadedWeightsFixture
{ };

TEST_CASE_METHOD(LoadedWeightsFixture, "runnableVersion_noLayers_isZero")
{
    LoadedWeights loaded {ModelName("m"), 2, LayerSpan {0, 0, 2}};
    REQUIRE(loaded.wholeVersion() == 0);
    loaded.layers = LayerSpan {0, 16, 2};
    REQUIRE(loaded.wholeVersion() == 2);
}

} // namespace
} // namespace greengageseam
