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

class SharedRetryBudgetFixture
{
protected:
    static Instant at(int ms) { return Instant(milliseconds(ms)); }

    SharedRetryBudget m_budget {SharedRetryBudgetOptions().withRatio(0.2).withSlack(80)};
};

TEST_CASE_METHOD(SharedRetryBudgetFixture, "retryBudget_allEntriesTogether_stayBelowTheFleetLimit")
{
    constexpr std::uint32_t entries = 8;
    int acquired = 0;
    for (int n = 0; n < 100; ++n) {
        m_budget.recordRequest(at(n));
    }
    while (m_budget.tryAcquire(at(200), entries)) {
        ++acquired;
    }
    REQUIRE(acquired > 0);
    REQUIRE(acquired * entries <= 0.2 * 100 * entries + 80);
}

TEST_CASE_METHOD(SharedRetryBudgetFixture, "retryBudget_windowHasPassed_allowsRetriesAgain")
{
    while (m_budget.tryAcquire(at(0), 8)) { }
    REQUIRE_FALSE(m_budget.allows(at(0), 8));
    REQUIRE_FALSE(m_budget.tryAcquire(at(5000), 8));
    REQUIRE(m_budget.tryAcquire(at(12'000), 8));
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
    std::set<Duration> delays;
    for (const InstanceId &member : members(12)) {
        const Duration delay = rolloutDelay(members(12), member, 2, options);
        REQUIRE(delay >= options.firstStart);
        REQUIRE(delay < options.lastStart);
        delays.insert(delay);
    }
    REQUIRE(delays.size() == 12);
}

TEST_CASE_METHOD(RolloutFixture, "rolloutDelay_memberIsMissingFromTheList_startsFirst")
{
    const RolloutOptions options;
    const Duration delay = rolloutDelay({}, InstanceId("alone"), 2, options);
    REQUIRE(delay == options.firstStart);
}

// Agents that cannot read the list of backend servers must not all load at once.
TEST_CASE_METHOD(RolloutFixture, "rolloutDelayWithoutMembers_manyAgents_areSpreadInTheirOrder")
{
    const RolloutOptions options;
    const Duration third = (options.lastStart - options.firstStart) / 3;
    std::map<Duration, Duration> byTurn;
    std::array<int, 3> inThird {};
    for (const InstanceId &member : members(48)) {
        const Duration delay = rolloutDelayWithoutMembers(member, 2, options);
        REQUIRE(delay >= options.firstStart);
        REQUIRE(delay < options.lastStart);
        byTurn.emplace(rolloutDelay(members(48), member, 2, options), delay);
        ++inThird.at(static_cast<std::size_t>((delay - options.firstStart) / third));
    }
    for (const int count : inThird) {
        REQUIRE(count >= 8);
    }
    const auto isEarlier = [](const auto &a, const auto &b) { return a.second < b.second; };
    REQUIRE(std::is_sorted(byTurn.begin(), byTurn.end(), isEarlier));
}

class LoadStartFixture
{
protected:
    bool mayStart(std::uint32_t running, int ms, bool mayInterrupt) const
    {
        ReplicaReport report;
        report.running = running;
        return mayStartLoad(report, milliseconds(ms), mayInterrupt, m_options);
    }

    RolloutOptions m_options;
};

TEST_CASE_METHOD(LoadStartFixture, "load_entriesNotNotifiedYet_mayNotStart")
{
    REQUIRE_FALSE(mayStart(0, 100, true));
    REQUIRE_FALSE(mayStart(0, 100, false));
}

TEST_CASE_METHOD(LoadStartFixture, "load_manyInterruptibleRequestsRunning_waitsForDrain")
{
    REQUIRE_FALSE(mayStart(9, 400, true));
    REQUIRE(mayStart(1, 400, true));
    REQUIRE(mayStart(9, 700, true));
}

TEST_CASE_METHOD(LoadStartFixture, "load_runningRequestsMayNotBeInterrupted_startsAfterNotice")
{
    REQUIRE(mayStart(9, 150, false));
}

class EntryRegistryFixture
{
protected:
    static EntryLocation location(const std::string &name)
    {
        return {InstanceId(name), ZoneName("a"), name};
    }
    static Instant at(int ms) { return Instant(milliseconds(ms)); }

    EntryRegistry m_entries {milliseconds(500)};
};

TEST_CASE_METHOD(EntryRegistryFixture, "entries_notRefreshed_expire")
{
    m_entries.refresh(location("a"), at(0));
    m_entries.refresh(location("b"), at(400));
    REQUIRE(m_entries.expire(at(400)));
    REQUIRE(m_entries.expire(at(600)));
    REQUIRE(m_entries.locations() == std::vector<EntryLocation> {location("b")});
}

TEST_CASE_METHOD(EntryRegistryFixture, "entries_confirmedWithSameChecksum_stay")
{
    m_entries.refresh(location("a"), at(0));
    for (int ms = 100; ms < 3000; ms += 100) {
        m_entries.confirm(m_entries.checksum(), at(ms));
    }
    m_entries.expire(at(3000));
    REQUIRE(m_entries.locations().size() == 1);
}

TEST_CASE_METHOD(EntryRegistryFixture, "entries_confirmedWithOtherChecksum_expire")
{
    m_entries.refresh(location("a"), at(0));
    m_entries.confirm(m_entries.checksum() + 1, at(400));
    REQUIRE(m_entries.expire(at(600)));
    REQUIRE(m_entries.locations().empty());
}

class LoadedWeightsFixture
{ };

TEST_CASE_METHOD(LoadedWeightsFixture, "runnableVersion_noLayers_isZero")
{
    LoadedWeights loaded {ModelName("m"), 2, LayerRange {0, 0, 2}};
    REQUIRE(loaded.runnableVersion() == 0);
    loaded.layers = LayerRange {0, 16, 2};
    REQUIRE(loaded.runnableVersion() == 2);
}

} // namespace
} // namespace greengageseam
