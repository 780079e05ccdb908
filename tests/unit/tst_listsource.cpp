/**
 * Tests of chooseListSource(): from which process the list of a version's pieces is requested.
 */
#include "core/weights/weights.h"

#include <catch2/catch.hpp>
#include <set>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

class ListSourceFixture
{
protected:
    ListSourceFixture()
    {
        for (int n = 0; n < 12; ++n) {
            m_entries.emplace_back("10.1.0." + std::to_string(n));
        }
    }

    std::optional<ChunkSource> sourceFor(const InstanceId &self, int missingMs,
                                         std::uint32_t attempts = 0) const
    {
        return chooseListSource({self, m_entries, 2, milliseconds(missingMs), attempts});
    }

    int originReadersAt(int missingMs) const
    {
        int readers = 0;
        for (const InstanceId &entry : m_entries) {
            const auto source = sourceFor(entry, missingMs);
            readers += source && source->isOrigin() ? 1 : 0;
        }
        return readers;
    }

    std::vector<InstanceId> m_entries;
};

TEST_CASE_METHOD(ListSourceFixture, "listSource_versionJustNamed_onlyOneEntryUsesOrigin")
{
    REQUIRE(originReadersAt(0) == 1);
    REQUIRE(originReadersAt(399) == 1);
}

TEST_CASE_METHOD(ListSourceFixture, "listSource_firstEntryIsSilent_nextOneUsesOrigin")
{
    REQUIRE(originReadersAt(400) == 2);
    REQUIRE(originReadersAt(900) == 3);
}

TEST_CASE_METHOD(ListSourceFixture, "listSource_agent_triesAllEntriesInTurnThenOrigin")
{
    const InstanceId agent("10.1.9.9");
    std::set<InstanceId> asked;
    for (std::uint32_t attempts = 0; attempts < 12; ++attempts) {
        const auto source = sourceFor(agent, 0, attempts);
        REQUIRE(source.has_value());
        REQUIRE_FALSE(source->isOrigin());
        asked.insert(source->peer);
    }
    REQUIRE(asked.size() == 12);
    REQUIRE(sourceFor(agent, 1600)->isOrigin());
}

TEST_CASE_METHOD(ListSourceFixture, "listSource_agentKnowsNoEntry_waitsThenUsesOrigin")
{
    m_entries.clear();
    REQUIRE_FALSE(sourceFor(InstanceId("10.1.9.9"), 0).has_value());
    REQUIRE(sourceFor(InstanceId("10.1.9.9"), 1600)->isOrigin());
}

} // namespace
} // namespace greengageseam
