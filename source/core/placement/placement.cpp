#include "core/placement/placement.h"

#include <algorithm>

namespace greengageseam {

std::set<Digest> Placement::at(const InstanceId &instance) const
{
    const auto it = assigned.find(instance);
    return it == assigned.end() ? std::set<Digest>() : it->second;
}

namespace {

std::vector<PlacementSite> byScore(const Digest &manifest, const std::vector<PlacementSite> &sites)
{
    std::vector<std::pair<std::uint64_t, const PlacementSite *>> scored;
    scored.reserve(sites.size());
    for (const PlacementSite &site : sites) {
        scored.emplace_back(rendezvousScore(manifest.text(), site.instance.text()), &site);
    }
    std::sort(scored.begin(), scored.end(),
              [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<PlacementSite> order;
    order.reserve(scored.size());
    for (const auto &[score, site] : scored) {
        order.push_back(*site);
    }
    return order;
}

} // namespace

Placement placeReplicas(const Table &table, const ZoneName &zone,
                        const std::vector<PlacementSite> &sites)
{
    Placement placement;
    for (const auto &[key, row] : table.rows) {
        const auto wanted = row.replicas.find(zone);
        if (wanted == row.replicas.end()) {
            continue;
        }
        const std::vector<PlacementSite> order = byScore(row.manifest, sites);
        std::uint32_t placed = 0;
        for (const PlacementSite &site : order) {
            if (placed == wanted->second) {
                break;
            }
            std::set<Digest> &held = placement.assigned[site.instance];
            if (held.size() < site.slots) {
                held.insert(row.manifest);
                ++placed;
            }
        }
    }
    return placement;
}

} // namespace greengageseam
