/**
 * Encoding of claims as JSON records of the platform's log.
 */
#pragma once

#include "core/once/once.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace greengageseam {

/** One item of a record: a step in the life of a claim. */
using ClaimItem = std::variant<ClaimCreated, ClaimFinished, ClaimReleased>;

/** Encodes items as the text of one log record. */
std::string encodeClaims(const std::vector<ClaimItem> &items);

/**
 * Decodes the text of a log record.
 * @returns the items; CorruptData or InvalidRequest if the text is malformed
 */
Result<std::vector<ClaimItem>> decodeClaims(std::string_view text);

/**
 * Checks whether bytes can be stored as a JSON string in a record.
 * @returns false for bytes that are not valid UTF-8
 */
bool isRecordText(std::string_view bytes);

} // namespace greengageseam
