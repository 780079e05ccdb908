#include "core/placement/placement.h"

#include <algorithm>

namespace greengageseam {

std::set<Digest> Placement::at(const InstanceId &instance) const
{
    const auto it = assigned.find(instance);
    return it == assigned.end() ? std::set<Digest>() : it->second;
}

Placement placeReplicas(const Table &table, const ZoneName &zone,
                        const std::vector<PlacementSite> &sites)
{
    Placement placement;
    for (const auto &[key, row] : table.rows) {
        const auto wanted = row.replicas.find(zone);
        if (wanted == row.replicas.end()) {
            continue;
        }
        std::vector<PlacementSite> order = sites;
        const auto score = [&](const PlacementSite &site) {
            return rendezvousScore(row.manifest.text(), site.instance.text());
        };
        std::sort(order.begin(), order.end(),
                  [&](const PlacementSite &left, const PlacementSite &right) {
                      return score(left) > score(right);
                  });
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
