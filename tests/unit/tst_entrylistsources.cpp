/**
 * Tests of the choice of the agents that an entry asks for the list of entries.
 */
#include "core/fleet/fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace greengageseam {
namespace {

class EntryListSourcesFixture
{
protected:
    std::set<std::size_t> choose(std::uint64_t round) const
    {
        return chooseEntryListSources(m_zones, m_self, round);
    }

    /** @returns the agents that are chosen in a number of rounds */
    std::set<std::size_t> chosenIn(std::uint64_t rounds) const
    {
        std::set<std::size_t> all;
        for (std::uint64_t round = 0; round < rounds; ++round) {
            all.merge(choose(round));
        }
        return all;
    }

    const ZoneName m_self {"a"};
    std::vector<ZoneName> m_zones;
};

TEST_CASE_METHOD(EntryListSourcesFixture, "choice_noAgents_isEmpty")
{
    REQUIRE(choose(7).empty());
}

TEST_CASE_METHOD(EntryListSourcesFixture, "choice_agentsInBothZones_twoOfTheOwnAndOneOther")
{
    m_zones.assign(30, ZoneName("a"));
    m_zones.insert(m_zones.end(), 60, ZoneName("b"));
    for (std::uint64_t round = 0; round < 100; ++round) {
        const std::set<std::size_t> chosen = choose(round);
        REQUIRE(chosen.size() == 3);
        REQUIRE(std::count_if(chosen.begin(), chosen.end(), [](std::size_t it) { return it < 30; })
                == 2);
    }
}

TEST_CASE_METHOD(EntryListSourcesFixture, "choice_manyRounds_everyAgentIsAsked")
{
    m_zones.assign(7, ZoneName("a"));
    m_zones.insert(m_zones.end(), 13, ZoneName("b"));
    REQUIRE(chosenIn(13).size() == 20);
}

TEST_CASE_METHOD(EntryListSourcesFixture, "choice_noAgentInOwnZone_othersAreAsked")
{
    m_zones.assign(5, ZoneName("b"));
    REQUIRE(choose(0).size() == 3);
    REQUIRE(chosenIn(5).size() == 5);
}

TEST_CASE_METHOD(EntryListSourcesFixture, "choice_allAgentsInOwnZone_threeAreAsked")
{
    m_zones.assign(5, ZoneName("a"));
    REQUIRE(choose(3).size() == 3);
}

TEST_CASE_METHOD(EntryListSourcesFixture, "choice_fewerAgentsThanAsked_allAreAsked")
{
    m_zones = {ZoneName("a"), ZoneName("b")};
    REQUIRE(choose(9).size() == 2);
}

} // namespace
} // namespace greengageseam
