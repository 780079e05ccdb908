#include "core/config/cells.h"

#include "core/common/hashing.h"

namespace greengageseam {

namespace {

/** Appends a length-prefixed field, so that different lists of fields never yield equal bytes. */
void appendLengthPrefixed(std::string &bytes, const std::string &field)
{
    bytes += std::to_string(field.size());
    bytes += ':';
    bytes += field;
}

void appendCells(std::string &bytes, const std::map<CellPath, Cell> &cells)
{
    bytes += std::to_string(cells.size());
    bytes += ';';
    for (const auto &[path, cell] : cells) {
        appendLengthPrefixed(bytes, path.text());
        appendLengthPrefixed(bytes, cell.value);
        appendLengthPrefixed(bytes, cell.change.text());
        appendLengthPrefixed(bytes, std::to_string(cell.changedAt.value));
    }
}

} // namespace

RawTable::RawTable(std::map<CellPath, Cell> cells, std::map<CellPath, Cell> tombstones)
    : m_cells(std::move(cells)), m_tombstones(std::move(tombstones))
{ }

std::optional<std::string> RawTable::value(const CellPath &path) const
{
    const auto it = m_cells.find(path);
    if (it == m_cells.end()) {
        return std::nullopt;
    }
    return it->second.value;
}

const Cell *RawTable::changedAfter(const CellPath &path, Offset base) const
{
    for (const auto *cells : {&m_cells, &m_tombstones}) {
        const auto it = cells->find(path);
        if (it != cells->end() && it->second.changedAt > base) {
            return &it->second;
        }
    }
    return nullptr;
}

RawTable RawTable::withChange(const ConfigChange &change, Offset offset) const
{
    RawTable next = *this;
    for (const CellEdit &edit : change.edits) {
        Cell cell {edit.value.value_or(std::string()), change.id, change.author, offset};
        next.m_cells.erase(edit.path);
        next.m_tombstones.erase(edit.path);
        auto &target = edit.value ? next.m_cells : next.m_tombstones;
        target.emplace(edit.path, std::move(cell));
    }
    return next;
}

Digest RawTable::digest() const
{
    std::string bytes;
    appendCells(bytes, m_cells);
    appendCells(bytes, m_tombstones);
    return digestOf(bytes);
}

} // namespace greengageseam
