/**
 * Assigns versions to the engines of a zone, as a pure function of the configuration table and the
 * zone's engines. Also the umbrella header of core/placement.
 */
#pragma once

#include "core/common/common.h"
#include "core/config/table.h"
#include "core/placement/orderlease.h"
#include "core/placement/orders.h"

#include <map>
#include <set>
#include <vector>

namespace greengageseam {

/** An engine on which replicas of versions can be placed. */
struct PlacementTarget
{
    InstanceId instance;
    /** The number of versions that the engine can serve at the same time. */
    std::uint32_t slots = 1;

    auto operator<=>(const PlacementTarget &) const = default;
};

/** The manifests that each engine should serve. */
struct Placement
{
    std::map<InstanceId, std::set<Digest>> assigned;

    auto operator<=>(const Placement &) const = default;

    /** @returns the manifests that @p instance should serve */
    std::set<Digest> versionsFor(const InstanceId &instance) const;
};

/**
 * Places the replicas that the table requires in a zone by rendezvous hashing, so that an engine
 * that joins or leaves moves only the replicas that it gains or had. If there are too few slots,
 * the first rows of the table take precedence.
 *
 * @param table the configuration table
 * @param zone the zone to place replicas in
 * @param targets the engines of the zone; their order does not affect the result
 */
Placement placeReplicas(const ConfigTable &table, const ZoneName &zone,
                        const std::vector<PlacementTarget> &targets);

} // namespace greengageseam
