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

    /** Begins a planned stop that gives idle connections 3 s. */
    void beginStop(milliseconds time, bool isExpired = false)
    {
        m_stop = PlannedStop {at(time), seconds(3), isExpired};
    }

    static Instant at(milliseconds time) { return Instant(time); }

    TimeoutAction actionAt(milliseconds time) const
    {
        return m_activity.timeoutAction(m_limits, m_stop, at(time));
    }

    CallerLimits m_limits;
    std::optional<PlannedStop> m_stop;
    CallerActivity m_activity;
};

TEST_CASE_METHOD(CallerActivityFixture, "callerActivity_noRequest_isClosedAfterTheIdleTimeout")
{
    REQUIRE(actionAt(seconds(15)) == TimeoutAction::None);
    REQUIRE(actionAt(milliseconds(15'001)) == TimeoutAction::CloseIdle);
}

TEST_CASE_METHOD(CallerActivityFixture, "callerActivity_idleAtAPlannedStop_hasTheNoticeFromThen")
{
    beginStop(seconds(5));
    REQUIRE(actionAt(milliseconds(7'999)) == TimeoutAction::None);
    REQUIRE(actionAt(seconds(8)) == TimeoutAction::CloseIdle);
}

TEST_CASE_METHOD(CallerActivityFixture,
                 "callerActivity_responseEndsDuringAPlannedStop_hasTheNoticeFromItsEnd")
{
    m_activity.beginRequest(at(seconds(4)));
    m_activity.endRequest();
    beginStop(seconds(5));
    m_activity.endResponse(at(seconds(7)));
    REQUIRE(actionAt(milliseconds(9'999)) == TimeoutAction::None);
    REQUIRE(actionAt(seconds(10)) == TimeoutAction::CloseIdle);
}

TEST_CASE_METHOD(CallerActivityFixture, "callerActivity_plannedStopExpires_idleClosesAtOnce")
{
    beginStop(seconds(5), true);
    REQUIRE(actionAt(seconds(5)) == TimeoutAction::CloseIdle);
}

TEST_CASE_METHOD(CallerActivityFixture,
                 "callerActivity_idleTimeoutEndsDuringAPlannedStop_closesBeforeTheNotice")
{
    beginStop(seconds(14));
    REQUIRE(actionAt(milliseconds(15'001)) == TimeoutAction::CloseIdle);
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
    beginStop(seconds(0), true);
    m_activity.beginRequest(at(seconds(1)));
    REQUIRE(actionAt(seconds(3)) == TimeoutAction::None);
    REQUIRE(actionAt(milliseconds(3'001)) == TimeoutAction::RejectSlow);
    m_activity.beginBody(at(seconds(2)));
    REQUIRE(actionAt(seconds(12)) == TimeoutAction::None);
    REQUIRE(actionAt(milliseconds(12'001)) == TimeoutAction::RejectSlow);
}

TEST_CASE_METHOD(CallerActivityFixture, "callerActivity_responseInProgress_hasNoTimeout")
{
    beginStop(seconds(0), true);
    m_activity.beginRequest(at(seconds(1)));
    m_activity.endRequest();
    REQUIRE(actionAt(seconds(60)) == TimeoutAction::None);
    m_activity.beginRequest(at(seconds(2)));
    REQUIRE(actionAt(seconds(60)) == TimeoutAction::None);
}

TEST_CASE_METHOD(CallerActivityFixture,
                 "callerActivity_requestArrivedDuringAResponse_isNotIdleAfterIt")
{
    beginStop(seconds(0), true);
    m_activity.beginRequest(at(seconds(1)));
    m_activity.endRequest();
    m_activity.beginRequest(at(seconds(2)));
    m_activity.endRequest();
    m_activity.endResponse(at(seconds(3)));
    REQUIRE(actionAt(seconds(60)) == TimeoutAction::None);
    m_activity.endResponse(at(seconds(60)));
    REQUIRE(actionAt(seconds(60)) == TimeoutAction::CloseIdle);
}

TEST_CASE_METHOD(CallerActivityFixture,
                 "callerActivity_requestBeganDuringAResponse_isTimedFromTheEndOfIt")
{
    beginStop(seconds(0), true);
    m_activity.beginRequest(at(seconds(1)));
    m_activity.endRequest();
    m_activity.beginRequest(at(seconds(2)));
    m_activity.endResponse(at(seconds(10)));
    REQUIRE(actionAt(seconds(12)) == TimeoutAction::None);
    REQUIRE(actionAt(milliseconds(12'001)) == TimeoutAction::RejectSlow);
}

} // namespace
} // namespace greengageseam
