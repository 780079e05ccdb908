/**
 * The table as operators see it: cells with a path and a text, and edits of them.
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

/** A cell's content, and the change that wrote it. */
struct Cell
{
    std::string value;
    /** Change that wrote this content. */
    ChangeId change;
    OperatorName author;
    /** Offset of that change; a change made against an older base conflicts with it. */
    Offset changedAt;

    auto operator<=>(const Cell &) const = default;
};

/** New content for one cell; no value clears the cell. */
struct CellEdit
{
    CellPath path;
    std::optional<std::string> value;

    auto operator<=>(const CellEdit &) const = default;
};

/** A set of edits that is accepted whole or not at all. */
struct ConfigChange
{
    ChangeId id;
    OperatorName author;
    /** Offset of the table that the author looked at. */
    Offset base;
    WallTime proposedAt;
    std::string note;
    std::vector<CellEdit> edits;

    auto operator<=>(const ConfigChange &) const = default;
};

/** All cells of the table. Cleared cells stay as tombstones, so that a race with them is seen. */
class RawTable
{
public:
    RawTable() = default;
    explicit RawTable(std::map<CellPath, Cell> cells, std::map<CellPath, Cell> tombstones = {});

    /** @returns the cells that hold a value, in order of their paths */
    const std::map<CellPath, Cell> &cells() const { return m_cells; }
    /** @returns the cells that were cleared, with the change that did it */
    const std::map<CellPath, Cell> &tombstones() const { return m_tombstones; }

    /** @returns the value of a cell, or nothing if the cell is empty */
    std::optional<std::string> value(const CellPath &path) const;

    /** @returns the cell or tombstone that was written after @p base, or null */
    const Cell *changedAfter(const CellPath &path, Offset base) const;

    /** @returns the sheet after @p change was accepted at @p offset */
    RawTable withChange(const ConfigChange &change, Offset offset) const;

    /** @returns a digest over all cells and tombstones; equal sheets have equal digests */
    Digest digest() const;

    bool operator==(const RawTable &) const = default;

private:
    /** Invariant: no path is in both maps. */
    std::map<CellPath, Cell> m_cells;
    std::map<CellPath, Cell> m_tombstones;
};

} // namespace greengageseam
