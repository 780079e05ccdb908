#include "core/config/fold.h"

#include <algorithm>

namespace greengageseam {

namespace {

Digest digestOfSnapshot(Offset covers, const Sheet &sheet)
{
    return digestOf(std::to_string(covers.value) + "/" + sheet.digest().text());
}

std::string describeConflict(const CellPath &path, const Cell &winner)
{
    return path.text() + " was changed to '" + winner.value + "' by " + winner.author.text()
            + " in change " + winner.change.text() + " at offset "
            + std::to_string(winner.changedAt.value);
}

void keepVerdict(ConfigState &state, const Verdict &verdict)
{
    state.verdicts.push_back(verdict);
    if (state.verdicts.size() > maxVerdicts) {
        state.verdicts.erase(state.verdicts.begin());
    }
}

FoldStep foldChange(const ConfigState &state, const Change &change, Offset offset)
{
    FoldStep step {state, std::nullopt, std::nullopt};
    step.state.applied = offset;
    if (state.verdictOn(change.id) != nullptr) {
        return step;
    }
    Verdict verdict = judgeChange(state, change, offset);
    if (verdict.kind == VerdictKind::Accepted) {
        step.state.sheet = state.sheet.with(change, offset);
        step.state.table = std::get<Table>(settle([&] { return compileTable(step.state.sheet); }));
    }
    keepVerdict(step.state, verdict);
    step.verdict = std::move(verdict);
    return step;
}

/** A snapshot in its turn is only checked; the fold is believed over it. */
FoldStep foldSnapshot(const ConfigState &state, const SnapshotRecord &snapshot, Offset offset)
{
    FoldStep step {state, std::nullopt, std::nullopt};
    step.state.applied = offset;
    if (snapshot.covers == state.applied
        && snapshot.digest != digestOfSnapshot(state.applied, state.sheet)) {
        step.alarm = ConfigAlarm {ConfigAlarmKind::SnapshotMismatch, offset,
                                  "a snapshot of offset " + std::to_string(snapshot.covers.value)
                                          + " differs from the table folded here"};
    }
    return step;
}

FoldStep foldAcrossGap(const ConfigState &state, const ConfigRecord &record)
{
    FoldStep step {state, std::nullopt, std::nullopt};
    const auto *snapshot = std::get_if<SnapshotRecord>(&record.event);
    if (snapshot != nullptr && snapshot->covers.value + 1 == record.offset.value) {
        const Outcome<ConfigState> restored = settle([&] { return stateOf(*snapshot); });
        if (const auto *next = std::get_if<ConfigState>(&restored)) {
            step.state = *next;
            step.state.applied = record.offset;
            return step;
        }
    }
    step.alarm = ConfigAlarm {ConfigAlarmKind::Gap, record.offset,
                              "the log goes on at offset " + std::to_string(record.offset.value)
                                      + " after " + std::to_string(state.applied.value)};
    return step;
}

} // namespace

const Verdict *ConfigState::verdictOn(const ChangeId &change) const
{
    const auto it = std::find_if(verdicts.begin(), verdicts.end(),
                                 [&](const Verdict &verdict) { return verdict.change == change; });
    return it == verdicts.end() ? nullptr : &*it;
}

FoldStep foldRecord(const ConfigState &state, const ConfigRecord &record)
{
    if (record.offset <= state.applied) {
        return {state, std::nullopt, std::nullopt};
    }
    if (record.offset.value != state.applied.value + 1) {
        return foldAcrossGap(state, record);
    }
    if (const auto *change = std::get_if<Change>(&record.event)) {
        return foldChange(state, *change, record.offset);
    }
    if (const auto *snapshot = std::get_if<SnapshotRecord>(&record.event)) {
        return foldSnapshot(state, *snapshot, record.offset);
    }
    FoldStep step {state, std::nullopt, std::nullopt};
    step.state.applied = record.offset;
    step.alarm = ConfigAlarm {ConfigAlarmKind::Rubbish, record.offset,
                              std::get<RubbishRecord>(record.event).reason};
    return step;
}

Verdict judgeChange(const ConfigState &state, const Change &change, Offset offset)
{
    Verdict verdict {change.id,     change.author, offset, change.proposedAt, VerdictKind::Accepted,
                     std::string(), change.edits};
    for (const CellEdit &edit : change.edits) {
        if (const Cell *winner = state.sheet.changedAfter(edit.path, change.base)) {
            verdict.kind = VerdictKind::Conflict;
            verdict.reason = describeConflict(edit.path, *winner);
            return verdict;
        }
    }
    const Sheet next = state.sheet.with(change, offset);
    const Outcome<Table> compiled = settle([&] { return compileTable(next); });
    if (const Failure *failure = failureOf(compiled)) {
        verdict.kind = VerdictKind::Invalid;
        verdict.reason = failure->detail;
    }
    return verdict;
}

SnapshotRecord snapshotOf(const ConfigState &state)
{
    return {state.applied, state.sheet, state.verdicts,
            digestOfSnapshot(state.applied, state.sheet)};
}

Result<ConfigState> stateOf(const SnapshotRecord &snapshot)
{
    if (snapshot.digest != digestOfSnapshot(snapshot.covers, snapshot.sheet)) {
        return fail(ErrorKind::CorruptData, "a snapshot does not match its digest");
    }
    BOOST_LEAF_AUTO(table, compileTable(snapshot.sheet));
    return ConfigState {snapshot.covers, snapshot.sheet, std::move(table), snapshot.verdicts};
}

} // namespace greengageseam
