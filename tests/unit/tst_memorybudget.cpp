/**
 * Guards against callers that together hold more memory or sockets than a process may use.
 */
#include "core/fleet/memorybudget.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = kilobyte * kilobyte;
const Instant start = Instant() + std::chrono::hours(1);
const Instant later = start + milliseconds(400);
const Instant muchLater = start + milliseconds(1200);

/** A budget of 8 MB and four sockets. */
class MemoryBudgetFixture
{
protected:
    /** @returns a connection that has been granted bytes at the start */
    HolderId holderOf(std::size_t bytes)
    {
        const HolderId id = m_budget.add(start);
        REQUIRE(m_budget.hold(id, bytes, start).isGranted);
        return id;
    }

    MemoryBudget m_budget {{8 * megabyte, 4}};
};

TEST_CASE_METHOD(MemoryBudgetFixture, "hold_roomIsLeft_isGrantedWithoutClosing")
{
    const HolderId id = m_budget.add(start);
    REQUIRE(m_budget.hold(id, 7 * megabyte, start) == HoldDecision {true, {}});
    REQUIRE(m_budget.heldBytes() == 7 * megabyte);
}

TEST_CASE_METHOD(MemoryBudgetFixture, "hold_allOthersMakeProgress_isDenied")
{
    holderOf(4 * megabyte);
    const HolderId id = m_budget.add(start);
    REQUIRE(m_budget.hold(id, 4 * megabyte, start) == HoldDecision {false, {}});
    REQUIRE(m_budget.heldBytes() == 4 * megabyte);
}

TEST_CASE_METHOD(MemoryBudgetFixture, "hold_othersAreStalled_largestIsClosedFirst")
{
    holderOf(2 * megabyte);
    const HolderId largest = holderOf(4 * megabyte);
    const HolderId id = m_budget.add(later);
    REQUIRE(m_budget.hold(id, 2 * megabyte, later) == HoldDecision {true, {largest}});
    REQUIRE(m_budget.heldBytes() == 4 * megabyte);
}

TEST_CASE_METHOD(MemoryBudgetFixture, "hold_smallRequestWhileLargeOnesFillTheBudget_isGranted")
{
    holderOf(7 * megabyte);
    const HolderId id = m_budget.add(start);
    REQUIRE(m_budget.hold(id, 8 * kilobyte, start) == HoldDecision {true, {}});
}

TEST_CASE_METHOD(MemoryBudgetFixture, "hold_smallRequestAndNoRoomAtAll_closesTheLargestReader")
{
    const HolderId large = holderOf(6 * megabyte);
    for (std::size_t n = 0; n < 32; ++n) {
        holderOf(64 * kilobyte);
    }
    const HolderId id = m_budget.add(start);
    REQUIRE(m_budget.hold(id, 8 * kilobyte, start) == HoldDecision {true, {large}});
}

TEST_CASE_METHOD(MemoryBudgetFixture, "hold_requestIsInProgress_itsConnectionIsNotClosed")
{
    const HolderId serving = holderOf(6 * megabyte);
    m_budget.setPhase(serving, HolderPhase::Serving, start);
    const HolderId id = m_budget.add(muchLater);
    REQUIRE(m_budget.hold(id, 4 * megabyte, muchLater) == HoldDecision {false, {}});
}

TEST_CASE_METHOD(MemoryBudgetFixture, "hold_answerIsNotRead_isClosedAfterALongerTime")
{
    const HolderId unread = holderOf(6 * megabyte);
    m_budget.setPhase(unread, HolderPhase::Responding, start);
    const HolderId id = m_budget.add(later);
    REQUIRE(m_budget.hold(id, 4 * megabyte, later) == HoldDecision {false, {}});
    REQUIRE(m_budget.hold(id, 4 * megabyte, muchLater) == HoldDecision {true, {unread}});
}

// An answer that finds no room behind uploads loses work that was done.
TEST_CASE_METHOD(MemoryBudgetFixture, "hold_answerWhileUploadsFillTheBudget_usesTheReserve")
{
    holderOf(7 * megabyte);
    const HolderId id = m_budget.add(start);
    REQUIRE_FALSE(m_budget.hold(id, megabyte, start).isGranted);
    m_budget.setPhase(id, HolderPhase::Serving, start);
    REQUIRE(m_budget.hold(id, megabyte, start) == HoldDecision {true, {}});
}

TEST_CASE_METHOD(MemoryBudgetFixture, "holdInAnyCase_noRoom_countsWhatIsInMemory")
{
    holderOf(7 * megabyte);
    const HolderId id = m_budget.add(start);
    m_budget.setPhase(id, HolderPhase::Responding, start);
    REQUIRE(m_budget.holdInAnyCase(id, 2 * megabyte, start) == HoldDecision {false, {}});
    REQUIRE(m_budget.heldBytes() == 9 * megabyte);
    m_budget.release(id, 2 * megabyte);
    REQUIRE(m_budget.heldBytes() == 7 * megabyte);
}

// A slow upload that moves must not be closed before a smaller one that sends nothing.
TEST_CASE_METHOD(MemoryBudgetFixture, "hold_largestMakesProgress_aStalledOneIsClosed")
{
    const HolderId steady = holderOf(4 * megabyte);
    const HolderId stalled = holderOf(2 * megabyte);
    m_budget.recordProgress(steady, later);
    const HolderId id = m_budget.add(later);
    REQUIRE(m_budget.hold(id, 2 * megabyte, later) == HoldDecision {true, {stalled}});
}

TEST_CASE_METHOD(MemoryBudgetFixture, "release_bytesOfARequestThatEnded_makeRoom")
{
    const HolderId first = holderOf(6 * megabyte);
    m_budget.release(first, 6 * megabyte);
    holderOf(6 * megabyte);
    REQUIRE(m_budget.heldBytes() == 6 * megabyte);
}

TEST_CASE_METHOD(MemoryBudgetFixture, "hold_connectionIsClosedAlready_isDenied")
{
    const HolderId id = holderOf(megabyte);
    m_budget.remove(id);
    REQUIRE(m_budget.hold(id, 1, start) == HoldDecision {false, {}});
    REQUIRE(m_budget.heldBytes() == 0);
}

TEST_CASE_METHOD(MemoryBudgetFixture, "sockets_allAreUsed_longestIdleIsClosed")
{
    holderOf(kilobyte);
    const HolderId oldest = m_budget.add(start);
    m_budget.add(later);
    m_budget.add(later);
    REQUIRE(m_budget.makeRoomForSockets(1, 0, later) == HoldDecision {true, {oldest}});
    REQUIRE(m_budget.connections() == 3);
}

TEST_CASE_METHOD(MemoryBudgetFixture, "sockets_allConnectionsHaveRequests_noneIsClosed")
{
    for (std::size_t n = 0; n < 2; ++n) {
        m_budget.setPhase(m_budget.add(start), HolderPhase::Serving, start);
    }
    REQUIRE(m_budget.makeRoomForSockets(1, 2, later) == HoldDecision {false, {}});
}

TEST_CASE_METHOD(MemoryBudgetFixture, "limits_unknown_nothingIsDenied")
{
    MemoryBudget budget(budgetLimits(0, 0));
    const HolderId id = budget.add(start);
    REQUIRE(budget.hold(id, 1000 * megabyte, start).isGranted);
    REQUIRE(budget.makeRoomForSockets(100'000, 100'000, start).isGranted);
}

TEST_CASE_METHOD(MemoryBudgetFixture, "limits_ofAMachine_leaveAReserve")
{
    const BudgetLimits limits = budgetLimits(112, 2048);
    REQUIRE(limits.bytes < 76 * megabyte);
    REQUIRE(limits.bytes > 40 * megabyte);
    REQUIRE(limits.sockets == 2048 - 200 - 128);
}

TEST_CASE_METHOD(MemoryBudgetFixture, "limits_manyDescriptors_socketsStayBelowTheNumberThatIsSet")
{
    REQUIRE(budgetLimits(0, 100'000).sockets == defaultMaxSockets);
    REQUIRE(budgetLimits(0, 100'000, 4096).sockets == 4096);
}

} // namespace
} // namespace greengageseam
