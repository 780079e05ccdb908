#include "core/config/fold.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Appends a length-prefixed field, so that different lists of fields never yield equal bytes. */
void appendField(std::string &bytes, const std::string &field)
{
    bytes += std::to_string(field.size());
    bytes += ':';
    bytes += field;
}

/** Computes the digest over all contents of a snapshot, so that a corrupt one is rejected. */
Digest digestOfSnapshot(const SnapshotRecord &snapshot)
{
    std::string bytes;
    appendField(bytes, snapshot.logId);
    appendField(bytes, std::to_string(snapshot.covers.value));
    appendField(bytes, snapshot.sheet.digest().text());
    for (const Verdict &verdict : snapshot.verdicts) {
        appendField(bytes, verdict.change.text());
        appendField(bytes, std::to_string(verdict.offset.value));
        appendField(bytes, std::to_string(static_cast<int>(verdict.kind)));
    }
    return digestOf(bytes);
}

/** The verdict on a change; if it is accepted, also the resulting tables. */
struct Judgement
{
    Verdict verdict;
    Sheet sheet;
    Table table;
};

std::string describeConflict(const Sheet &sheet, const CellPath &path, const Cell &winner)
{
    const bool isCleared = sheet.tombstones().contains(path);
    return path.text() + (isCleared ? " was cleared" : " was changed to '" + winner.value + "'")
            + " by " + winner.author.text() + " in change " + winner.change.text() + " at offset "
            + std::to_string(winner.changedAt.value);
}

void keepVerdict(ConfigState &state, const Verdict &verdict)
{
    state.verdicts.push_back(verdict);
    if (state.verdicts.size() > maxVerdicts) {
        state.verdicts.erase(state.verdicts.begin());
    }
}

std::string describeBase(Offset base, Offset offset)
{
    return "the change is based on offset " + std::to_string(base.value)
            + "; the base must be below its own offset " + std::to_string(offset.value);
}

Judgement judge(const ConfigState &state, const Change &change, Offset offset)
{
    Judgement judgement;
    Verdict &verdict = judgement.verdict;
    verdict = {change.id,     change.author, offset,     change.proposedAt, VerdictKind::Accepted,
               std::string(), change.edits,  change.note};
    if (change.base >= offset) {
        verdict.kind = VerdictKind::Invalid;
        verdict.reason = describeBase(change.base, offset);
        return judgement;
    }
    for (const CellEdit &edit : change.edits) {
        if (const Cell *winner = state.sheet.changedAfter(edit.path, change.base)) {
            verdict.kind = VerdictKind::Conflict;
            verdict.reason = describeConflict(state.sheet, edit.path, *winner);
            return judgement;
        }
    }
    judgement.sheet = state.sheet.with(change, offset);
    Outcome<Table> compiled = settle([&] { return compileTable(judgement.sheet); });
    if (const Failure *failure = failureOf(compiled)) {
        verdict.kind = VerdictKind::Invalid;
        verdict.reason = failure->detail;
    } else {
        judgement.table = std::get<Table>(std::move(compiled));
    }
    return judgement;
}

FoldStep foldChange(ConfigState state, const Change &change, Offset offset)
{
    state.applied = offset;
    if (state.verdictOn(change.id) != nullptr) {
        return {std::move(state), std::nullopt, std::nullopt};
    }
    Judgement judgement = judge(state, change, offset);
    if (judgement.verdict.kind == VerdictKind::Accepted) {
        state.sheet = std::move(judgement.sheet);
        state.table = std::move(judgement.table);
    }
    keepVerdict(state, judgement.verdict);
    return {std::move(state), std::move(judgement.verdict), std::nullopt};
}

/**
 * @returns the first path at which the cells of the snapshot differ from those folded here, or an
 * empty optional if they agree
 */
std::optional<CellPath> differingCell(const ConfigState &state, const SnapshotRecord &snapshot)
{
    const auto differs = [&](const auto &mine, const auto &theirs) -> std::optional<CellPath> {
        for (const auto &[path, cell] : mine) {
            const auto it = theirs.find(path);
            const bool isCovered = cell.changedAt <= snapshot.covers;
            if (isCovered && (it == theirs.end() || it->second != cell)) {
                return path;
            }
        }
        return std::nullopt;
    };
    if (auto path = differs(state.sheet.cells(), snapshot.sheet.cells())) {
        return path;
    }
    if (auto path = differs(state.sheet.tombstones(), snapshot.sheet.tombstones())) {
        return path;
    }
    for (const auto *cells : {&snapshot.sheet.cells(), &snapshot.sheet.tombstones()}) {
        for (const auto &[path, cell] : *cells) {
            const bool isKnown =
                    state.sheet.cells().contains(path) || state.sheet.tombstones().contains(path);
            if (!isKnown) {
                return path;
            }
        }
    }
    return std::nullopt;
}

/** @returns why a snapshot contradicts the fold, or an empty optional if the two agree */
std::optional<std::string> disagreement(const ConfigState &state, const SnapshotRecord &snapshot)
{
    const std::string name = "the snapshot of offset " + std::to_string(snapshot.covers.value);
    if (snapshot.covers > state.applied) {
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
    if (auto detail = disagreement(state, snapshot)) {
        step.alarm = ConfigAlarm {ConfigAlarmKind::SnapshotMismatch, offset, std::move(*detail)};
    }
    step.state = std::move(state);
    step.state.applied = offset;
    return step;
}

FoldStep gapBefore(ConfigState state, Offset offset)
{
    ConfigAlarm alarm {ConfigAlarmKind::Gap, offset,
                       "the log continues at offset " + std::to_string(offset.value) + " after "
                               + std::to_string(state.applied.value)};
    return {std::move(state), std::nullopt, std::move(alarm)};
}

} // namespace

const Verdict *ConfigState::verdictOn(const ChangeId &change) const
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
        return gapBefore(std::move(state), record.offset);
    }
    if (const auto *change = std::get_if<Change>(&record.event)) {
        return foldChange(std::move(state), *change, record.offset);
    }
    if (const auto *snapshot = std::get_if<SnapshotRecord>(&record.event)) {
        return foldSnapshot(std::move(state), *snapshot, record.offset);
    }
    state.applied = record.offset;
    ConfigAlarm alarm {ConfigAlarmKind::Rubbish, record.offset,
                       std::get<RubbishRecord>(record.event).reason};
    return {std::move(state), std::nullopt, std::move(alarm)};
}

Verdict judgeChange(const ConfigState &state, const Change &change, Offset offset)
{
    return judge(state, change, offset).verdict;
}

SnapshotRecord snapshotOf(const ConfigState &state)
{
    SnapshotRecord snapshot {state.logId, state.applied, state.sheet, state.verdicts, {}};
    snapshot.digest = digestOfSnapshot(snapshot);
    return snapshot;
}

Result<ConfigState> stateOf(const SnapshotRecord &snapshot)
{
    if (snapshot.digest != digestOfSnapshot(snapshot)) {
        return fail(ErrorKind::CorruptData,
                    "the snapshot of offset " + std::to_string(snapshot.covers.value)
                            + " does not match its digest");
    }
    BOOST_LEAF_AUTO(table, compileTable(snapshot.sheet));
    return ConfigState {snapshot.logId, snapshot.covers, snapshot.sheet, std::move(table),
                        snapshot.verdicts};
}

} // namespace greengageseam
