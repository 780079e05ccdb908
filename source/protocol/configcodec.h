/**
 * Encoding of configuration records in the platform's log. Each record is a JSON object.
 */
#pragma once

#include "core/config/config.h"
#include "protocol/jsontext.h"

#include <string>
#include <string_view>

namespace greengageseam {

/** Encodes a change as the text of a log record. */
std::string encodeChange(const ConfigChange &change);

/** Encodes a snapshot as the text of a log record. */
std::string encodeSnapshot(const SnapshotRecord &snapshot);

/**
 * Decodes the text of a log record.
 * @returns the change or snapshot, or a record that carries the reason if the text is malformed
 */
ConfigEvent decodeConfigEvent(std::string_view text);

/** Encodes a verdict for snapshots and for the administration API. */
boost::json::object verdictToJson(const Verdict &verdict);

/**
 * Decodes the edits of a change, for example `[{"path":"limit/origin-copies","value":"1"}]`. A null
 * value clears the cell.
 * @returns the edits; InvalidRequest if they are malformed, missing or too many
 */
Result<std::vector<CellEdit>> editsFromJson(const boost::json::array &array);

/** @returns the name of the kind: `accepted`, `conflict` or `invalid` */
std::string_view textOf(VerdictKind kind);

} // namespace greengageseam
