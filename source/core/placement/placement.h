/**
 * core/placement: which engines of a zone hold which versions, as a pure function of the table and
 * the zone's roster.
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

/** An engine that versions can be placed on. */
struct PlacementTarget
{
    InstanceId instance;
    /** How many versions the engine has room for. */
    std::uint32_t slots = 1;

    auto operator<=>(const PlacementTarget &) const = default;
};

/** The manifests that each engine is to serve. */
struct Placement
{
    std::map<InstanceId, std::set<Digest>> assigned;

    auto operator<=>(const Placement &) const = default;

    /** @returns the manifests for one engine */
    std::set<Digest> versionsFor(const InstanceId &instance) const;
};

/**
 * Places the replicas that the table wants in a zone by rendezvous hashing: an engine that joins or
 * leaves moves only what it takes or held. Where there are too few slots, the first rows win.
 */
Placement placeReplicas(const ConfigTable &table, const ZoneName &zone,
                        const std::vector<PlacementTarget> &targets);

} // namespace greengageseam
