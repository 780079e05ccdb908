#include "core/placement/placement.h"

#include <algorithm>

namespace greengageseam {

std::set<Digest> Placement::versionsFor(const InstanceId &instance) const
{
    const auto it = assigned.find(instance);
    return it == assigned.end() ? std::set<Digest>() : it->second;
}

namespace {

std::vector<PlacementTarget> byScore(const Digest &manifest,
                                     const std::vector<PlacementTarget> &targets)
{
    std::vector<std::pair<std::uint64_t, const PlacementTarget *>> scored;
    scored.reserve(targets.size());
    for (const PlacementTarget &target : targets) {
        scored.emplace_back(rendezvousScore(manifest.text(), target.instance.text()), &target);
    }
    std::sort(scored.begin(), scored.end(),
              [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<PlacementTarget> order;
    order.reserve(scored.size());
    for (const auto &[score, target] : scored) {
        order.push_back(*target);
    }
    return order;
}

} // namespace

Placement placeReplicas(const ConfigTable &table, const ZoneName &zone,
                        const std::vector<PlacementTarget> &targets)
{
    Placement placement;
    for (const auto &[key, row] : table.modelVersions) {
        const auto wanted = row.replicas.find(zone);
        if (wanted == row.replicas.end()) {
            continue;
        }
        const std::vector<PlacementTarget> order = byScore(row.manifest, targets);
        std::uint32_t placed = 0;
        for (const PlacementTarget &target : order) {
            if (placed == wanted->second) {
                break;
            }
            std::set<Digest> &placedHere = placement.assigned[target.instance];
            if (placedHere.size() < target.slots) {
                placedHere.insert(row.manifest);
                ++placed;
            }
        }
    }
    return placement;
}

} // namespace greengageseam
