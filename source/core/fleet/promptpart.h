/**
 * Parts of a request's prompt, as the request itself lists them.
 */
#pragma once

#include "core/common/ids.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace greengageseam {

/** Id of a part of a prompt; requests that share the part name the same id. */
using PromptPartId = Name<struct PromptPartTag>;

/** One part of a prompt. */
struct PromptPart
{
    PromptPartId id;
    /** Length of the part in tokens. */
    std::uint64_t tokens = 0;

    auto operator<=>(const PromptPart &) const = default;
};

/** @returns the ids of all parts but the last, which belongs to the request or its session alone */
std::vector<PromptPartId> sharedParts(const std::vector<PromptPart> &parts);

} // namespace greengageseam
