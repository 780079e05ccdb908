/**
 * Tests of the table of upstream outcomes, one test case for each row, and of the errors that
 * callers receive after them.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

class DeliveryFixture
{
protected:
    /** Checks a row: whether the request was executed, and which kinds of it may be retried. */
    static void requireRow(SendEnd end, Ran ran, bool onceAgain, bool repeatableAgain)
    {
        REQUIRE(meaningOf(end).end == end);
        REQUIRE(meaningOf(end).ran == ran);
        REQUIRE(maySendAgain(end, RouteKind::NonIdempotent, false) == onceAgain);
        REQUIRE(maySendAgain(end, RouteKind::Streaming, false) == onceAgain);
        REQUIRE(maySendAgain(end, RouteKind::Idempotent, false) == repeatableAgain);
        REQUIRE(maySendAgain(end, RouteKind::Streaming, true) == repeatableAgain);
    }
};

TEST_CASE_METHOD(DeliveryFixture, "outcome_notConnected_wasNotExecuted")
{
    requireRow(SendEnd::NotConnected, Ran::No, true, true);
}

TEST_CASE_METHOD(DeliveryFixture, "outcome_brokenWhileSending_executionIsUnknown")
{
    requireRow(SendEnd::BrokenWhileSending, Ran::Unknown, false, true);
}

TEST_CASE_METHOD(DeliveryFixture, "outcome_rejected_wasNotExecuted")
{
    requireRow(SendEnd::Rejected, Ran::No, true, true);
}

TEST_CASE_METHOD(DeliveryFixture, "outcome_misdirected_wasNotExecuted")
{
    requireRow(SendEnd::Misdirected, Ran::No, true, true);
}

TEST_CASE_METHOD(DeliveryFixture, "outcome_brokenBeforeAnswer_executionIsUnknown")
{
    requireRow(SendEnd::BrokenBeforeAnswer, Ran::Unknown, false, true);
}

TEST_CASE_METHOD(DeliveryFixture, "outcome_garbled_executionIsUnknown")
{
    requireRow(SendEnd::Garbled, Ran::Unknown, false, true);
}

TEST_CASE_METHOD(DeliveryFixture, "outcome_brokenAnswer_wasExecuted")
{
    requireRow(SendEnd::BrokenAnswer, Ran::Yes, false, true);
}

TEST_CASE_METHOD(DeliveryFixture, "outcome_silent_executionIsUnknown")
{
    requireRow(SendEnd::Silent, Ran::Unknown, false, true);
}

TEST_CASE_METHOD(DeliveryFixture, "outcome_deadlineReached_isNotRetried")
{
    requireRow(SendEnd::DeadlineReached, Ran::Unknown, false, false);
}

TEST_CASE_METHOD(DeliveryFixture, "outcome_failedAnswer_wasExecuted")
{
    requireRow(SendEnd::FailedAnswer, Ran::Yes, false, true);
}

TEST_CASE_METHOD(DeliveryFixture, "outcome_answered_isNotRetried")
{
    requireRow(SendEnd::Answered, Ran::Yes, false, false);
}

TEST_CASE_METHOD(DeliveryFixture, "outcomeTable_allOutcomes_haveOneRowEach")
{
    REQUIRE(sendEndTable().size() == static_cast<std::size_t>(SendEnd::Answered) + 1);
}

TEST_CASE_METHOD(DeliveryFixture, "errorAfter_anyAttemptMayHaveExecuted_doesNotDenyExecution")
{
    for (const SendEndMeaning &row : sendEndTable()) {
        for (const Ran before : {Ran::Yes, Ran::Unknown}) {
            const Ran ran = combine(before, row.ran);
            const int status = answerFor(answerAfter(row.end, ran)).httpStatus;
            CAPTURE(row.name, status);
            REQUIRE(status != 429);
            REQUIRE(status != 503);
            REQUIRE(status != 408);
            REQUIRE(status != 421);
        }
    }
}

TEST_CASE_METHOD(DeliveryFixture, "combine_rejectionAfterUnknownAttempt_staysUnknown")
{
    REQUIRE(combine(Ran::Unknown, Ran::No) == Ran::Unknown);
    REQUIRE(combine(Ran::No, Ran::No) == Ran::No);
    REQUIRE(combine(Ran::Yes, Ran::No) == Ran::Yes);
}

} // namespace
} // namespace greengageseam
