/**
 * Tests of the timeouts of a caller's connection.
 */
#include "core/fleet/calleractivity.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A connection that was accepted at time 0, with the timeouts of its configuration. */
class CallerActivityFixture
{
protected:
    CallerActivityFixture() : m_activity(Instant())
    {
        m_limits.headerTimeout = seconds(2);
        m_limits.idleTimeout = seconds(15);
    }

    static Instant at(milliseconds time) { return Instant(time); }

    TimeoutAction actionAt(milliseconds time, bool isStopped = false) const
    {
        return m_activity.timeoutAction(m_limits, isStopped, at(time));
    }

    CallerLimits m_limits;
    CallerActivity m_activity;
};

TEST_CASE_METHOD(CallerActivityFixture, "callerActivity_noRequest_isClosedAfterTheIdleTimeout")
{
    REQUIRE(actionAt(seconds(15)) == TimeoutAction::None);
    REQUIRE(actionAt(milliseconds(15'001)) == TimeoutAction::CloseIdle);
    REQUIRE(actionAt(seconds(1), true) == TimeoutAction::CloseIdle);
}

TEST_CASE_METHOD(CallerActivityFixture, "callerActivity_responseEnded_isIdleFromThenOn")
{
    m_activity.beginRequest(at(seconds(1)));
    m_activity.endRequest();
    REQUIRE_FALSE(m_activity.isIdle());
    m_activity.endResponse(at(seconds(9)));
    REQUIRE(m_activity.isIdle());
    REQUIRE(m_activity.answeredAt() == at(seconds(9)));
    REQUIRE(actionAt(seconds(24)) == TimeoutAction::None);
    REQUIRE(actionAt(seconds(25)) == TimeoutAction::CloseIdle);
}

TEST_CASE_METHOD(CallerActivityFixture, "callerActivity_requestArrivesSlowly_isRejectedNotClosed")
{
    m_activity.beginRequest(at(seconds(1)));
    REQUIRE(actionAt(seconds(3), true) == TimeoutAction::None);
    REQUIRE(actionAt(milliseconds(3'001), true) == TimeoutAction::RejectSlow);
    m_activity.beginBody(at(seconds(2)));
    REQUIRE(actionAt(seconds(12), true) == TimeoutAction::None);
    REQUIRE(actionAt(milliseconds(12'001), true) == TimeoutAction::RejectSlow);
}

TEST_CASE_METHOD(CallerActivityFixture, "callerActivity_responseInProgress_hasNoTimeout")
{
    m_activity.beginRequest(at(seconds(1)));
    m_activity.endRequest();
    REQUIRE(actionAt(seconds(60), true) == TimeoutAction::None);
    m_activity.beginRequest(at(seconds(2)));
    REQUIRE(actionAt(seconds(60), true) == TimeoutAction::None);
}

TEST_CASE_METHOD(CallerActivityFixture,
                 "callerActivity_requestArrivedDuringAResponse_isNotIdleAfterIt")
{
    m_activity.beginRequest(at(seconds(1)));
    m_activity.endRequest();
    m_activity.beginRequest(at(seconds(2)));
    m_activity.endRequest();
    m_activity.endResponse(at(seconds(3)));
    REQUIRE(actionAt(seconds(60), true) == TimeoutAction::None);
    m_activity.endResponse(at(seconds(60)));
    REQUIRE(actionAt(seconds(60), true) == TimeoutAction::CloseIdle);
}

TEST_CASE_METHOD(CallerActivityFixture,
                 "callerActivity_requestBeganDuringAResponse_isTimedFromTheEndOfIt")
{
    m_activity.beginRequest(at(seconds(1)));
    m_activity.endRequest();
    m_activity.beginRequest(at(seconds(2)));
    m_activity.endResponse(at(seconds(10)));
    REQUIRE(actionAt(seconds(12), true) == TimeoutAction::None);
    REQUIRE(actionAt(milliseconds(12'001), true) == TimeoutAction::RejectSlow);
}

} // namespace
} // namespace greengageseam
