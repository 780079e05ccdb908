/**
 * The texts of the records that carry claims in the platform's log.
 */
#pragma once

#include "core/once/once.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace greengageseam {

/** One item of a record. */
using ClaimItem = std::variant<ClaimCreated, ClaimFinished, ClaimReleased>;

/** @returns the text of a record that carries these items */
std::string encodeClaims(const std::vector<ClaimItem> &items);

/** @returns the items of a record, or CorruptData */
Result<std::vector<ClaimItem>> decodeClaims(std::string_view text);

/** @returns whether the bytes are text that a record can carry */
bool isRecordText(std::string_view bytes);

} // namespace greengageseam
