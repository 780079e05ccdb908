/**
 * Tests of the order of waiting requests, of who gives way, and of the minimum shares.
 */
#include "core/fleet/pendingqueue.h"
#include "core/fleet/queuewait.h"

#include <catch2/catch.hpp>
#include <random>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

class PendingQueueFixture
{
protected:
    /** @returns a request of one of three levels that is not in the queue yet */
    PendingRequest request(std::uint32_t level, const std::string &account = "ann")
    {
        PendingRequest request;
        request.id = ++m_lastId;
        request.service = ServiceName("pool");
        request.priority = {level, level, 3};
        request.route = RouteName("route-" + std::to_string(level));
        request.account = AccountName(account);
        request.promptTokens = 1000;
        request.lateAfter = m_now + milliseconds(400);
        return request;
    }

    std::uint64_t push(const PendingRequest &request)
    {
        m_queue.push(request);
        return request.id;
    }

    std::uint64_t push(std::uint32_t level, const std::string &account = "ann")
    {
        return push(request(level, account));
    }

    /** @returns a request that may run only in the region north */
    PendingRequest northern(std::uint32_t level)
    {
        PendingRequest restricted = request(level);
        restricted.regions = RegionRule().restrictedTo({RegionName("north")});
        return restricted;
    }

    using Ids = std::vector<std::uint64_t>;

    PendingQueue m_queue;
    std::uint64_t m_lastId = 0;
    Instant m_now {std::chrono::seconds(100)};
};

// Services whose requests do not differ in priority must be served as before there were priorities.
TEST_CASE_METHOD(PendingQueueFixture, "order_equalPriorities_isNewestFirstWhateverHappens")
{
    std::mt19937_64 random(20261207);
    Ids expected;
    for (int i = 0; i < 400; ++i) {
        PendingRequest next = request(2, random() % 9 == 0 ? "bob" : "ann");
        next.service = ServiceName(random() % 2 == 0 ? "pool" : "other");
        next.priority = {2, 0, 1};
        next.lateAfter = m_now + milliseconds(random() % 800) - milliseconds(400);
        m_queue.recordArrival(next);
        REQUIRE_FALSE(m_queue.mustYield(next, {64, 0, 6}, m_now));
        REQUIRE_FALSE(m_queue.displacedBy(next));
        expected.insert(expected.begin(), push(next));
        if (random() % 2 == 0) {
            const auto gone = expected.begin() + static_cast<long>(random() % expected.size());
            m_queue.remove(*gone);
            expected.erase(gone);
            m_queue.recordTurnedAway(next, m_now);
        }
        REQUIRE(m_queue.order(m_now) == expected);
    }
}

TEST_CASE_METHOD(PendingQueueFixture, "order_prioritiesDiffer_isMostUrgentThenNewestFirst")
{
    const Ids ids {push(1), push(0), push(2), push(1), push(0)};
    REQUIRE(m_queue.order(m_now) == Ids {ids[4], ids[1], ids[3], ids[0], ids[2]});
}

TEST_CASE_METHOD(PendingQueueFixture, "order_objectiveIsMissed_comesAfterThoseThatCanMeetIt")
{
    const std::uint64_t inTime = push(1);
    PendingRequest late = request(1);
    late.lateAfter = m_now;
    push(late);
    REQUIRE(m_queue.order(m_now) == Ids {inTime, late.id});
}

TEST_CASE_METHOD(PendingQueueFixture, "order_oneAccountHasMostRequests_accountsTakeTurns")
{
    const std::uint64_t only = push(1, "bob");
    const std::uint64_t older = push(1);
    const std::uint64_t newer = push(1);
    REQUIRE(m_queue.order(m_now) == Ids {newer, only, older});
}

TEST_CASE_METHOD(PendingQueueFixture, "order_otherServiceIsUnranked_keepsItsPlaces")
{
    const std::uint64_t low = push(2);
    PendingRequest plain = request(0);
    plain.service = ServiceName("other");
    plain.priority = {1, 0, 1};
    push(plain);
    const std::uint64_t urgent = push(0);
    push(2);
    REQUIRE(m_queue.order(m_now) == Ids {urgent, m_lastId, plain.id, low});
}

// A more urgent request that waits would find no free slot if others took each one at once.
TEST_CASE_METHOD(PendingQueueFixture, "mustYield_moreUrgentWaitsAndFewSlotsAreFree_isTrue")
{
    const std::uint64_t urgent = push(0);
    REQUIRE(m_queue.mustYield(request(1), {64, 2, 3}, m_now));
    REQUIRE_FALSE(m_queue.mustYield(request(0), {64, 0, 3}, m_now));
    m_queue.remove(urgent);
    REQUIRE_FALSE(m_queue.mustYield(request(1), {64, 0, 3}, m_now));
}

// A prompt that fits nowhere must not keep the backend servers idle.
TEST_CASE_METHOD(PendingQueueFixture, "mustYield_manySlotsAreFree_isFalse")
{
    for (int i = 0; i < 50; ++i) {
        push(0);
    }
    REQUIRE(m_queue.mustYield(request(1), {64, 6, 3}, m_now));
    REQUIRE_FALSE(m_queue.mustYield(request(1), {64, 7, 3}, m_now));
}

// With many entries a credit seldom comes to the one at which an urgent request waits.
TEST_CASE_METHOD(PendingQueueFixture, "mustYield_moreUrgentIsTurnedAwayLately_keepsSlotsFreeAhead")
{
    m_queue.recordTurnedAway(request(1), m_now);
    REQUIRE(m_queue.mustYield(request(2), {64, 6, 3}, m_now));
    REQUIRE_FALSE(m_queue.mustYield(request(2), {64, 7, 3}, m_now));
    REQUIRE_FALSE(m_queue.mustYield(request(1), {64, 0, 3}, m_now));
    for (int i = 0; i < 10; ++i) {
        m_queue.recordServed(request(1));
    }
    REQUIRE_FALSE(m_queue.mustYield(request(2), {64, 0, 3}, m_now));
}

// Nobody may want the only free slot, so a small service would lose much of its capacity.
TEST_CASE_METHOD(PendingQueueFixture, "mustYield_turnedAwayFromSmallService_keepsNoSlotAhead")
{
    m_queue.recordTurnedAway(request(0), m_now);
    REQUIRE_FALSE(m_queue.mustYield(request(2), {8, 1, 3}, m_now));
    REQUIRE(m_queue.mustYield(request(2), {10, 1, 3}, m_now));
    push(0);
    REQUIRE(m_queue.mustYield(request(2), {8, 1, 3}, m_now));
}

// With few requests a second, the average alone would keep slots free for many minutes.
TEST_CASE_METHOD(PendingQueueFixture, "mustYield_turnedAwayLongAgo_keepsNoSlotAhead")
{
    for (int i = 0; i < 100; ++i) {
        m_queue.recordTurnedAway(request(0), m_now);
    }
    REQUIRE(m_queue.mustYield(request(2), {64, 6, 3}, m_now + milliseconds(1999)));
    REQUIRE_FALSE(m_queue.mustYield(request(2), {64, 6, 3}, m_now + milliseconds(2000)));
}

TEST_CASE_METHOD(PendingQueueFixture, "mustYield_moreUrgentHaveEnded_slotsAreUsedAgain")
{
    for (int i = 0; i < 100; ++i) {
        m_queue.recordTurnedAway(request(0), m_now);
    }
    REQUIRE(m_queue.mustYield(request(2), {64, 0, 3}, m_now));
    for (int i = 0; i < 2000; ++i) {
        m_queue.recordTurnedAway(request(2), m_now);
    }
    REQUIRE_FALSE(m_queue.mustYield(request(2), {64, 0, 3}, m_now));
}

TEST_CASE_METHOD(PendingQueueFixture, "mustYield_moreUrgentWaitsForItsRetryBudget_isFalse")
{
    PendingRequest retry = request(0);
    retry.mayReserve = false;
    push(retry);
    REQUIRE_FALSE(m_queue.mustYield(request(1), {64, 0, 3}, m_now));
}

// Slots that are kept free elsewhere are of no use to a restricted request.
TEST_CASE_METHOD(PendingQueueFixture, "mustYield_moreUrgentIsRestricted_onlyItsOwnRegionsYield")
{
    push(northern(0));
    PendingRequest southern = request(1);
    southern.regions = RegionRule().restrictedTo({RegionName("south")});
    REQUIRE_FALSE(m_queue.mustYield(request(1), {64, 1, 3}, m_now));
    REQUIRE_FALSE(m_queue.mustYield(southern, {64, 1, 3}, m_now));
    REQUIRE(m_queue.mustYield(northern(1), {64, 1, 3}, m_now));
}

TEST_CASE_METHOD(PendingQueueFixture, "mustYield_restrictedIsTurnedAway_onlyItsOwnRegionsYield")
{
    m_queue.recordTurnedAway(northern(0), m_now);
    REQUIRE_FALSE(m_queue.mustYield(request(1), {64, 1, 3}, m_now));
    REQUIRE(m_queue.mustYield(northern(1), {64, 1, 3}, m_now));
}

TEST_CASE_METHOD(PendingQueueFixture, "mustYield_moreUrgentMayRunAnywhere_restrictedYields")
{
    const std::uint64_t urgent = push(0);
    REQUIRE(m_queue.mustYield(northern(1), {64, 1, 3}, m_now));
    m_queue.remove(urgent);
    REQUIRE_FALSE(m_queue.mustYield(northern(1), {64, 1, 3}, m_now));
    m_queue.recordTurnedAway(request(0), m_now);
    REQUIRE(m_queue.mustYield(northern(1), {64, 1, 3}, m_now));
}

TEST_CASE_METHOD(PendingQueueFixture, "waitingAhead_requestsComeAndGo_countsOthersAsUrgent")
{
    const PendingRequest own = request(1);
    REQUIRE(m_queue.waitingAhead(own) == 0);
    const std::uint64_t urgent = push(0);
    push(1);
    push(2);
    PendingRequest other = request(0);
    other.service = ServiceName("other");
    push(other);
    REQUIRE(m_queue.waitingAhead(own) == 2);
    push(own);
    REQUIRE(m_queue.waitingAhead(own) == 2);
    m_queue.remove(urgent);
    REQUIRE(m_queue.waitingAhead(own) == 1);
}

TEST_CASE_METHOD(PendingQueueFixture, "displacedBy_lessUrgentWaits_isOldestOfLongestAccount")
{
    push(1);
    push(2, "bob");
    const std::uint64_t oldest = push(2);
    push(2);
    REQUIRE(m_queue.displacedBy(request(0)) == oldest);
    REQUIRE(m_queue.displacedBy(request(2, "eve")) == oldest);
    REQUIRE_FALSE(m_queue.displacedBy(request(2)));
}

// A retry may have run, so that its caller cannot simply repeat it.
TEST_CASE_METHOD(PendingQueueFixture, "displacedBy_leastUrgentIsARetry_isAnotherOne")
{
    PendingRequest retry = request(2);
    retry.isRetry = true;
    push(retry);
    REQUIRE_FALSE(m_queue.displacedBy(request(0)));
    const std::uint64_t other = push(1);
    REQUIRE(m_queue.displacedBy(request(0)) == other);
}

TEST_CASE_METHOD(PendingQueueFixture, "displacedBy_allAreMoreUrgent_isNone")
{
    push(0);
    push(1);
    REQUIRE_FALSE(m_queue.displacedBy(request(2)));
}

// Without a minimum share, a lasting surplus of urgent requests would starve all others.
TEST_CASE_METHOD(PendingQueueFixture, "isBelowShare_onlyUrgentRequestsAreServed_othersComeInTurn")
{
    int servedLow = 0;
    for (int i = 0; i < 400; ++i) {
        const PendingRequest urgent = request(0);
        const PendingRequest low = request(2);
        m_queue.recordArrival(urgent);
        m_queue.recordArrival(low);
        const bool isLowFirst = m_queue.isBelowShare(low) && !m_queue.isBelowShare(urgent);
        servedLow += isLowFirst ? 1 : 0;
        m_queue.recordServed(isLowFirst ? low : urgent);
        m_queue.recordTurnedAway(isLowFirst ? urgent : low, m_now);
    }
    // Half of all are served, so that a quarter of this share is an eighth of the 400.
    REQUIRE(servedLow >= 50);
    REQUIRE(servedLow <= 100);
}

TEST_CASE_METHOD(PendingQueueFixture, "isBelowShare_accountIsNeverServed_comesFirst")
{
    const PendingRequest starved = request(1, "bob");
    for (int i = 0; i < 10; ++i) {
        const PendingRequest other = request(1);
        m_queue.recordArrival(other);
        m_queue.recordServed(other);
        m_queue.recordArrival(starved);
    }
    push(starved);
    const std::uint64_t newer = push(0);
    REQUIRE(m_queue.isBelowShare(starved));
    REQUIRE_FALSE(m_queue.mustYield(starved, {64, 0, 3}, m_now));
    REQUIRE(m_queue.order(m_now) == Ids {starved.id, newer});
}

// Requests whose callers have gone would otherwise bring their groups before all others.
TEST_CASE_METHOD(PendingQueueFixture, "isBelowShare_arrivalsAreWithdrawn_isFalse")
{
    for (int i = 0; i < 10; ++i) {
        m_queue.recordArrival(request(1));
        m_queue.withdrawArrival(request(1));
    }
    REQUIRE_FALSE(m_queue.isBelowShare(request(1)));
}

TEST_CASE("slotWait_shedding_isShorterForLessUrgentRequests")
{
    const QueueWait wait = queueWait({milliseconds(800), std::chrono::seconds(6), true});
    REQUIRE(slotWait(wait, {0, 0, 3}, true) == wait.slot);
    REQUIRE(slotWait(wait, {1, 1, 3}, true) == milliseconds(150));
    REQUIRE(slotWait(wait, {2, 2, 3}, true) == milliseconds(60));
    REQUIRE(slotWait(wait, {2, 2, 3}, false) == wait.slot);
    REQUIRE(slotWait(wait, {2, 0, 1}, true) == wait.slot);
}

TEST_CASE("upstreamUrgency_levels_areInOrderAndBeforeLateRequests")
{
    REQUIRE(upstreamUrgency({0, 0, 3}) == 0);
    REQUIRE(upstreamUrgency({40, 2, 3}) == 2);
    REQUIRE(upstreamUrgency({40, 12, 13}) == 6);
}

} // namespace
} // namespace greengageseam
