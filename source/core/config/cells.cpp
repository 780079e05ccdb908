#include "core/config/cells.h"

#include "core/common/hashing.h"

namespace greengageseam {

namespace {

/** Appends a length-prefixed field, so that different lists of fields never yield equal bytes. */
void appendField(std::string &bytes, const std::string &field)
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
        appendField(bytes, path.text());
        appendField(bytes, cell.value);
        appendField(bytes, cell.change.text());
        appendField(bytes, std::to_string(cell.changedAt.value));
    }
}

} // namespace

Sheet::Sheet(std::map<CellPath, Cell> cells, std::map<CellPath, Cell> tombstones)
    : m_cells(std::move(cells)), m_tombstones(std::move(tombstones))
{ }

std::optional<std::string> Sheet::value(const CellPath &path) const
{
    const auto it = m_cells.find(path);
    if (it == m_cells.end()) {
        return std::nullopt;
    }
    return it->second.value;
}

const Cell *Sheet::changedAfter(const CellPath &path, Offset base) const
{
    for (const auto *cells : {&m_cells, &m_tombstones}) {
        const auto it = cells->find(path);
        if (it != cells->end() && it->second.changedAt > base) {
            return &it->second;
        }
    }
    return nullptr;
}

Sheet Sheet::with(const Change &change, Offset offset) const
{
    Sheet next = *this;
    for (const CellEdit &edit : change.edits) {
        Cell cell {edit.value.value_or(std::string()), change.id, change.author, offset};
        next.m_cells.erase(edit.path);
        next.m_tombstones.erase(edit.path);
        auto &target = edit.value ? next.m_cells : next.m_tombstones;
        target.emplace(edit.path, std::move(cell));
    }
    return next;
}

Digest Sheet::digest() const
{
    std::string bytes;
    appendCells(bytes, m_cells);
    appendCells(bytes, m_tombstones);
    return digestOf(bytes);
}

} // namespace greengageseam
