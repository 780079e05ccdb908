/**
 * Tests of the table that says what the end of a send means, one case a row, and of what follows.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

class UpstreamOutcomeFixture
{
protected:
    /** Checks a row: whether the request ran, and which kinds of request may be sent again. */
    static void requireRow(UpstreamOutcome outcome, ExecutionStatus ran,
                           bool isRetriedIfNotIdempotent, bool isRetriedIfIdempotent)
    {
        REQUIRE(outcomeInfo(outcome).outcome == outcome);
        REQUIRE(outcomeInfo(outcome).ran == ran);
        REQUIRE(mayRetry(outcome, RouteKind::NonIdempotent, false) == isRetriedIfNotIdempotent);
        REQUIRE(mayRetry(outcome, RouteKind::Streaming, false) == isRetriedIfNotIdempotent);
        REQUIRE(mayRetry(outcome, RouteKind::Idempotent, false) == isRetriedIfIdempotent);
        REQUIRE(mayRetry(outcome, RouteKind::Streaming, true) == isRetriedIfIdempotent);
    }
};

TEST_CASE_METHOD(UpstreamOutcomeFixture, "delivery_notConnected_didNotRun")
{
    requireRow(UpstreamOutcome::NotConnected, ExecutionStatus::NotExecuted, true, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "delivery_brokenWhileSending_isUnknown")
{
    requireRow(UpstreamOutcome::BrokenWhileSending, ExecutionStatus::Unknown, false, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "delivery_rejected_didNotRun")
{
    requireRow(UpstreamOutcome::Rejected, ExecutionStatus::NotExecuted, true, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "delivery_misdirected_didNotRun")
{
    requireRow(UpstreamOutcome::Misdirected, ExecutionStatus::NotExecuted, true, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "delivery_brokenBeforeAnswer_isUnknown")
{
    requireRow(UpstreamOutcome::BrokenBeforeAnswer, ExecutionStatus::Unknown, false, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "delivery_garbled_isUnknown")
{
    requireRow(UpstreamOutcome::Garbled, ExecutionStatus::Unknown, false, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "delivery_brokenAnswer_ran")
{
    requireRow(UpstreamOutcome::BrokenAnswer, ExecutionStatus::Executed, false, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "delivery_silent_isUnknown")
{
    requireRow(UpstreamOutcome::Silent, ExecutionStatus::Unknown, false, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "delivery_deadlineReached_isNotSentAgain")
{
    requireRow(UpstreamOutcome::DeadlineReached, ExecutionStatus::Unknown, false, false);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "delivery_failedAnswer_ran")
{
    requireRow(UpstreamOutcome::FailedAnswer, ExecutionStatus::Executed, false, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "delivery_answered_isNotSentAgain")
{
    requireRow(UpstreamOutcome::Answered, ExecutionStatus::Executed, false, false);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "delivery_table_hasEachEndOnce")
{
    REQUIRE(upstreamOutcomeTable().size()
            == static_cast<std::size_t>(UpstreamOutcome::Answered) + 1);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "answerAfter_anySendMayHaveRun_promisesNothing")
{
    for (const UpstreamOutcomeInfo &row : upstreamOutcomeTable()) {
        for (const ExecutionStatus before : {ExecutionStatus::Executed, ExecutionStatus::Unknown}) {
            const ExecutionStatus ran = combine(before, row.ran);
            const int status = descriptorFor(errorAfter(row.outcome, ran)).httpStatus;
            CAPTURE(row.name, status);
            REQUIRE(status != 429);
            REQUIRE(status != 503);
            REQUIRE(status != 408);
            REQUIRE(status != 421);
        }
    }
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "combine_rejectionAfterUnknownSend_staysUnknown")
{
    REQUIRE(combine(ExecutionStatus::Unknown, ExecutionStatus::NotExecuted)
            == ExecutionStatus::Unknown);
    REQUIRE(combine(ExecutionStatus::NotExecuted, ExecutionStatus::NotExecuted)
            == ExecutionStatus::NotExecuted);
    REQUIRE(combine(ExecutionStatus::Executed, ExecutionStatus::NotExecuted)
            == ExecutionStatus::Executed);
}

} // namespace
} // namespace greengageseam
