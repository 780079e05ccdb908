/**
 * The text of configuration records, as it stands in the platform's log: JSON, one object each.
 */
#pragma once

#include "core/config/config.h"
#include "protocol/jsontext.h"

#include <string>
#include <string_view>

namespace greengageseam {

/** @returns the record's text for a change */
std::string encodeChange(const ConfigChange &change);

/** @returns the record's text for a snapshot */
std::string encodeSnapshot(const SnapshotRecord &snapshot);

/** @returns what a record's text holds; RubbishRecord if it cannot be read */
ConfigEvent decodeConfigEvent(std::string_view text);

/** @returns the JSON object of a verdict, for the administration API */
boost::json::object verdictToJson(const Verdict &verdict);

/** @returns the edits of an array such as `[{"path":"limit/origin-copies","value":"1"}]` */
Result<std::vector<CellEdit>> editsFromJson(const boost::json::array &array);

/** @returns `accepted`, `conflict` or `invalid` */
std::string_view textOf(VerdictKind kind);

} // namespace greengageseam
