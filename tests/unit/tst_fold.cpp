/**
 * Tests of the fold over the configuration log.
 */
#include "core/config/config.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

/** A configuration state and helpers that apply changes to it. */
class FoldFixture
{
protected:
    static ConfigChange changeOf(const std::string &id, Offset base, const std::string &path,
                                 const std::string &value)
    {
        ConfigChange change;
        change.id = ChangeId(id);
        change.author = OperatorName("ann");
        change.base = base;
        change.edits = {{CellPath(path), value}};
        return change;
    }

    FoldStep foldNext(const ConfigEvent &event)
    {
        FoldStep step = foldRecord(m_state, {Offset {m_state.applied.value + 1}, event});
        m_state = step.state;
        return step;
    }

    ConfigState m_state;
};

TEST_CASE_METHOD(FoldFixture, "fold_changeOfFreshCell_isAccepted")
{
    const FoldStep step = foldNext(changeOf("a", {}, "limit/origin-copies", "4"));
    REQUIRE(step.verdict->kind == VerdictKind::Accepted);
    REQUIRE(m_state.table.limits.originCopies == 4);
}

TEST_CASE_METHOD(FoldFixture, "fold_secondChangeOfSameCellFromOldBase_conflictsAndNamesWinner")
{
    foldNext(changeOf("a", {}, "limit/origin-copies", "4"));
    const FoldStep step = foldNext(changeOf("b", {}, "limit/origin-copies", "2"));
    REQUIRE(step.verdict->kind == VerdictKind::Conflict);
    REQUIRE_THAT(step.verdict->reason, Catch::Contains("'4'") && Catch::Contains("change a"));
    REQUIRE(m_state.table.limits.originCopies == 4);
}

TEST_CASE_METHOD(FoldFixture, "fold_editsOfDifferentCellsFromOneBase_bothAccepted")
{
    foldNext(changeOf("a", {}, "limit/origin-copies", "4"));
    const FoldStep step = foldNext(changeOf("b", {}, "limit/out-of-service", "3"));
    REQUIRE(step.verdict->kind == VerdictKind::Accepted);
}

TEST_CASE_METHOD(FoldFixture, "fold_repeatedChangeId_isAppliedOnce")
{
    foldNext(changeOf("a", {}, "limit/origin-copies", "4"));
    const FoldStep step = foldNext(changeOf("a", {}, "limit/origin-copies", "4"));
    REQUIRE_FALSE(step.verdict);
    REQUIRE(m_state.verdicts.size() == 1);
}

TEST_CASE_METHOD(FoldFixture, "fold_recordAfterGap_changesNothingAndRaisesAlarm")
{
    foldNext(changeOf("a", {}, "limit/origin-copies", "4"));
    const ConfigState before = m_state;
    const FoldStep step = foldRecord(m_state, {Offset {9}, changeOf("b", {}, "limit/x", "1")});
    REQUIRE(step.state == before);
    REQUIRE(step.alarm->kind == ConfigAlarmKind::Gap);
}

TEST_CASE_METHOD(FoldFixture, "fold_invalidValue_isRejectedAndTableUnchanged")
{
    const FoldStep step = foldNext(changeOf("a", {}, "limit/origin-copies", "many"));
    REQUIRE(step.verdict->kind == VerdictKind::Invalid);
    REQUIRE_THAT(step.verdict->reason, Catch::Contains("limit/origin-copies"));
    REQUIRE(m_state.rawTable.cells().empty());
}

TEST_CASE_METHOD(FoldFixture, "snapshot_restored_equalsState")
{
    foldNext(changeOf("a", {}, "limit/origin-copies", "4"));
    const auto restored = toOutcome([&] { return restoreState(makeSnapshot(m_state)); });
    REQUIRE(std::get<ConfigState>(restored) == m_state);
}

} // namespace
} // namespace greengageseam
