/**
 * Tests of the table that says what the end of a send means, one case a row, and of what follows.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

class DeliveryFixture
{
protected:
    /** Checks a row: whether the request ran, and which kinds of request may be sent again. */
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

TEST_CASE_METHOD(DeliveryFixture, "delivery_notConnected_didNotRun")
{
    requireRow(SendEnd::NotConnected, Ran::No, true, true);
}

TEST_CASE_METHOD(DeliveryFixture, "delivery_brokenWhileSending_isUnknown")
{
    requireRow(SendEnd::BrokenWhileSending, Ran::Unknown, false, true);
}

TEST_CASE_METHOD(DeliveryFixture, "delivery_rejected_didNotRun")
{
    requireRow(SendEnd::Rejected, Ran::No, true, true);
}

TEST_CASE_METHOD(DeliveryFixture, "delivery_misdirected_didNotRun")
{
    requireRow(SendEnd::Misdirected, Ran::No, true, true);
}

TEST_CASE_METHOD(DeliveryFixture, "delivery_brokenBeforeAnswer_isUnknown")
{
    requireRow(SendEnd::BrokenBeforeAnswer, Ran::Unknown, false, true);
}

TEST_CASE_METHOD(DeliveryFixture, "delivery_garbled_isUnknown")
{
    requireRow(SendEnd::Garbled, Ran::Unknown, false, true);
}

TEST_CASE_METHOD(DeliveryFixture, "delivery_brokenAnswer_ran")
{
    requireRow(SendEnd::BrokenAnswer, Ran::Yes, false, true);
}

TEST_CASE_METHOD(DeliveryFixture, "delivery_silent_isUnknown")
{
    requireRow(SendEnd::Silent, Ran::Unknown, false, true);
}

TEST_CASE_METHOD(DeliveryFixture, "delivery_deadlineReached_isNotSentAgain")
{
    requireRow(SendEnd::DeadlineReached, Ran::Unknown, false, false);
}

TEST_CASE_METHOD(DeliveryFixture, "delivery_failedAnswer_ran")
{
    requireRow(SendEnd::FailedAnswer, Ran::Yes, false, true);
}

TEST_CASE_METHOD(DeliveryFixture, "delivery_answered_isNotSentAgain")
{
    requireRow(SendEnd::Answered, Ran::Yes, false, false);
}

TEST_CASE_METHOD(DeliveryFixture, "delivery_table_hasEachEndOnce")
{
    REQUIRE(sendEndTable().size() == static_cast<std::size_t>(SendEnd::Answered) + 1);
}

TEST_CASE_METHOD(DeliveryFixture, "answerAfter_anySendMayHaveRun_promisesNothing")
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

TEST_CASE_METHOD(DeliveryFixture, "combine_rejectionAfterUnknownSend_staysUnknown")
{
    REQUIRE(combine(Ran::Unknown, Ran::No) == Ran::Unknown);
    REQUIRE(combine(Ran::No, Ran::No) == Ran::No);
    REQUIRE(combine(Ran::Yes, Ran::No) == Ran::Yes);
}

} // namespace
} // namespace greengageseam
