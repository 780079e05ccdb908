/**
 * Tests of the decisions when a request is sent to a further backend server.
 */
#include "core/fleet/attemptpolicy.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AttemptPolicyFixture
{
protected:
    AttemptPolicyFixture()
    {
        m_route.kind = RouteKind::Streaming;
        m_route.canResume = true;
        m_route.maxAttempts = 2;
        m_progress.sent = 1;
        m_progress.inProgress = 1;
        m_progress.remaining = seconds(4);
    }

    bool allowsHedging() const { return allowsHedge(m_route, m_progress); }
    bool allowsFurther() const { return allowsFurtherAttempt(m_route, m_progress); }

    Route m_route;
    AttemptProgress m_progress;
};

TEST_CASE_METHOD(AttemptPolicyFixture, "hedge_oneAttemptOfAResumableStream_isAllowed")
{
    REQUIRE(allowsHedging());
    m_progress.hasStarted = true;
    m_progress.hasEventId = true;
    REQUIRE(allowsHedging());
}

TEST_CASE_METHOD(AttemptPolicyFixture, "hedge_streamStartedWithoutEventIds_isNotAllowed")
{
    m_progress.hasStarted = true;
    REQUIRE_FALSE(allowsHedging());
    REQUIRE_FALSE(allowsFurther());
}

TEST_CASE_METHOD(AttemptPolicyFixture, "hedge_mayRunOnceOnly_isNotAllowed")
{
    m_route.canResume = false;
    REQUIRE_FALSE(allowsHedging());
    m_route.kind = RouteKind::NonIdempotent;
    REQUIRE_FALSE(allowsHedging());
    m_route.kind = RouteKind::Idempotent;
    REQUIRE(allowsHedging());
}

TEST_CASE_METHOD(AttemptPolicyFixture, "hedge_twoAttemptsOrNone_isNotAllowed")
{
    m_progress.inProgress = 2;
    REQUIRE_FALSE(allowsHedging());
    m_progress.inProgress = 0;
    REQUIRE_FALSE(allowsHedging());
}

TEST_CASE_METHOD(AttemptPolicyFixture, "furtherAttempt_limitsOfTheRouteOrTimeReached_isNotAllowed")
{
    REQUIRE(allowsFurther());
    m_progress.remaining = minAttemptTime;
    REQUIRE_FALSE(allowsFurther());
    m_progress.remaining = seconds(4);
    m_progress.sent = 2;
    REQUIRE_FALSE(allowsFurther());
    REQUIRE_FALSE(allowsHedging());
}

TEST_CASE_METHOD(AttemptPolicyFixture, "callerPatience_objectivesAreLong_isTheLongestOfThem")
{
    REQUIRE(callerPatience(m_route) == seconds(2));
    m_route.latencyObjective = milliseconds(600);
    REQUIRE(callerPatience(m_route) == milliseconds(2400));
    m_route.interEventObjective = milliseconds(500);
    REQUIRE(callerPatience(m_route) == seconds(4));
}

TEST_CASE_METHOD(AttemptPolicyFixture, "silenceTimeout_littleTimeRemains_neverExceedsIt")
{
    REQUIRE(silenceTimeout(RouteKind::Streaming, seconds(6)) == milliseconds(1500));
    REQUIRE(silenceTimeout(RouteKind::Streaming, milliseconds(300)) == milliseconds(300));
    REQUIRE(silenceTimeout(RouteKind::Idempotent, milliseconds(1000)) == milliseconds(400));
}

} // namespace
} // namespace greengageseam
