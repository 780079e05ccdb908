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

TEST_CASE_METHOD(ListeningHistoryFixture, "history_processRunsAndReads_changeIsNew")
{
    runUntil(5000);
    m_history.recordRead(at(1000));
    REQUIRE(m_history.earliestChange(at(5000)) == at(5000));
}

TEST_CASE_METHOD(ListeningHistoryFixture, "history_processWasPaused_changeMayDateFromThePause")
{
    runUntil(1000);
    REQUIRE(m_history.recordRunning(at(5500)) == milliseconds(4500));
    REQUIRE(m_history.earliestChange(at(5700)) == at(1000));
}

// The first call to the store after a pause may time out, which takes a second.
TEST_CASE_METHOD(ListeningHistoryFixture, "history_firstReadAfterPauseIsSlow_changeDatesFromPause")
{
    runUntil(1000);
    m_history.recordRunning(at(5500));
    REQUIRE(m_history.earliestChange(at(6800)) == at(1000));
}

TEST_CASE_METHOD(ListeningHistoryFixture, "history_pausedAgainBeforeCatchUp_firstPauseCounts")
{
    runUntil(1000);
    m_history.recordRunning(at(5000));
    m_history.recordRunning(at(7000));
    REQUIRE(m_history.earliestChange(at(7100)) == at(1000));
}

TEST_CASE_METHOD(ListeningHistoryFixture, "history_pauseLongOver_changeIsNew")
{
    runUntil(1000);
    m_history.recordRunning(at(5500));
    m_history.recordRunning(at(5600));
    REQUIRE(m_history.earliestChange(at(7100)) == at(7100));
}

TEST_CASE_METHOD(ListeningHistoryFixture, "history_readWasLost_changeMayDateFromTheReadBefore")
{
    m_history.recordRead(at(1000));
    m_history.recordLostRead();
    REQUIRE(m_history.earliestChange(at(3000)) == at(1000));
    m_history.recordRead(at(3000));
    REQUIRE(m_history.earliestChange(at(3500)) == at(3500));
}

TEST_CASE_METHOD(ListeningHistoryFixture, "history_lostReadHungForLong_changeDatesFromItsMaximum")
{
    m_history.recordRead(at(1000));
    m_history.recordLostRead();
    REQUIRE(m_history.earliestChange(at(9000)) == at(7000));
}

// A topic that nobody can read must not make changes look older than they are.
TEST_CASE_METHOD(ListeningHistoryFixture, "history_readsFailRepeatedly_changeIsNew")
{
    m_history.recordRead(at(1000));
    m_history.recordLostRead();
    m_history.recordLostRead();
    REQUIRE(m_history.earliestChange(at(9000)) == at(9000));
}

} // namespace
} // namespace greengageseam
