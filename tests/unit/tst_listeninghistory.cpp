/**
 * Tests of the history of when a process was listening, which dates changes that it hears of late.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

class ListeningHistoryFixture
{
protected:
    static Instant at(int ms) { return Instant(milliseconds(ms)); }

    /** Records that the process runs without a pause. */
    void runUntil(int endMs)
    {
        for (; m_now <= endMs; m_now += 100) {
            m_history.recordRunning(at(m_now));
        }
    }

    ListeningHistory m_history;
    int m_now = 0;
};

TEST_CASE_METHOD(ListeningHistoryFixture, "history_noViewYet_changeIsNew")
{
    runUntil(5000);
    REQUIRE(m_history.earliestChange(at(5000)) == at(5000));
}

TEST_CASE_METHOD(ListeningHistoryFixture, "history_viewIsConfirmed_changeIsNotOlderThanTheView")
{
    runUntil(5000);
    m_history.recordView(at(1000));
    REQUIRE(m_history.earliestChange(at(5000)) == at(1000));
    m_history.recordView(at(4700));
    REQUIRE(m_history.earliestChange(at(5000)) == at(4700));
}

// A process that relays the topic may answer with an older view than this process has.
TEST_CASE_METHOD(ListeningHistoryFixture, "history_olderViewAfterNewerOne_newerOneCounts")
{
    m_history.recordView(at(4700));
    m_history.recordView(at(4000));
    REQUIRE(m_history.earliestChange(at(5000)) == at(4700));
}

TEST_CASE_METHOD(ListeningHistoryFixture, "history_processWasPaused_changeMayDateFromThePause")
{
    runUntil(1000);
    m_history.recordView(at(900));
    REQUIRE(m_history.recordRunning(at(5500)) == milliseconds(4500));
    REQUIRE(m_history.earliestChange(at(5700)) == at(900));
}

// Its sender gave it an age before it waited here.
TEST_CASE_METHOD(ListeningHistoryFixture,
                 "history_messageIsHandledAfterPause_mayHaveWaitedDuringIt")
{
    runUntil(1000);
    REQUIRE(m_history.earliestArrival(at(1000)) == at(1000));
    m_history.recordRunning(at(5500));
    REQUIRE(m_history.earliestArrival(at(5600)) == at(1000));
    REQUIRE(m_history.earliestArrival(at(5900)) == at(5900));
}

// However long it takes until the first read after a pause succeeds.
TEST_CASE_METHOD(ListeningHistoryFixture, "history_firstReadAfterPauseIsSlow_changeDatesFromPause")
{
    runUntil(1000);
    m_history.recordView(at(900));
    m_history.recordRunning(at(5500));
    m_history.recordRunning(at(5600));
    REQUIRE(m_history.earliestChange(at(7700)) == at(900));
}

TEST_CASE_METHOD(ListeningHistoryFixture, "history_pausedAgainBeforeCatchUp_firstPauseCounts")
{
    runUntil(1000);
    m_history.recordView(at(900));
    m_history.recordRunning(at(5000));
    m_history.recordRunning(at(7000));
    REQUIRE(m_history.earliestChange(at(7100)) == at(900));
}

TEST_CASE_METHOD(ListeningHistoryFixture, "history_readAfterPauseComplete_changeIsNew")
{
    runUntil(1000);
    m_history.recordView(at(900));
    m_history.recordRunning(at(5500));
    m_history.recordView(at(5600));
    REQUIRE(m_history.earliestChange(at(5700)) == at(5600));
}

// Others may have announced a change while the reads of this process were failing.
TEST_CASE_METHOD(ListeningHistoryFixture, "history_noViewForLong_changeMayDateFromTheViewBefore")
{
    m_history.recordView(at(1000));
    runUntil(9000);
    REQUIRE(m_history.earliestChange(at(9000)) == at(1000));
    REQUIRE(m_history.basis() == DateBasis::View);
    m_history.recordView(at(9100));
    REQUIRE(m_history.earliestChange(at(9500)) == at(9100));
}

// A topic that nobody could read must not make changes look older than they are.
TEST_CASE_METHOD(ListeningHistoryFixture, "history_topicWasUnreadableForAll_changeIsNewer")
{
    m_history.recordView(at(1000));
    m_history.recordOutage(at(4000));
    m_history.recordOutage(at(8800));
    REQUIRE(m_history.earliestChange(at(9000)) == at(8800));
    REQUIRE(m_history.basis() == DateBasis::Outage);
    m_history.recordView(at(9500));
    REQUIRE(m_history.earliestChange(at(9900)) == at(9500));
}

} // namespace
} // namespace greengageseam
