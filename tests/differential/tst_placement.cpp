/**
 * Property tests of placeReplicas() with random tables and zones.
 */
#include "core/placement/placement.h"

#include "core/common/hashing.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace greengageseam {
namespace {

/** Creates a random table for one zone, and engines in that zone. */
class PlacementFixture
{
protected:
    static ConfigTable randomTable()
    {
        ConfigTable table;
        const int rows = *rc::gen::inRange(1, 5);
        for (int i = 0; i < rows; ++i) {
            ModelVersion row;
            row.manifest = digestOf(std::to_string(i));
            row.replicas[ZoneName("z")] = *rc::gen::inRange<std::uint32_t>(1, 8);
            table.modelVersions.emplace(
                    ModelVersionKey {ModelName("m"), VersionName(std::to_string(i))}, row);
        }
        return table;
    }

    static std::vector<PlacementTarget> targets(int n)
    {
        std::vector<PlacementTarget> targets;
        for (int i = 0; i < n; ++i) {
            targets.push_back({InstanceId("i" + std::to_string(i)), 2});
        }
        return targets;
    }

    static std::size_t moved(const Placement &before, const Placement &after)
    {
        std::size_t n = 0;
        for (const auto &[instance, manifests] : after.assigned) {
            for (const Digest &manifest : manifests) {
                n += before.versionsFor(instance).contains(manifest) ? 0 : 1;
            }
        }
        return n;
    }
};

TEST_CASE_METHOD(PlacementFixture, "placement_enginesInAnyOrder_isTheSameAndWithinSlots")
{
    rc::prop(
            "the placement is deterministic, and exceeds neither the slots nor the wanted replicas",
            [] {
                const ConfigTable table = randomTable();
                std::vector<PlacementTarget> engines = targets(*rc::gen::inRange(0, 12));
                const Placement placed = placeReplicas(table, ZoneName("z"), engines);
                std::reverse(engines.begin(), engines.end());
                RC_ASSERT(placeReplicas(table, ZoneName("z"), engines) == placed);
                std::map<Digest, std::size_t> counts;
                for (const auto &[instance, manifests] : placed.assigned) {
                    RC_ASSERT(manifests.size() <= 2U);
                    for (const Digest &manifest : manifests) {
                        ++counts[manifest];
                    }
                }
                for (const auto &[key, row] : table.modelVersions) {
                    RC_ASSERT(counts[row.manifest] <= row.replicas.at(ZoneName("z")));
                }
            });
}

TEST_CASE_METHOD(PlacementFixture, "placement_engineLeaves_movesAtMostOneReplicaPerRow")
{
    rc::prop("at most one replica of each row moves, including those that are displaced", [] {
        const ConfigTable table = randomTable();
        std::vector<PlacementTarget> engines = targets(*rc::gen::inRange(2, 12));
        const Placement before = placeReplicas(table, ZoneName("z"), engines);
        const auto gone =
                static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(engines.size())));
        engines.erase(engines.begin() + static_cast<std::ptrdiff_t>(gone));
        const Placement after = placeReplicas(table, ZoneName("z"), engines);
        RC_ASSERT(moved(before, after) <= table.modelVersions.size());
        RC_ASSERT(moved(after, before) <= table.modelVersions.size() + 2U);
    });
}

} // namespace
} // namespace greengageseam
