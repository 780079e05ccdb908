/**
 * Compares membership with simple reference models: delta synchronisation with full copies of all
 * states, and the member table with a list of all heartbeats.
 */
#include "core/membership/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace greengageseam {
namespace {

Heartbeat member(int number, int state)
{
    Heartbeat heartbeat;
    heartbeat.instance = InstanceId("i" + std::to_string(number));
    heartbeat.slots = static_cast<std::uint32_t>(state);
    return heartbeat;
}

/** A sender, a reference that keeps full copies, and receivers that lose messages. */
class ChangeFixture
{
protected:
    void step(int number, int state)
    {
        const Heartbeat heartbeat = member(number, state);
        if (state == 0) {
            m_log = std::move(m_log).forgotten(heartbeat.instance);
            m_twin.erase(heartbeat.instance);
        } else {
            m_log = std::move(m_log).noted(heartbeat);
            m_twin.insert_or_assign(heartbeat.instance, heartbeat);
        }
    }

    MemberChanges answerTo(const ChangeView &view) const
    {
        return m_log.since(view.epoch(), view.revision());
    }

    ChangeLog m_log {7, 3};
    std::map<InstanceId, Heartbeat> m_twin;
};

TEST_CASE_METHOD(ChangeFixture, "remoteMembers_lossesDuplicatesAndRestarts_convergeToSenderState")
{
    rc::prop("a receiver converges to the full state after its next update", [this] {
        m_log = ChangeLog(7, 3);
        m_twin.clear();
        ChangeView view;
        std::vector<MemberChanges> late;
        const int steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            step(*rc::gen::inRange(0, 8), *rc::gen::inRange(0, 3));
            if (*rc::gen::inRange(0, 30) == 0) {
                m_log = ChangeLog(8 + static_cast<std::uint64_t>(i), 3);
                for (const auto &[instance, state] : m_twin) {
                    m_log = std::move(m_log).noted(state);
                }
                late.clear();
            }
            const MemberChanges changes = answerTo(view);
            const int fate = *rc::gen::inRange(0, 3);
            if (fate == 1) {
                late.push_back(changes);
            } else if (fate == 2) {
                view = std::move(view).applied(changes);
                for (const MemberChanges &old : late) {
                    view = std::move(view).applied(old);
                }
            }
        }
        const MemberChanges last = answerTo(view);
        view = std::move(view).applied(last);
        RC_ASSERT(view.members() == m_twin);
        RC_ASSERT(answerTo(view).changed.empty());
    });
}

TEST_CASE_METHOD(ChangeFixture, "digest_memberUnchanged_carriesOnlyHeartbeatUpdate")
{
    Heartbeat heartbeat = member(1, 2);
    heartbeat.appliedConfig = Offset {9};
    heartbeat.sequence = 5;
    m_log = std::move(m_log).noted(reportedPart(heartbeat));
    ChangeView view;
    view = std::move(view).applied(m_log.since(0, 0));
    heartbeat.sequence = 6;
    heartbeat.inFlight = 3;
    m_log = std::move(m_log).noted(reportedPart(heartbeat));
    const ZoneDigest digest =
            makeZoneDigest(m_log.since(view.epoch(), view.revision()), {heartbeat}, {});
    REQUIRE(digest.changes.changed.empty());
    REQUIRE(view.canApply(digest.changes));
    REQUIRE(heartbeatsOf(digest, view) == std::vector<Heartbeat> {heartbeat});
}

TEST_CASE_METHOD(ChangeFixture, "summary_manifestPrefix_isExpandedToKnownManifest")
{
    const ZoneSummary summary {
            ZoneName("z"), WallTime(), {{Digest("ab"), {}, 1, 0, 0}, {Digest("cd"), {}, 1, 0, 0}}};
    const ZoneSummary whole = withWholeDigests(summary, {Digest("abff"), Digest("ccff")});
    REQUIRE(whole.capacities == std::vector<ZoneCapacity> {{Digest("abff"), {}, 1, 0, 0}});
}

/** A member table and helpers that create heartbeats for it. */
class RosterFixture
{
protected:
    static constexpr auto second = std::chrono::seconds(1);

    static Heartbeat beat(std::uint64_t sequence, int startedAt, bool isDraining = false)
    {
        Heartbeat heartbeat = member(1, 1);
        heartbeat.sequence = sequence;
        heartbeat.startedAt = WallTime(startedAt * second);
        heartbeat.isDraining = isDraining;
        return heartbeat;
    }

    MemberPhase phase() const { return m_roster.members().begin()->second.phase; }

    void hear(const Heartbeat &heartbeat, int at)
    {
        m_roster = std::move(m_roster).heard(heartbeat, Instant(at * second));
    }

    Roster m_roster;
};

TEST_CASE_METHOD(RosterFixture, "memberTable_heartbeatsInAnyOrder_newestProcessAndSequenceWin")
{
    rc::prop("the order of arrival does not matter", [this] {
        m_roster = Roster();
        std::vector<Heartbeat> all;
        const int n = *rc::gen::inRange(1, 30);
        for (int i = 0; i < n; ++i) {
            all.push_back(beat(*rc::gen::inRange<std::uint64_t>(1, 20), *rc::gen::inRange(1, 4)));
            hear(all.back(), i);
        }
        const auto newest =
                std::max_element(all.begin(), all.end(), [](const auto &left, const auto &right) {
                    return std::tie(left.startedAt, left.sequence)
                            < std::tie(right.startedAt, right.sequence);
                });
        const Member &known = m_roster.members().begin()->second;
        RC_ASSERT(known.last.startedAt == newest->startedAt);
        RC_ASSERT(known.last.sequence == newest->sequence);
    });
}

TEST_CASE_METHOD(RosterFixture, "memberTable_silence_suspectsThenRemoves")
{
    hear(beat(1, 1), 0);
    m_roster = std::move(m_roster).at(Instant(2 * second));
    REQUIRE(phase() == MemberPhase::Usable);
    m_roster = std::move(m_roster).at(Instant(3 * second));
    REQUIRE(phase() == MemberPhase::Suspect);
    m_roster = std::move(m_roster).at(Instant(60 * second));
    REQUIRE(m_roster.members().empty());
}

TEST_CASE_METHOD(RosterFixture, "memberTable_listMarksPredecessorLeaving_successorIsUsable")
{
    hear(beat(1, 1), 0);
    m_roster = std::move(m_roster).listed({InstanceId("i1")}, WallTime(5 * second));
    REQUIRE(phase() == MemberPhase::Draining);
    hear(beat(1, 9), 1);
    REQUIRE(phase() == MemberPhase::Usable);
}

TEST_CASE_METHOD(RosterFixture, "memberTable_otherEntrySawMarkBeforeSuccessor_successorIsUsable")
{
    hear(beat(1, 9), 1);
    m_roster = std::move(m_roster).listed({InstanceId("i1")}, WallTime(10 * second));
    REQUIRE(phase() == MemberPhase::Draining);
    m_roster = std::move(m_roster).marked({InstanceId("i1"), WallTime(5 * second)});
    REQUIRE(phase() == MemberPhase::Usable);
}

TEST_CASE_METHOD(RosterFixture, "memberTable_listRemovesLeavingMark_memberIsUsableAgain")
{
    hear(beat(1, 1), 0);
    m_roster = std::move(m_roster).listed({InstanceId("i1")}, WallTime(5 * second));
    m_roster = std::move(m_roster).listed({}, WallTime(6 * second));
    REQUIRE(phase() == MemberPhase::Usable);
}

TEST_CASE_METHOD(RosterFixture, "memberTable_listShowsLiveAfterAgentDrains_staysDraining")
{
    hear(beat(1, 1, true), 0);
    m_roster = std::move(m_roster).listed({}, WallTime(5 * second));
    hear(beat(2, 1), 1);
    REQUIRE(phase() == MemberPhase::Draining);
}

TEST_CASE_METHOD(RosterFixture, "memberTable_drainOrder_appliesToThatProcessOnly")
{
    hear(beat(1, 1), 0);
    m_roster = std::move(m_roster).ordered({InstanceId("i1"), WallTime(1 * second)});
    REQUIRE(phase() == MemberPhase::Draining);
    hear(beat(1, 2), 1);
    REQUIRE(phase() == MemberPhase::Usable);
}

} // namespace
} // namespace greengageseam
