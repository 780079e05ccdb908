/**
 * Tests of the deadlines of target versions.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

class WeightsDeadlinesFixture
{
protected:
    static Instant at(int ms) { return Instant(milliseconds(ms)); }

    void announce(std::uint64_t version, int ms)
    {
        m_deadlines = m_deadlines.withAnnouncement(m_model, version, at(ms));
    }

    const ModelName m_model {"m"};
    WeightsDeadlines m_deadlines;
};

TEST_CASE_METHOD(WeightsDeadlinesFixture, "required_nothingAnnounced_isNone")
{
    REQUIRE(m_deadlines.required(m_model, at(99'000)) == 0);
    REQUIRE(m_deadlines.newest(m_model) == 0);
    REQUIRE_FALSE(m_deadlines.startDeadline(m_model, 1));
}

TEST_CASE_METHOD(WeightsDeadlinesFixture, "required_boundIsNear_isTheVersion")
{
    announce(2, 1000);
    REQUIRE(m_deadlines.required(m_model, at(7999)) == 0);
    REQUIRE(m_deadlines.required(m_model, at(8000)) == 2);
}

TEST_CASE_METHOD(WeightsDeadlinesFixture, "required_versionIsFoundToBeOlder_earlierTimeCounts")
{
    announce(2, 3000);
    announce(2, 1000);
    announce(2, 2000);
    REQUIRE(m_deadlines.announcedAt(m_model, 2) == at(1000));
    REQUIRE(m_deadlines.required(m_model, at(8000)) == 2);
}

TEST_CASE_METHOD(WeightsDeadlinesFixture, "startDeadline_twoNewerVersions_firstOneCounts")
{
    announce(2, 1000);
    announce(3, 2000);
    REQUIRE(m_deadlines.startDeadline(m_model, 1) == at(8600));
    REQUIRE(m_deadlines.startDeadline(m_model, 2) == at(9600));
    REQUIRE_FALSE(m_deadlines.startDeadline(m_model, 3));
}

// Of two versions, the older one may have been heard of later.
TEST_CASE_METHOD(WeightsDeadlinesFixture,
                 "startDeadline_newerVersionAnnouncedEarlier_earliestCounts")
{
    announce(2, 3000);
    announce(3, 1000);
    REQUIRE(m_deadlines.startDeadline(m_model, 1) == at(8600));
}

} // namespace
} // namespace greengageseam
