#include "core/config/fold.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Appends a length-prefixed field, so that different lists of fields never yield equal bytes. */
void appendLengthPrefixed(std::string &bytes, const std::string &field)
{
    bytes += std::to_string(field.size());
    bytes += ':';
    bytes += field;
}

/** Computes the digest over all contents of a snapshot, so that a corrupt one is rejected. */
Digest digestOfSnapshot(const SnapshotRecord &snapshot)
{
    std::string bytes;
    appendLengthPrefixed(bytes, snapshot.logId);
    appendLengthPrefixed(bytes, std::to_string(snapshot.lastIncluded.value));
    appendLengthPrefixed(bytes, snapshot.rawTable.digest().text());
    for (const Verdict &verdict : snapshot.verdicts) {
        appendLengthPrefixed(bytes, verdict.change.text());
        appendLengthPrefixed(bytes, std::to_string(verdict.offset.value));
        appendLengthPrefixed(bytes, std::to_string(static_cast<int>(verdict.kind)));
    }
    return digestOf(bytes);
}

/** The verdict on a change; if it is accepted, also the resulting tables. */
struct Evaluation
{
    Verdict verdict;
    RawTable rawTable;
    ConfigTable table;
};

std::string describeConflict(const RawTable &rawTable, const CellPath &path, const Cell &winner)
{
    const bool isCleared = rawTable.tombstones().contains(path);
    return path.text() + (isCleared ? " was cleared" : " was changed to '" + winner.value + "'")
            + " by " + winner.author.text() + " in change " + winner.change.text() + " at offset "
            + std::to_string(winner.changedAt.value);
}

void recordVerdict(ConfigState &state, const Verdict &verdict)
{
    state.verdicts.push_back(verdict);
    if (state.verdicts.size() > maxVerdicts) {
        state.verdicts.erase(state.verdicts.begin());
    }
}

std::string describeInvalidBase(Offset base, Offset offset)
{
    return "the change is based on offset " + std::to_string(base.value)
            + "; the base must be below its own offset " + std::to_string(offset.value);
}

Evaluation evaluate(const ConfigState &state, const ConfigChange &change, Offset offset)
{
    Evaluation evaluation;
    Verdict &verdict = evaluation.verdict;
    verdict = {change.id,     change.author, offset,     change.proposedAt, VerdictKind::Accepted,
               std::string(), change.edits,  change.note};
    if (change.base >= offset) {
        verdict.kind = VerdictKind::Invalid;
        verdict.reason = describeInvalidBase(change.base, offset);
        return evaluation;
    }
    for (const CellEdit &edit : change.edits) {
        if (const Cell *winner = state.rawTable.changedAfter(edit.path, change.base)) {
            verdict.kind = VerdictKind::Conflict;
            verdict.reason = describeConflict(state.rawTable, edit.path, *winner);
            return evaluation;
        }
    }
    evaluation.rawTable = state.rawTable.withChange(change, offset);
    Outcome<ConfigTable> compiled = toOutcome([&] { return compileTable(evaluation.rawTable); });
    if (const Failure *failure = failureOf(compiled)) {
        verdict.kind = VerdictKind::Invalid;
        verdict.reason = failure->detail;
    } else {
        evaluation.table = std::get<ConfigTable>(std::move(compiled));
    }
    return evaluation;
}

FoldStep foldChange(ConfigState state, const ConfigChange &change, Offset offset)
{
    state.applied = offset;
    if (state.verdictFor(change.id) != nullptr) {
        return {std::move(state), std::nullopt, std::nullopt};
    }
    Evaluation evaluation = evaluate(state, change, offset);
    if (evaluation.verdict.kind == VerdictKind::Accepted) {
        state.rawTable = std::move(evaluation.rawTable);
        state.table = std::move(evaluation.table);
    }
    recordVerdict(state, evaluation.verdict);
    return {std::move(state), std::move(evaluation.verdict), std::nullopt};
}

/**
 * @returns the first path at which the cells of the snapshot differ from those folded here, or an
 * empty optional if they agree
 */
std::optional<CellPath> differingCell(const ConfigState &state, const SnapshotRecord &snapshot)
{
    const auto differs = [&](const auto &foldedCells,
                             const auto &snapshotCells) -> std::optional<CellPath> {
        for (const auto &[path, cell] : foldedCells) {
            const auto it = snapshotCells.find(path);
            const bool isCovered = cell.changedAt <= snapshot.lastIncluded;
            if (isCovered && (it == snapshotCells.end() || it->second != cell)) {
                return path;
            }
        }
        return std::nullopt;
    };
    if (auto path = differs(state.rawTable.cells(), snapshot.rawTable.cells())) {
        return path;
    }
    if (auto path = differs(state.rawTable.tombstones(), snapshot.rawTable.tombstones())) {
        return path;
    }
    for (const auto *cells : {&snapshot.rawTable.cells(), &snapshot.rawTable.tombstones()}) {
        for (const auto &[path, cell] : *cells) {
            const bool isFolded = state.rawTable.cells().contains(path)
                    || state.rawTable.tombstones().contains(path);
            if (!isFolded) {
                return path;
            }
        }
    }
    return std::nullopt;
}

/** @returns why a snapshot contradicts the fold, or an empty optional if the two agree */
std::optional<std::string> snapshotMismatch(const ConfigState &state,
                                            const SnapshotRecord &snapshot)
{
    const std::string name =
            "the snapshot of offset " + std::to_string(snapshot.lastIncluded.value);
    if (snapshot.lastIncluded > state.applied) {
        return name + " is in the log before the last record that it includes";
    }
    if (snapshot.digest != digestOfSnapshot(snapshot)) {
        return name + " does not match its digest";
    }
    if (const auto path = differingCell(state, snapshot)) {
        return name + " differs from the locally folded table at " + path->text();
    }
    return std::nullopt;
}

/**
 * Checks a snapshot that is the next record of the log. Where the two differ, the fold takes
 * precedence over the snapshot, and the step raises an alarm.
 */
FoldStep foldSnapshot(ConfigState state, const SnapshotRecord &snapshot, Offset offset)
{
    FoldStep step;
    if (auto detail = snapshotMismatch(state, snapshot)) {
        step.alarm = ConfigAlarm {ConfigAlarmKind::SnapshotMismatch, offset, std::move(*detail)};
    }
    step.state = std::move(state);
    step.state.applied = offset;
    return step;
}

FoldStep reportGap(ConfigState state, Offset offset)
{
    ConfigAlarm alarm {ConfigAlarmKind::Gap, offset,
                       "the log continues at offset " + std::to_string(offset.value) + " after "
                               + std::to_string(state.applied.value)};
    return {std::move(state), std::nullopt, std::move(alarm)};
}

} // namespace

const Verdict *ConfigState::verdictFor(const ChangeId &change) const
{
    const auto it = std::find_if(verdicts.begin(), verdicts.end(),
                                 [&](const Verdict &verdict) { return verdict.change == change; });
    return it == verdicts.end() ? nullptr : &*it;
}

FoldStep foldRecord(ConfigState state, const ConfigRecord &record)
{
    if (record.offset <= state.applied) {
        return {std::move(state), std::nullopt, std::nullopt};
    }
    if (record.offset.value != state.applied.value + 1) {
        return reportGap(std::move(state), record.offset);
    }
    if (const auto *change = std::get_if<ConfigChange>(&record.event)) {
        return foldChange(std::move(state), *change, record.offset);
    }
    if (const auto *snapshot = std::get_if<SnapshotRecord>(&record.event)) {
        return foldSnapshot(std::move(state), *snapshot, record.offset);
    }
    state.applied = record.offset;
    ConfigAlarm alarm {ConfigAlarmKind::UnreadableRecord, record.offset,
                       std::get<UnreadableRecord>(record.event).reason};
    return {std::move(state), std::nullopt, std::move(alarm)};
}

Verdict evaluateChange(const ConfigState &state, const ConfigChange &change, Offset offset)
{
    return evaluate(state, change, offset).verdict;
}

SnapshotRecord makeSnapshot(const ConfigState &state)
{
    SnapshotRecord snapshot {state.logId, state.applied, state.rawTable, state.verdicts, {}};
    snapshot.digest = digestOfSnapshot(snapshot);
    return snapshot;
}

Result<ConfigState> restoreState(const SnapshotRecord &snapshot)
{
    if (snapshot.digest != digestOfSnapshot(snapshot)) {
        return fail(ErrorKind::CorruptData,
                    "the snapshot of offset " + std::to_string(snapshot.lastIncluded.value)
                            + " does not match its digest");
    }
    BOOST_LEAF_AUTO(table, compileTable(snapshot.rawTable));
    return ConfigState {snapshot.logId, snapshot.lastIncluded, snapshot.rawTable, std::move(table),
                        snapshot.verdicts};
}

} // namespace greengageseam
