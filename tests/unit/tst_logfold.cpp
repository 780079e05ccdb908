/**
 * Tests of following the configuration log: log resets, corrupt snapshots, repeated changes, and
 * when a snapshot is due.
 */
#include "core/config/config.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

/** A fold that has applied one change of the log `a`. */
class LogFoldFixture
{
protected:
    LogFoldFixture() { m_fold = read({"a", {1}, {2}}, {{Offset {1}, changeOf("c1", "4")}}); }

    static ConfigChange changeOf(const std::string &id, const std::string &value)
    {
        ConfigChange change;
        change.id = ChangeId(id);
        change.author = OperatorName("ann");
        change.edits = {{CellPath("limit/origin-copies"), value}};
        return change;
    }

    LogFold read(const LogWindow &window, const std::vector<ConfigRecord> &records)
    {
        m_findings = {};
        m_fold = m_fold.withLogRecords(window, records, m_findings);
        return m_fold;
    }

    void requireTableKeptWithAlarm(LogStatus status) const
    {
        REQUIRE(m_fold.logStatus() == status);
        REQUIRE(m_findings.alarms.front().kind == ConfigAlarmKind::LogReset);
        REQUIRE(m_fold.state().applied == Offset {1});
        REQUIRE(m_fold.state().table.limits.originCopies == 4);
    }

    LogFold m_fold;
    LogFindings m_findings;
};

TEST_CASE_METHOD(LogFoldFixture, "logFold_otherIdentity_keepsLastTableWithAlarm")
{
    ConfigChange change = changeOf("c2", "2");
    change.base = Offset {1};
    read({"b", {1}, {3}}, {{Offset {2}, change}});
    requireTableKeptWithAlarm(LogStatus::IdentityChanged);
}

TEST_CASE_METHOD(LogFoldFixture, "logFold_truncatedLog_keepsLastTableWithAlarm")
{
    read({"a", {1}, {1}}, {});
    requireTableKeptWithAlarm(LogStatus::Truncated);
}

TEST_CASE_METHOD(LogFoldFixture, "logFold_snapshotOfOtherLogFromPeer_isIgnoredWithAlarm")
{
    ConfigState other = m_fold.state();
    other.logId = "b";
    other.applied = Offset {9};
    m_fold = m_fold.withPeerSnapshot(makeSnapshot(other), m_findings);
    requireTableKeptWithAlarm(LogStatus::Following);
}

TEST_CASE_METHOD(LogFoldFixture, "logFold_otherIdentityThenPeerSnapshotOfSameLog_isApplied")
{
    ConfigState ahead = m_fold.state();
    ahead.applied = Offset {9};
    read({"b", {1}, {1}}, {});
    REQUIRE(m_fold.withPeerSnapshot(makeSnapshot(ahead), m_findings).state() == ahead);
}

TEST_CASE_METHOD(LogFoldFixture, "logFold_emptyLogOnFirstStart_isReadyAtOnce")
{
    m_fold = {};
    REQUIRE(read({"a", {1}, {1}}, {}).isReady());
}

TEST_CASE_METHOD(LogFoldFixture, "logFold_emptyTrimmedLog_isNotReadyAndRaisesAlarm")
{
    m_fold = {};
    REQUIRE_FALSE(read({"a", {9}, {9}}, {}).isReady());
    REQUIRE(m_findings.alarms.front().kind == ConfigAlarmKind::Gap);
}

TEST_CASE_METHOD(LogFoldFixture,
                 "logFold_snapshotThatDiffersFromFold_raisesAlarmAndKeepsFoldedTable")
{
    ConfigState other = m_fold.state();
    other.rawTable = RawTable().withChange(changeOf("c1", "8"), Offset {1});
    read({"a", {1}, {3}}, {{Offset {2}, makeSnapshot(other)}});
    REQUIRE(m_findings.alarms.front().kind == ConfigAlarmKind::SnapshotMismatch);
    REQUIRE_THAT(m_findings.alarms.front().detail, Catch::Contains("limit/origin-copies"));
    REQUIRE(m_fold.state().table.limits.originCopies == 4);
    REQUIRE(m_fold.snapshotOffset() == Offset {0});
}

TEST_CASE_METHOD(LogFoldFixture, "logFold_corruptSnapshotFromPeer_isRejected")
{
    SnapshotRecord snapshot = makeSnapshot(m_fold.state());
    snapshot.verdicts.clear();
    m_fold = LogFold().withPeerSnapshot(snapshot, m_findings);
    REQUIRE_FALSE(m_fold.isReady());
}

TEST_CASE_METHOD(LogFoldFixture, "logFold_changeRepeatedAfterVerdictWindow_isAppliedOnce")
{
    std::uint64_t offset = 1;
    while (offset <= maxVerdicts) {
        ++offset;
        ConfigChange other = changeOf("other" + std::to_string(offset), "wrong");
        other.base = Offset {offset - 1};
        read({"a", {1}, {offset + 1}}, {{Offset {offset}, other}});
    }
    REQUIRE(m_fold.state().verdictFor(ChangeId("c1")) == nullptr);
    read({"a", {1}, {offset + 2}}, {{Offset {offset + 1}, changeOf("c1", "4")}});
    REQUIRE(m_findings.verdicts.front().kind == VerdictKind::Conflict);
    REQUIRE(m_fold.state().rawTable.cells().begin()->second.changedAt == Offset {1});
}

TEST_CASE_METHOD(LogFoldFixture, "logFold_changeAgainstLaterBase_isInvalid")
{
    ConfigChange change = changeOf("c2", "2");
    change.base = Offset {2};
    read({"a", {1}, {3}}, {{Offset {2}, change}});
    REQUIRE(m_findings.verdicts.front().kind == VerdictKind::Invalid);
}

TEST_CASE("snapshot_lag_isDueByRecordsBytesAgeAndRetention")
{
    const SnapshotOptions options;
    const SnapshotLag notDue {Offset {100}, Offset {90}, Offset {1}, 10, Duration(0)};
    REQUIRE_FALSE(isSnapshotDue(notDue, options));
    SnapshotLag lag = notDue;
    lag.lastIncluded = Offset {0};
    REQUIRE(isSnapshotDue(lag, options.withRecords(100)));
    lag = notDue;
    lag.bytesSince = options.bytes;
    REQUIRE(isSnapshotDue(lag, options));
    lag = notDue;
    lag.age = options.age;
    REQUIRE(isSnapshotDue(lag, options));
    lag = notDue;
    lag.lastIncluded = Offset {40};
    lag.firstOffset = Offset {30};
    REQUIRE(isSnapshotDue(lag, options));
    REQUIRE_FALSE(isSnapshotDue({}, options));
}

} // namespace
} // namespace greengageseam
