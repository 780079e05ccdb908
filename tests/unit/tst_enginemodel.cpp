/**
 * Tests of the latency model of an engine.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

class EngineModelFixture
{
protected:
    EngineModelFixture()
    {
        m_costs.slots = 16;
        m_costs.stepMs = 7;
        m_costs.perSequenceMs = 0.02;
        m_costs.prefillTokensPerSecond = 30'000;
        m_costs.attentionMsPerMillionPairs = 0.6;
        m_costs.stepsPerPass = 6;
        m_costs.typicalPromptTokens = 900;
        m_costs.typicalOutputTokens = 120;
    }

    EngineCosts m_costs;
};

TEST_CASE_METHOD(EngineModelFixture, "prefillMs_twiceTheTokens_takesMoreThanTwiceTheTime")
{
    const double one = prefillMs(m_costs, 3000);
    REQUIRE(one == Approx(100 + 2.7));
    REQUIRE(prefillMs(m_costs, 6000) > 2 * one);
}

TEST_CASE_METHOD(EngineModelFixture, "prefillMs_unknownTokens_usesTypicalPrompt")
{
    REQUIRE(prefillMs(m_costs, 0) == prefillMs(m_costs, 900));
}

TEST_CASE_METHOD(EngineModelFixture, "timeToFirstTokenMs_promptsPending_includesTheirPrefill")
{
    const double alone = timeToFirstTokenMs(m_costs, {0, 0}, 900);
    REQUIRE(timeToFirstTokenMs(m_costs, {0, 200}, 900) == Approx(alone + 200));
    REQUIRE(timeToFirstTokenMs(m_costs, {16, 0}, 900) > alone);
}

TEST_CASE_METHOD(EngineModelFixture, "decodePassMs_noStepsPerPassConfigured_isOneStep")
{
    m_costs.stepsPerPass = 0;
    REQUIRE(decodePassMs(m_costs, 0) == Approx(7));
}

} // namespace
} // namespace greengageseam
