#include "protocol/configcodec.h"

#include <algorithm>
#include <array>

namespace greengageseam {

namespace json = boost::json;

namespace {

constexpr std::size_t maxEdits = 1000;
constexpr std::array verdictKinds {VerdictKind::Accepted, VerdictKind::Conflict,
                                   VerdictKind::Invalid};

json::array editsToJson(const std::vector<CellEdit> &edits)
{
    json::array array;
    for (const CellEdit &edit : edits) {
        json::object object {{"path", edit.path.text()}};
        object["value"] = edit.value ? json::value(*edit.value) : json::value(nullptr);
        array.push_back(std::move(object));
    }
    return array;
}

json::array cellsToJson(const std::map<CellPath, Cell> &cells)
{
    json::array array;
    for (const auto &[path, cell] : cells) {
        array.push_back(json::object {{"path", path.text()},
                                      {"value", cell.value},
                                      {"change", cell.change.text()},
                                      {"author", cell.author.text()},
                                      {"at", cell.changedAt.value}});
    }
    return array;
}

Result<std::map<CellPath, Cell>> cellsFromJson(const json::array &array)
{
    std::map<CellPath, Cell> cells;
    for (const json::value &value : array) {
        if (!value.is_object()) {
            return fail(ErrorKind::InvalidRequest, "a cell is not an object");
        }
        const json::object &object = value.get_object();
        BOOST_LEAF_AUTO(path, stringMember(object, "path"));
        BOOST_LEAF_AUTO(text, stringMember(object, "value"));
        BOOST_LEAF_AUTO(change, stringMember(object, "change"));
        BOOST_LEAF_AUTO(author, stringMember(object, "author"));
        BOOST_LEAF_AUTO(at, numberMember(object, "at"));
        cells.emplace(CellPath(path),
                      Cell {text, ChangeId(change), OperatorName(author), Offset {at}});
    }
    return cells;
}

Result<VerdictKind> parseVerdictKind(const std::string &name)
{
    for (const VerdictKind kind : verdictKinds) {
        if (textOf(kind) == name) {
            return kind;
        }
    }
    return fail(ErrorKind::InvalidRequest, "unknown verdict '" + name + "'");
}

Result<Verdict> verdictFromJson(const json::value &value)
{
    if (!value.is_object()) {
        return fail(ErrorKind::InvalidRequest, "a verdict is not an object");
    }
    const json::object &object = value.get_object();
    BOOST_LEAF_AUTO(change, stringMember(object, "change"));
    BOOST_LEAF_AUTO(author, stringMember(object, "author"));
    BOOST_LEAF_AUTO(offset, numberMember(object, "offset"));
    BOOST_LEAF_AUTO(at, numberMember(object, "proposedAt"));
    BOOST_LEAF_AUTO(kindName, stringMember(object, "verdict"));
    BOOST_LEAF_AUTO(kind, parseVerdictKind(kindName));
    BOOST_LEAF_AUTO(reason, stringMember(object, "reason"));
    BOOST_LEAF_AUTO(array, arrayMember(object, "edits"));
    BOOST_LEAF_AUTO(edits, editsFromJson(array));
    BOOST_LEAF_AUTO(note, stringMember(object, "note"));
    return Verdict {ChangeId(change),
                    OperatorName(author),
                    Offset {offset},
                    WallTime(Duration(static_cast<Duration::rep>(at))),
                    kind,
                    reason,
                    edits,
                    note};
}

Result<ConfigEvent> readChange(const json::object &object)
{
    ConfigChange change;
    BOOST_LEAF_AUTO(id, stringMember(object, "id"));
    BOOST_LEAF_AUTO(author, stringMember(object, "author"));
    BOOST_LEAF_AUTO(base, numberMember(object, "base"));
    BOOST_LEAF_AUTO(at, numberMember(object, "proposedAt"));
    BOOST_LEAF_AUTO(note, stringMember(object, "note"));
    BOOST_LEAF_AUTO(array, arrayMember(object, "edits"));
    BOOST_LEAF_AUTO(edits, editsFromJson(array));
    return ConfigChange {ChangeId(id),  OperatorName(author),
                         Offset {base}, WallTime(Duration(static_cast<Duration::rep>(at))),
                         note,          edits};
}

Result<ConfigEvent> readSnapshot(const json::object &object)
{
    BOOST_LEAF_AUTO(logId, stringMember(object, "log"));
    BOOST_LEAF_AUTO(covers, numberMember(object, "covers"));
    BOOST_LEAF_AUTO(cellArray, arrayMember(object, "cells"));
    BOOST_LEAF_AUTO(cells, cellsFromJson(cellArray));
    BOOST_LEAF_AUTO(tombstoneArray, arrayMember(object, "tombstones"));
    BOOST_LEAF_AUTO(tombstones, cellsFromJson(tombstoneArray));
    BOOST_LEAF_AUTO(verdictArray, arrayMember(object, "verdicts"));
    BOOST_LEAF_AUTO(digest, stringMember(object, "digest"));
    SnapshotRecord snapshot {
            logId, Offset {covers}, RawTable(cells, tombstones), {}, Digest(digest)};
    for (const json::value &value : verdictArray) {
        BOOST_LEAF_AUTO(verdict, verdictFromJson(value));
        snapshot.verdicts.push_back(verdict);
    }
    return snapshot;
}

Result<ConfigEvent> readEvent(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseObject(text));
    BOOST_LEAF_AUTO(type, stringMember(object, "type"));
    if (type == "change") {
        return readChange(object);
    }
    if (type == "snapshot") {
        return readSnapshot(object);
    }
    return fail(ErrorKind::InvalidRequest, "unknown record type '" + type + "'");
}

} // namespace

std::string_view textOf(VerdictKind kind)
{
    switch (kind) {
    case VerdictKind::Accepted:
        return "accepted";
    case VerdictKind::Conflict:
        return "conflict";
    case VerdictKind::Invalid:
        break;
    }
    return "invalid";
}

std::string encodeChange(const ConfigChange &change)
{
    return json::serialize(
            json::object {{"type", "change"},
                          {"id", change.id.text()},
                          {"author", change.author.text()},
                          {"base", change.base.value},
                          {"proposedAt", change.proposedAt.time_since_epoch().count()},
                          {"note", change.note},
                          {"edits", editsToJson(change.edits)}});
}

std::string encodeSnapshot(const SnapshotRecord &snapshot)
{
    json::array verdicts;
    for (const Verdict &verdict : snapshot.verdicts) {
        verdicts.push_back(verdictToJson(verdict));
    }
    return json::serialize(
            json::object {{"type", "snapshot"},
                          {"log", snapshot.logId},
                          {"covers", snapshot.lastIncluded.value},
                          {"cells", cellsToJson(snapshot.rawTable.cells())},
                          {"tombstones", cellsToJson(snapshot.rawTable.tombstones())},
                          {"verdicts", std::move(verdicts)},
                          {"digest", snapshot.digest.text()}});
}

ConfigEvent decodeConfigEvent(std::string_view text)
{
    Outcome<ConfigEvent> outcome = toOutcome([&] { return readEvent(text); });
    if (const Failure *failure = failureOf(outcome)) {
        return UnreadableRecord {failure->detail};
    }
    return std::get<ConfigEvent>(std::move(outcome));
}

json::object verdictToJson(const Verdict &verdict)
{
    return {{"change", verdict.change.text()},
            {"author", verdict.author.text()},
            {"offset", verdict.offset.value},
            {"proposedAt", verdict.proposedAt.time_since_epoch().count()},
            {"verdict", std::string(textOf(verdict.kind))},
            {"reason", verdict.reason},
            {"note", verdict.note},
            {"edits", editsToJson(verdict.edits)}};
}

Result<std::vector<CellEdit>> editsFromJson(const json::array &array)
{
    if (array.empty() || array.size() > maxEdits) {
        return fail(ErrorKind::InvalidRequest,
                    "a change has " + std::to_string(array.size())
                            + " edits; the allowed range is 1 to " + std::to_string(maxEdits));
    }
    std::vector<CellEdit> edits;
    for (const json::value &value : array) {
        if (!value.is_object()) {
            return fail(ErrorKind::InvalidRequest, "an edit is not an object");
        }
        const json::object &object = value.get_object();
        BOOST_LEAF_AUTO(path, stringMember(object, "path"));
        const json::value *content = object.if_contains("value");
        if (content == nullptr || !(content->is_string() || content->is_null())) {
            return fail(ErrorKind::InvalidRequest,
                        path + ": the value is neither a string nor null");
        }
        CellEdit edit {CellPath(path), std::nullopt};
        if (content->is_string()) {
            edit.value = std::string(content->get_string());
        }
        edits.push_back(std::move(edit));
    }
    return edits;
}

} // namespace greengageseam
