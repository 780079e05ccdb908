/**
 * The configuration as operators edit it: a map from cell paths to text values, and changes to it.
 * compileTable() checks the values and converts them to their types.
 */
#pragma once

#include "core/common/ids.h"
#include "core/common/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengageseam {

/** Path of a cell, such as `model/chat/v3/weight/zone/fyn`. */
using CellPath = Name<struct CellPathTag>;

/** Value of a cell, and the change that wrote it. */
struct Cell
{
    std::string value;
    /** Change that wrote this value. */
    ChangeId change;
    OperatorName author;
    /** Log offset of that change. A later change to the cell conflicts if its base is lower. */
    Offset changedAt;

    auto operator<=>(const Cell &) const = default;
};

/** New value of one cell; an empty optional clears the cell. */
struct CellEdit
{
    CellPath path;
    std::optional<std::string> value;

    auto operator<=>(const CellEdit &) const = default;
};

/** A set of edits that is accepted or rejected atomically. */
struct ConfigChange
{
    ChangeId id;
    OperatorName author;
    /** Log offset of the table that the author based the change on. */
    Offset base;
    WallTime proposedAt;
    std::string note;
    std::vector<CellEdit> edits;

    auto operator<=>(const ConfigChange &) const = default;
};

/**
 * All cells of the configuration table, immutable. A cleared cell leaves a tombstone, so that a
 * concurrent change to the same cell is still detected as a conflict.
 */
class RawTable
{
public:
    RawTable() = default;
    explicit RawTable(std::map<CellPath, Cell> cells, std::map<CellPath, Cell> tombstones = {});

    /** @returns the cells that have a value, ordered by path */
    const std::map<CellPath, Cell> &cells() const { return m_cells; }
    /** @returns the cleared cells, each with the change that cleared it */
    const std::map<CellPath, Cell> &tombstones() const { return m_tombstones; }

    /** @returns the value of a cell, or an empty optional if the cell has none */
    std::optional<std::string> value(const CellPath &path) const;

    /** @returns the cell or tombstone at @p path if it was written after @p base, otherwise null */
    const Cell *changedAfter(const CellPath &path, Offset base) const;

    /** @returns a copy of this table with @p change applied at log offset @p offset */
    RawTable withChange(const ConfigChange &change, Offset offset) const;

    /** @returns a digest of all cells and tombstones; equal tables have equal digests */
    Digest digest() const;

    bool operator==(const RawTable &) const = default;

private:
    /** Invariant: no path is a key of both maps. */
    std::map<CellPath, Cell> m_cells;
    std::map<CellPath, Cell> m_tombstones;
};

} // namespace greengageseam
