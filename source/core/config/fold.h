/**
 * The fold over the configuration log: the same records in the same order give every process the
 * same table and the same verdicts.
 */
#pragma once

#include "core/common/common.h"
#include "core/config/cells.h"
#include "core/config/table.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace greengageseam {

/** What the fold decided about a change. */
enum class VerdictKind { Accepted, Conflict, Invalid };

/** The outcome of one change, for the proposer and for the audit trail. */
struct Verdict
{
    ChangeId change;
    OperatorName author;
    Offset offset;
    WallTime proposedAt;
    VerdictKind kind = VerdictKind::Accepted;
    /** Why the change was not accepted, with the change that won. */
    std::string reason;
    std::vector<CellEdit> edits;
    /** What the author said of the change. */
    std::string note;

    auto operator<=>(const Verdict &) const = default;
};

/** The state after the records up to an offset; immutable, a step makes a new one. */
struct ConfigState
{
    /** Identity of the log that the records came from; empty before the first. */
    std::string logId;
    Offset applied;
    RawTable rawTable;
    ConfigTable table;
    /** The newest verdicts, oldest first. Invariant: at most maxVerdicts, rising offsets. */
    std::vector<Verdict> verdicts;

    bool operator==(const ConfigState &) const = default;

    /** @returns the verdict on a change, or null if it is not among the newest */
    const Verdict *verdictFor(const ChangeId &change) const;
};

/** A snapshot of the state that an instance put into the log. */
struct SnapshotRecord
{
    /** Identity of the log that the state was folded from. */
    std::string logId;
    /** The last record that the state holds; the record itself stands somewhere after it. */
    Offset lastIncluded;
    RawTable rawTable;
    std::vector<Verdict> verdicts;
    Digest digest;

    bool operator==(const SnapshotRecord &) const = default;
};

/** A record that no version of the fold understands; kept so that it is counted and reported. */
struct UnreadableRecord
{
    std::string reason;

    auto operator<=>(const UnreadableRecord &) const = default;
};

/** What a record of the configuration log holds. */
using ConfigEvent = std::variant<ConfigChange, SnapshotRecord, UnreadableRecord>;

/** A record of the configuration log. */
struct ConfigRecord
{
    Offset offset;
    ConfigEvent event;

    bool operator==(const ConfigRecord &) const = default;
};

/** What the fold found wrong with the log. */
enum class ConfigAlarmKind { Gap, LogReset, UnreadableRecord, SnapshotMismatch };

/** An alarm of the fold; it stands in the report until an operator has dealt with it. */
struct ConfigAlarm
{
    ConfigAlarmKind kind = ConfigAlarmKind::Gap;
    Offset offset;
    std::string detail;

    auto operator<=>(const ConfigAlarm &) const = default;
};

/** Result of one step of the fold. */
struct FoldStep
{
    ConfigState state;
    /** The verdict, if the record was a change that the fold had not seen. */
    std::optional<Verdict> verdict;
    std::optional<ConfigAlarm> alarm;
};

/**
 * Number of verdicts that a state keeps, and so the window in which a repeated id gets its old
 * verdict. After it a change that was accepted conflicts with itself, so it never counts twice.
 */
constexpr std::size_t maxVerdicts = 512;

/**
 * Applies one record.
 * A record at or below the applied offset changes nothing. A record after a gap changes nothing
 * and is an alarm; LogFold knows how to go on from a snapshot.
 */
FoldStep foldRecord(ConfigState state, const ConfigRecord &record);

/** @returns the verdict that @p change would get if it were the next record */
Verdict evaluateChange(const ConfigState &state, const ConfigChange &change, Offset offset);

/** @returns a snapshot of the state, to be appended or sent to a peer */
SnapshotRecord makeSnapshot(const ConfigState &state);

/** @returns the state that a snapshot holds, or CorruptData if its digest does not match */
Result<ConfigState> restoreState(const SnapshotRecord &snapshot);

} // namespace greengageseam
