/**
 * Compares membership with simple reference models: delta synchronization with full copies of all
 * states, and the member table with a list of all heartbeats.
 */
#include "core/membership/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace greengageseam {
namespace {

Heartbeat makeMember(int number, int state)
{
    Heartbeat heartbeat;
    heartbeat.instance = InstanceId("i" + std::to_string(number));
    heartbeat.slots = static_cast<std::uint32_t>(state);
    return heartbeat;
}

/** A sender, a reference that keeps full copies, and receivers that lose messages. */
class MemberChangesFixture
{
protected:
    void step(int number, int state)
    {
        const Heartbeat heartbeat = makeMember(number, state);
        if (state == 0) {
            m_log = std::move(m_log).without(heartbeat.instance);
            m_reference.erase(heartbeat.instance);
        } else {
            m_log = std::move(m_log).withState(heartbeat);
            m_reference.insert_or_assign(heartbeat.instance, heartbeat);
        }
    }

    MemberChanges changesFor(const RemoteMembers &view) const
    {
        return m_log.changesSince(view.epoch(), view.revision());
    }

    MemberChangeLog m_log {7, 3};
    std::map<InstanceId, Heartbeat> m_reference;
};

TEST_CASE_METHOD(MemberChangesFixture,
                 "remoteMembers_lossesDuplicatesAndRestarts_convergeToSenderState")
{
    rc::prop("a receiver converges to the full state after its next update", [this] {
        m_log = MemberChangeLog(7, 3);
        m_reference.clear();
        RemoteMembers view;
        std::vector<MemberChanges> delayed;
        const int steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            step(*rc::gen::inRange(0, 8), *rc::gen::inRange(0, 3));
            if (*rc::gen::inRange(0, 30) == 0) {
                m_log = MemberChangeLog(8 + static_cast<std::uint64_t>(i), 3);
                for (const auto &[instance, state] : m_reference) {
                    m_log = std::move(m_log).withState(state);
                }
                delayed.clear();
            }
            const MemberChanges changes = changesFor(view);
            const int delivery = *rc::gen::inRange(0, 3);
            if (delivery == 1) {
                delayed.push_back(changes);
            } else if (delivery == 2) {
                view = std::move(view).withChanges(changes);
                for (const MemberChanges &old : delayed) {
                    view = std::move(view).withChanges(old);
                }
            }
        }
        const MemberChanges last = changesFor(view);
        view = std::move(view).withChanges(last);
        RC_ASSERT(view.members() == m_reference);
        RC_ASSERT(changesFor(view).changed.empty());
    });
}

TEST_CASE_METHOD(MemberChangesFixture, "digest_memberUnchanged_carriesOnlyHeartbeatUpdate")
{
    Heartbeat heartbeat = makeMember(1, 2);
    heartbeat.appliedConfig = Offset {9};
    heartbeat.sequence = 5;
    m_log = std::move(m_log).withState(fieldsForEntries(heartbeat));
    RemoteMembers view;
    view = std::move(view).withChanges(m_log.changesSince(0, 0));
    heartbeat.sequence = 6;
    heartbeat.inFlight = 3;
    m_log = std::move(m_log).withState(fieldsForEntries(heartbeat));
    const ZoneDigest digest =
            makeZoneDigest(m_log.changesSince(view.epoch(), view.revision()), {heartbeat}, {});
    REQUIRE(digest.changes.changed.empty());
    REQUIRE(view.canApply(digest.changes));
    REQUIRE(expandHeartbeats(digest, view) == std::vector<Heartbeat> {heartbeat});
}

TEST_CASE_METHOD(MemberChangesFixture, "summary_manifestPrefix_isExpandedToKnownManifest")
{
    const ZoneSummary summary {
            ZoneName("z"), WallTime(), {{Digest("ab"), {}, 1, 0, 0}, {Digest("cd"), {}, 1, 0, 0}}};
    const ZoneSummary expanded = expandManifestPrefixes(summary, {Digest("abff"), Digest("ccff")});
    REQUIRE(expanded.capacities == std::vector<ZoneCapacity> {{Digest("abff"), {}, 1, 0, 0}});
}

/** A member table and helpers that create heartbeats for it. */
class MemberTableFixture
{
protected:
    static constexpr auto second = std::chrono::seconds(1);

    static Heartbeat makeHeartbeat(std::uint64_t sequence, int startedAt, bool isDraining = false)
    {
        Heartbeat heartbeat = makeMember(1, 1);
        heartbeat.sequence = sequence;
        heartbeat.startedAt = WallTime(startedAt * second);
        heartbeat.isDraining = isDraining;
        return heartbeat;
    }

    MemberPhase phase() const { return m_memberTable.members().begin()->second.phase; }

    void receive(const Heartbeat &heartbeat, int at)
    {
        m_memberTable = std::move(m_memberTable).withHeartbeat(heartbeat, Instant(at * second));
    }

    MemberTable m_memberTable;
};

TEST_CASE_METHOD(MemberTableFixture, "memberTable_heartbeatsInAnyOrder_newestProcessAndSequenceWin")
{
    rc::prop("the order of arrival does not matter", [this] {
        m_memberTable = MemberTable();
        std::vector<Heartbeat> all;
        const int n = *rc::gen::inRange(1, 30);
        for (int i = 0; i < n; ++i) {
            all.push_back(makeHeartbeat(*rc::gen::inRange<std::uint64_t>(1, 20),
                                        *rc::gen::inRange(1, 4)));
            receive(all.back(), i);
        }
        const auto newest =
                std::max_element(all.begin(), all.end(), [](const auto &left, const auto &right) {
                    return std::tie(left.startedAt, left.sequence)
                            < std::tie(right.startedAt, right.sequence);
                });
        const Member &known = m_memberTable.members().begin()->second;
        RC_ASSERT(known.lastHeartbeat.startedAt == newest->startedAt);
        RC_ASSERT(known.lastHeartbeat.sequence == newest->sequence);
    });
}

TEST_CASE_METHOD(MemberTableFixture, "memberTable_silence_suspectsThenRemoves")
{
    receive(makeHeartbeat(1, 1), 0);
    m_memberTable = std::move(m_memberTable).advancedTo(Instant(2 * second));
    REQUIRE(phase() == MemberPhase::Usable);
    m_memberTable = std::move(m_memberTable).advancedTo(Instant(3 * second));
    REQUIRE(phase() == MemberPhase::Suspect);
    m_memberTable = std::move(m_memberTable).advancedTo(Instant(60 * second));
    REQUIRE(m_memberTable.members().empty());
}

TEST_CASE_METHOD(MemberTableFixture, "memberTable_listMarksPredecessorLeaving_successorIsUsable")
{
    receive(makeHeartbeat(1, 1), 0);
    m_memberTable =
            std::move(m_memberTable).withLeavingList({InstanceId("i1")}, WallTime(5 * second));
    REQUIRE(phase() == MemberPhase::Draining);
    receive(makeHeartbeat(1, 9), 1);
    REQUIRE(phase() == MemberPhase::Usable);
}

TEST_CASE_METHOD(MemberTableFixture,
                 "memberTable_otherEntrySawMarkBeforeSuccessor_successorIsUsable")
{
    receive(makeHeartbeat(1, 9), 1);
    m_memberTable =
            std::move(m_memberTable).withLeavingList({InstanceId("i1")}, WallTime(10 * second));
    REQUIRE(phase() == MemberPhase::Draining);
    m_memberTable =
            std::move(m_memberTable).withLeavingInstance({InstanceId("i1"), WallTime(5 * second)});
    REQUIRE(phase() == MemberPhase::Usable);
}

TEST_CASE_METHOD(MemberTableFixture, "memberTable_listRemovesLeavingMark_memberIsUsableAgain")
{
    receive(makeHeartbeat(1, 1), 0);
    m_memberTable =
            std::move(m_memberTable).withLeavingList({InstanceId("i1")}, WallTime(5 * second));
    m_memberTable = std::move(m_memberTable).withLeavingList({}, WallTime(6 * second));
    REQUIRE(phase() == MemberPhase::Usable);
}

TEST_CASE_METHOD(MemberTableFixture, "memberTable_listShowsLiveAfterAgentDrains_staysDraining")
{
    receive(makeHeartbeat(1, 1, true), 0);
    m_memberTable = std::move(m_memberTable).withLeavingList({}, WallTime(5 * second));
    receive(makeHeartbeat(2, 1), 1);
    REQUIRE(phase() == MemberPhase::Draining);
}

TEST_CASE_METHOD(MemberTableFixture, "memberTable_drainOrder_appliesToThatProcessOnly")
{
    receive(makeHeartbeat(1, 1), 0);
    m_memberTable =
            std::move(m_memberTable).withDrainOrder({InstanceId("i1"), WallTime(1 * second)});
    REQUIRE(phase() == MemberPhase::Draining);
    receive(makeHeartbeat(1, 2), 1);
    REQUIRE(phase() == MemberPhase::Usable);
}

} // namespace
} // namespace greengageseam
