/**
 * Tests of the table of upstream outcomes, one test case for each row, and of the errors that
 * callers receive after them.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

class UpstreamOutcomeFixture
{
protected:
    /** Checks a row: whether the request was executed, and which kinds of it may be retried. */
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

TEST_CASE_METHOD(UpstreamOutcomeFixture, "outcome_notConnected_wasNotExecuted")
{
    requireRow(UpstreamOutcome::NotConnected, ExecutionStatus::NotExecuted, true, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "outcome_choiceExpired_wasNotExecuted")
{
    requireRow(UpstreamOutcome::ChoiceExpired, ExecutionStatus::NotExecuted, true, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "outcome_brokenWhileSending_executionIsUnknown")
{
    requireRow(UpstreamOutcome::BrokenWhileSending, ExecutionStatus::Unknown, false, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "outcome_rejected_wasNotExecuted")
{
    requireRow(UpstreamOutcome::Rejected, ExecutionStatus::NotExecuted, true, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "outcome_misdirected_wasNotExecuted")
{
    requireRow(UpstreamOutcome::Misdirected, ExecutionStatus::NotExecuted, true, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "outcome_brokenBeforeAnswer_executionIsUnknown")
{
    requireRow(UpstreamOutcome::BrokenBeforeAnswer, ExecutionStatus::Unknown, false, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "outcome_garbled_executionIsUnknown")
{
    requireRow(UpstreamOutcome::Garbled, ExecutionStatus::Unknown, false, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "outcome_brokenAnswer_wasExecuted")
{
    requireRow(UpstreamOutcome::BrokenAnswer, ExecutionStatus::Executed, false, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "outcome_silent_executionIsUnknown")
{
    requireRow(UpstreamOutcome::Silent, ExecutionStatus::Unknown, false, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "outcome_deadlineReached_isNotRetried")
{
    requireRow(UpstreamOutcome::DeadlineReached, ExecutionStatus::Unknown, false, false);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "outcome_withdrawn_executionIsUnknown")
{
    requireRow(UpstreamOutcome::Withdrawn, ExecutionStatus::Unknown, false, false);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "outcome_failedAnswer_wasExecuted")
{
    requireRow(UpstreamOutcome::FailedAnswer, ExecutionStatus::Executed, false, true);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "outcome_answered_isNotRetried")
{
    requireRow(UpstreamOutcome::Answered, ExecutionStatus::Executed, false, false);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture, "outcomeTable_allOutcomes_haveOneRowEach")
{
    REQUIRE(upstreamOutcomeTable().size()
            == static_cast<std::size_t>(UpstreamOutcome::Answered) + 1);
}

TEST_CASE_METHOD(UpstreamOutcomeFixture,
                 "errorAfter_anyAttemptMayHaveExecuted_doesNotDenyExecution")
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

TEST_CASE_METHOD(UpstreamOutcomeFixture, "combine_rejectionAfterUnknownAttempt_staysUnknown")
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
