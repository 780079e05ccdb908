/**
 * The fold over the configuration log, as in event sourcing: every process that applies the same
 * records in the same order gets the same table and the same verdicts.
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

/** Decision of the fold on a change. */
enum class VerdictKind { Accepted, Conflict, Invalid };

/** The decision on one change, for its proposer and for the audit trail. */
struct Verdict
{
    ChangeId change;
    OperatorName author;
    Offset offset;
    WallTime proposedAt;
    VerdictKind kind = VerdictKind::Accepted;
    /** Why the change was rejected; for a conflict, it names the winning change. */
    std::string reason;
    std::vector<CellEdit> edits;
    /** The author's description of the change. */
    std::string note;

    auto operator<=>(const Verdict &) const = default;
};

/** Immutable state after all records up to an offset; each step returns a new state. */
struct ConfigState
{
    /** Identity of the log that the records came from; empty before the first record. */
    std::string logId;
    Offset applied;
    RawTable rawTable;
    ConfigTable table;
    /** The latest verdicts, oldest first. Invariant: at most maxVerdicts, in ascending offsets. */
    std::vector<Verdict> verdicts;

    bool operator==(const ConfigState &) const = default;

    /** @returns the verdict on a change, or null if it is not among the last maxVerdicts */
    const Verdict *verdictFor(const ChangeId &change) const;
};

/** A snapshot of the state that an instance appends to the log or sends to a peer. */
struct SnapshotRecord
{
    /** Identity of the log that the state was folded from. */
    std::string logId;
    /** Offset of the last record that the state includes; the snapshot is at a later offset. */
    Offset lastIncluded;
    RawTable rawTable;
    std::vector<Verdict> verdicts;
    Digest digest;

    bool operator==(const SnapshotRecord &) const = default;
};

/**
 * A record that cannot be decoded. It does not change the table, but stays in the sequence, so that
 * the fold counts it and raises an alarm.
 */
struct UnreadableRecord
{
    std::string reason;

    auto operator<=>(const UnreadableRecord &) const = default;
};

/** Content of a record of the configuration log. */
using ConfigEvent = std::variant<ConfigChange, SnapshotRecord, UnreadableRecord>;

/** A record of the configuration log. */
struct ConfigRecord
{
    Offset offset;
    ConfigEvent event;

    bool operator==(const ConfigRecord &) const = default;
};

/** Kinds of problems that the fold detects in the log. */
enum class ConfigAlarmKind { Gap, LogReset, UnreadableRecord, SnapshotMismatch };

/** A problem with the log; the report shows it until an operator has resolved it. */
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
    /** The verdict, if the record is a change whose identifier is new to the fold. */
    std::optional<Verdict> verdict;
    std::optional<ConfigAlarm> alarm;
};

/**
 * Number of verdicts that a state keeps. Within this window, a change that is submitted again gets
 * its original verdict. After it, a change that was accepted conflicts with its own first
 * application, so that it never takes effect twice.
 */
constexpr std::size_t maxVerdicts = 512;

/**
 * Applies one record.
 *
 * A record at or below the applied offset is ignored. A record after a gap leaves the state
 * unchanged and raises an alarm; LogFold recovers from gaps with a snapshot.
 */
FoldStep foldRecord(ConfigState state, const ConfigRecord &record);

/** @returns the verdict that @p change would get as the next record; for dry runs */
Verdict evaluateChange(const ConfigState &state, const ConfigChange &change, Offset offset);

/** @returns a snapshot of the state, to append to the log or to send to a peer */
SnapshotRecord makeSnapshot(const ConfigState &state);

/**
 * Restores the state from a snapshot.
 * @returns the state, CorruptData if the digest does not match, or InvalidConfiguration if the
 * cells do not form a valid table
 */
Result<ConfigState> restoreState(const SnapshotRecord &snapshot);

} // namespace greengageseam
