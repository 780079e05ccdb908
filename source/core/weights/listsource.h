/**
 * Whom a process asks for the list of a version's pieces, so that the origin is asked by few.
 */
#pragma once

#include "core/common/time.h"
#include "core/weights/sources.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace greengageseam {

/** What there is to decide with. */
struct ListSourceQuery
{
    InstanceId self;
    /** The entries of the own zone that are known to run. */
    std::vector<InstanceId> entries;
    std::uint64_t version = 0;
    /** Time for which the list has been missing. */
    Duration missingFor {};
    /** How often it was asked for before. */
    std::uint32_t attempts = 0;

    auto operator<=>(const ListSourceQuery &) const = default;
};

/**
 * One entry of each zone asks the origin at once, the next one a little later, and the others ask
 * the entries before them. Whoever is no entry asks the origin last.
 *
 * @returns whom to ask, or nothing while it is too early to ask anybody
 */
std::optional<ChunkSource> chooseListSource(const ListSourceQuery &query);

} // namespace greengageseam
