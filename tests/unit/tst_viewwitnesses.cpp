/**
 * Tests of what processes of all zones say of their views: whether nobody can read a topic.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

class ViewWitnessesFixture
{
protected:
    static Instant at(int ms) { return Instant(milliseconds(ms)); }

    void state(const std::string &zone, int viewAgeMs, int ms)
    {
        m_witnesses.recordStatement(ZoneName(zone), milliseconds(viewAgeMs), at(ms));
    }

    ViewWitnesses m_witnesses;
};

TEST_CASE_METHOD(ViewWitnessesFixture, "witnesses_noStatement_showNothing")
{
    REQUIRE_FALSE(m_witnesses.isUnreadableForAll(at(99'000)));
    REQUIRE_FALSE(m_witnesses.newestViewAge(at(99'000)));
}

TEST_CASE_METHOD(ViewWitnessesFixture, "witnesses_allZonesHaveOldViews_nobodyReads")
{
    state("a", 5000, 9000);
    state("b", 4900, 9100);
    REQUIRE(m_witnesses.isUnreadableForAll(at(9200)));
    REQUIRE(m_witnesses.newestViewAge(at(9200)) == milliseconds(5000));
}

// The links of one zone may be full while the others read.
TEST_CASE_METHOD(ViewWitnessesFixture, "witnesses_oneZoneHasRecentView_othersRead")
{
    state("a", 5000, 9000);
    state("b", 300, 9100);
    REQUIRE_FALSE(m_witnesses.isUnreadableForAll(at(9200)));
}

TEST_CASE_METHOD(ViewWitnessesFixture, "witnesses_oneZoneIsSilent_mayReadUnheard")
{
    state("b", 300, 1000);
    state("a", 8300, 9000);
    REQUIRE_FALSE(m_witnesses.isUnreadableForAll(at(9100)));
}

TEST_CASE_METHOD(ViewWitnessesFixture, "witnesses_expectedZoneWasNeverHeard_mayReadUnheard")
{
    m_witnesses.expectZones({ZoneName("a"), ZoneName("b")});
    state("a", 5000, 9000);
    REQUIRE_FALSE(m_witnesses.isUnreadableForAll(at(9100)));
    state("b", 5000, 9100);
    REQUIRE(m_witnesses.isUnreadableForAll(at(9100)));
}

TEST_CASE_METHOD(ViewWitnessesFixture, "witnesses_processDoesNotStateItsView_itsZoneIsNotHeard")
{
    m_witnesses.expectZones({ZoneName("a"), ZoneName("b")});
    state("a", 5000, 9000);
    m_witnesses.recordStatement(ZoneName("b"), std::nullopt, at(9000));
    REQUIRE_FALSE(m_witnesses.isUnreadableForAll(at(9100)));
}

} // namespace
} // namespace greengageseam
