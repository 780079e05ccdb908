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
    static Table randomTable()
    {
        Table table;
        const int rows = *rc::gen::inRange(1, 5);
        for (int i = 0; i < rows; ++i) {
            Row row;
            row.manifest = digestOf(std::to_string(i));
            row.replicas[ZoneName("z")] = *rc::gen::inRange<std::uint32_t>(1, 8);
            table.rows.emplace(RowKey {ModelName("m"), VersionName(std::to_string(i))}, row);
        }
        return table;
    }

    static std::vector<PlacementSite> sites(int n)
    {
        std::vector<PlacementSite> sites;
        for (int i = 0; i < n; ++i) {
            sites.push_back({InstanceId("i" + std::to_string(i)), 2});
        }
        return sites;
    }

    static std::size_t moved(const Placement &before, const Placement &after)
    {
        std::size_t n = 0;
        for (const auto &[instance, manifests] : after.assigned) {
            for (const Digest &manifest : manifests) {
                n += before.at(instance).contains(manifest) ? 0 : 1;
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
                const Table table = randomTable();
                std::vector<PlacementSite> some = sites(*rc::gen::inRange(0, 12));
                const Placement placed = placeReplicas(table, ZoneName("z"), some);
                std::reverse(some.begin(), some.end());
                RC_ASSERT(placeReplicas(table, ZoneName("z"), some) == placed);
                std::map<Digest, std::size_t> counts;
                for (const auto &[instance, manifests] : placed.assigned) {
                    RC_ASSERT(manifests.size() <= 2U);
                    for (const Digest &manifest : manifests) {
                        ++counts[manifest];
                    }
                }
                for (const auto &[key, row] : table.rows) {
                    RC_ASSERT(counts[row.manifest] <= row.replicas.at(ZoneName("z")));
                }
            });
}

TEST_CASE_METHOD(PlacementFixture, "placement_engineLeaves_movesAtMostOneReplicaPerRow")
{
    rc::prop("at most one replica of each row moves, including those that are displaced", [] {
        const Table table = randomTable();
        std::vector<PlacementSite> some = sites(*rc::gen::inRange(2, 12));
        const Placement before = placeReplicas(table, ZoneName("z"), some);
        const auto gone =
                static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(some.size())));
        some.erase(some.begin() + static_cast<std::ptrdiff_t>(gone));
        const Placement after = placeReplicas(table, ZoneName("z"), some);
        RC_ASSERT(moved(before, after) <= table.rows.size());
        RC_ASSERT(moved(after, before) <= table.rows.size() + 2U);
    });
}

} // namespace
} // namespace greengageseam
