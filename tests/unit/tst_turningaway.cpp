/**
 * Tests of how demand is measured, how long requests wait for a backend server, and when callers
 * that are turned away should come back.
 */
#include "core/fleet/queuewait.h"
#include "core/fleet/retryadvice.h"
#include "core/fleet/servicedemand.h"
#include "core/fleet/serviceoutages.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class DemandMeterFixture
{
protected:
    ServiceDemand demand() const { return m_meter.demand(ServiceName("pool"), m_now); }

    DemandMeter m_meter;
    Instant m_now {seconds(100)};
};

TEST_CASE_METHOD(DemandMeterFixture, "demand_nothingRecorded_isZero")
{
    REQUIRE(demand() == ServiceDemand {ServiceName("pool"), 0, 0});
    REQUIRE(demand().turnedAwayShare() == 0);
}

TEST_CASE_METHOD(DemandMeterFixture, "demand_aSecondPasses_countsOnlyTheLastSecond")
{
    for (int i = 0; i < 20; ++i) {
        m_meter.recordArrival(m_now);
        m_now += milliseconds(100);
    }
    m_now -= milliseconds(100);
    REQUIRE(demand().arrivals == 11);
    m_now += seconds(2);
    REQUIRE(demand().arrivals == 0);
}

TEST_CASE_METHOD(DemandMeterFixture, "turnedAwayShare_moreTurnedAwayThanArrived_isOne")
{
    m_meter.recordArrival(m_now);
    m_meter.recordTurnedAway(m_now);
    m_meter.recordTurnedAway(m_now);
    REQUIRE(demand().turnedAwayShare() == 1);
}

TEST_CASE_METHOD(DemandMeterFixture, "isSaturated_oneOfManyTurnedAway_isFalse")
{
    REQUIRE_FALSE(isSaturated({ServiceName("pool"), 1, 1}));
    REQUIRE_FALSE(isSaturated({ServiceName("pool"), 100, 9}));
    REQUIRE(isSaturated({ServiceName("pool"), 100, 10}));
}

class QueueWaitFixture
{
protected:
    WaitingRequest m_request {milliseconds(400), seconds(6), true};
};

TEST_CASE_METHOD(QueueWaitFixture, "queueWait_noServerAndCallerMayReturn_isTurnedAwayAtOnce")
{
    REQUIRE(queueWait(m_request).service <= milliseconds(50));
    REQUIRE(queueWait(m_request).slot == milliseconds(120));
    REQUIRE(queueWait(m_request).leftoverSlot == queueWait(m_request).slot);
}

TEST_CASE_METHOD(QueueWaitFixture, "queueWait_noServerAndCallerHasReturned_waitsForOne")
{
    m_request.mayReturn = false;
    m_request.remaining = seconds(4);
    REQUIRE(queueWait(m_request).service == milliseconds(1900));
    REQUIRE(queueWait(m_request).leftoverSlot == milliseconds(1200));
}

TEST_CASE_METHOD(QueueWaitFixture, "queueWait_littleTimeLeft_leavesTimeForTheResponse")
{
    m_request.remaining = milliseconds(200);
    REQUIRE(queueWait(m_request).slot == milliseconds(60));
    REQUIRE(queueWait(m_request).service <= milliseconds(60));
    m_request.mayReturn = false;
    REQUIRE(queueWait(m_request).service == milliseconds(100));
    REQUIRE(queueWait(m_request).leftoverSlot == milliseconds(100));
}

/** Callers that have come back already arrive at a service one after the other. */
class OutageFixture
{
protected:
    /** A request arrives and finds no server. @returns how long it may wait for one */
    Duration waitAt(Duration sinceStart)
    {
        return serviceWait(m_wait, m_outages.record(m_service, {}, m_start + sinceStart));
    }

    const QueueWait m_wait = queueWait({milliseconds(400), seconds(6), false});
    const ServiceName m_service {"pool"};
    const Instant m_start {seconds(100)};
    ServiceOutages m_outages;
};

// All servers are away for some seconds: whoever comes late in this time is not kept waiting.
TEST_CASE_METHOD(OutageFixture, "serviceWait_outageIsLongerThanTheWait_laterRequestsAreTurnedAway")
{
    REQUIRE(waitAt(Duration::zero()) == m_wait.service);
    REQUIRE(waitAt(m_wait.service - milliseconds(1)) == m_wait.service);
    REQUIRE(waitAt(m_wait.service) == Duration::zero());
    REQUIRE(waitAt(seconds(4)) == Duration::zero());
}

TEST_CASE_METHOD(OutageFixture, "serviceWait_serverCameBackMeanwhile_nextOutageIsWaitedFor")
{
    waitAt(Duration::zero());
    REQUIRE(m_outages.end(m_service, {}, m_start + seconds(4)) == Duration(seconds(4)));
    REQUIRE(waitAt(seconds(5)) == m_wait.service);
}

TEST_CASE_METHOD(OutageFixture, "outages_oneServiceOrRegionRecovers_othersLastOn")
{
    const RegionRule home = RegionRule().restrictedTo({RegionName("east")});
    waitAt(Duration::zero());
    m_outages.record(m_service, home, m_start);
    REQUIRE_FALSE(m_outages.end(ServiceName("other"), {}, m_start));
    REQUIRE(m_outages.end(m_service, home, m_start + seconds(2)));
    REQUIRE(waitAt(seconds(3)) == Duration::zero());
}

class RetryAdviceFixture
{
protected:
    RetryAdviceFixture()
    {
        m_conditions.slotRelease = milliseconds(2);
        m_conditions.backlog = 100;
        m_conditions.remaining = seconds(6);
    }

    RetryConditions m_conditions;
};

TEST_CASE_METHOD(RetryAdviceFixture, "retryAfter_shortBacklog_isTheTimeToWorkItOff")
{
    m_conditions.spread = 1;
    REQUIRE(retryAfter(m_conditions) == milliseconds(400));
}

// Callers that are turned away together must not come back together.
TEST_CASE_METHOD(RetryAdviceFixture, "retryAfter_saturated_spreadsCallersOverHalfOfTheTime")
{
    m_conditions.isSaturated = true;
    m_conditions.spread = 0;
    REQUIRE(retryAfter(m_conditions) == seconds(1));
    m_conditions.spread = 0.5;
    REQUIRE(retryAfter(m_conditions) == milliseconds(1500));
    m_conditions.spread = 1;
    REQUIRE(retryAfter(m_conditions) == seconds(2));
}

TEST_CASE_METHOD(RetryAdviceFixture, "retryAfter_noServers_isAsLongAsTheCallerCanWait")
{
    m_conditions.hasServers = false;
    REQUIRE(retryAfter(m_conditions) == seconds(2));
}

TEST_CASE_METHOD(RetryAdviceFixture, "retryAfter_serversAskedForAPause_isNotShorter")
{
    m_conditions.pauseLeft = milliseconds(1400);
    REQUIRE(retryAfter(m_conditions) == milliseconds(1400));
    m_conditions.pauseLeft = seconds(9);
    REQUIRE(retryAfter(m_conditions) == seconds(2));
}

TEST_CASE_METHOD(RetryAdviceFixture, "retryAfter_noTimeLeft_isTheMinimum")
{
    m_conditions.remaining = -seconds(1);
    m_conditions.isSaturated = true;
    REQUIRE(retryAfter(m_conditions) == milliseconds(150));
}

} // namespace
} // namespace greengageseam
