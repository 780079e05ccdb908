/**
 * Tests of when a hedge beside a late attempt is asked for, and when it is denied.
 */
#include "core/fleet/hedgepolicy.h"
#include "core/fleet/latencyquantiles.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class HedgePolicyFixture
{
protected:
    HedgePolicyFixture()
    {
        m_conditions.recent = {1, 20};
        m_conditions.hasHedgeBudget = true;
        m_conditions.hasRetryBudget = true;
        m_conditions.firstRemaining = milliseconds(300);
        m_conditions.second = milliseconds(100);
    }

    std::optional<HedgeDenial> denial() const { return hedgeDenial(m_conditions); }
    static HedgeDelay delay(UsualLatency usual, std::optional<Duration> forecast = {})
    {
        return hedgeDelay(usual, forecast);
    }

    HedgeConditions m_conditions;
};

TEST_CASE_METHOD(HedgePolicyFixture, "hedge_oneLateAttemptAndFasterServer_isGranted")
{
    REQUIRE_FALSE(denial());
}

// Extra work must not take capacity from requests that have no attempt at all.
TEST_CASE_METHOD(HedgePolicyFixture, "hedge_saturatedOrRequestsWait_isDenied")
{
    m_conditions.hasPendingRequests = true;
    REQUIRE(denial() == HedgeDenial::RequestsWait);
    m_conditions.isSaturated = true;
    REQUIRE(denial() == HedgeDenial::Saturated);
}

// Hedges cannot help when all servers are slow, and would slow them further.
TEST_CASE_METHOD(HedgePolicyFixture, "hedge_manyAttemptsAreLate_isDenied")
{
    m_conditions.recent = {3, 4};
    REQUIRE(denial() == HedgeDenial::ManyLate);
    m_conditions.recent = {2, 0};
    REQUIRE_FALSE(denial());
}

TEST_CASE_METHOD(HedgePolicyFixture, "hedge_eitherBudgetIsUsedUp_isDenied")
{
    m_conditions.hasRetryBudget = false;
    REQUIRE(denial() == HedgeDenial::RetryBudget);
    m_conditions.hasHedgeBudget = false;
    REQUIRE(denial() == HedgeDenial::HedgeBudget);
}

TEST_CASE_METHOD(HedgePolicyFixture, "hedge_otherServerNotClearlyFaster_isDenied")
{
    m_conditions.second = milliseconds(250);
    REQUIRE(denial() == HedgeDenial::NoGain);
    m_conditions.second.reset();
    REQUIRE(denial() == HedgeDenial::NoServer);
}

TEST_CASE_METHOD(HedgePolicyFixture, "delay_longTail_restsOnMedian")
{
    const HedgeDelay chosen = delay({milliseconds(100), milliseconds(150), seconds(2)});
    REQUIRE(chosen == HedgeDelay {milliseconds(300), HedgeBasis::Median});
}

TEST_CASE_METHOD(HedgePolicyFixture, "delay_shortTail_restsOnQuantile")
{
    const HedgeDelay chosen = delay({milliseconds(100), milliseconds(150), milliseconds(200)});
    REQUIRE(chosen == HedgeDelay {milliseconds(200), HedgeBasis::Quantile});
}

// A request behind a long prompt is not late while its server reads that prompt.
TEST_CASE_METHOD(HedgePolicyFixture, "delay_forecastIsLonger_restsOnForecast")
{
    const HedgeDelay chosen =
            delay({milliseconds(100), milliseconds(150), milliseconds(200)}, milliseconds(700));
    REQUIRE(chosen == HedgeDelay {milliseconds(700), HedgeBasis::Forecast});
}

TEST_CASE_METHOD(HedgePolicyFixture, "delay_fastService_isNotBelowFloor")
{
    const HedgeDelay chosen = delay({milliseconds(1), milliseconds(2), milliseconds(3)});
    REQUIRE(chosen == HedgeDelay {milliseconds(30), HedgeBasis::Floor});
}

TEST_CASE_METHOD(HedgePolicyFixture, "ratio_text_isReadOnlyWithinRange")
{
    REQUIRE(parseHedgeRatio("0") == 0);
    REQUIRE(parseHedgeRatio("0.05") == 0.05);
    REQUIRE(parseHedgeRatio("0.2") == 0.2);
    for (const char *text : {"0.21", "-0.1", "5%", "", "nan", "inf", "0.1 ", "0,1"}) {
        CAPTURE(text);
        REQUIRE_FALSE(parseHedgeRatio(text));
    }
}

class LatencyQuantilesFixture
{
protected:
    void record(int count, Duration latency)
    {
        for (int n = 0; n < count; ++n) {
            m_latencies.record(latency, m_now);
        }
    }

    Instant m_now {seconds(1000)};
    LatencyQuantiles m_latencies;
};

TEST_CASE_METHOD(LatencyQuantilesFixture, "quantile_tooFewSamples_isUnknown")
{
    record(19, milliseconds(100));
    REQUIRE_FALSE(m_latencies.quantile(0.5, m_now));
    record(1, milliseconds(100));
    REQUIRE(m_latencies.quantile(0.5, m_now));
}

TEST_CASE_METHOD(LatencyQuantilesFixture, "quantile_twoModes_isWithinABucketOfEach")
{
    record(90, milliseconds(100));
    record(10, milliseconds(1000));
    const Duration median = m_latencies.quantile(0.5, m_now).value();
    const Duration tail = m_latencies.quantile(0.95, m_now).value();
    REQUIRE((median >= milliseconds(100) && median < milliseconds(110)));
    REQUIRE((tail >= milliseconds(1000) && tail < milliseconds(1100)));
    const Duration remaining = m_latencies.remainingAfter(milliseconds(300), m_now).value();
    REQUIRE((remaining >= milliseconds(700) && remaining < milliseconds(800)));
}

// Servers that have become faster or slower must not be judged by what they once were.
TEST_CASE_METHOD(LatencyQuantilesFixture, "quantile_samplesLeaveWindow_areForgotten")
{
    record(100, seconds(2));
    m_now += seconds(31);
    REQUIRE_FALSE(m_latencies.quantile(0.5, m_now));
    record(20, milliseconds(50));
    REQUIRE(m_latencies.quantile(0.99, m_now).value() < milliseconds(60));
}

} // namespace
} // namespace greengageseam
