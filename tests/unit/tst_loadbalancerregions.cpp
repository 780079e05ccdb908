/**
 * Tests of the load balancer with restricted regions and evacuated zones.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

/** Zones a and b are in the region north, c in south; the region of d is unknown. */
class RegionsFixture
{
protected:
    RegionsFixture() : m_balancer(options())
    {
        m_requirements.service = ServiceName("plain");
        m_balancer.setReplicas({replica("a"), replica("b"), replica("c"), replica("d")});
    }

    static LoadBalancerOptions options()
    {
        LoadBalancerOptions options;
        options.zone = ZoneName("a");
        options.zoneRegions = {{ZoneName("a"), RegionName("north")},
                               {ZoneName("b"), RegionName("north")},
                               {ZoneName("c"), RegionName("south")}};
        return options;
    }

    /** @returns the server of a zone, which has the zone's name */
    static ReplicaEntry replica(const std::string &zone)
    {
        ReplicaEntry entry;
        entry.id = ReplicaId(zone);
        entry.service = ServiceName("plain");
        entry.address = Address("127.0.0.1:" + std::to_string(zone.front()));
        entry.zone = ZoneName(zone);
        entry.slots = 2;
        entry.startedAtMs = 10;
        return entry;
    }

    /** @returns the servers that requests get until all are full */
    std::set<std::string> acquireAll()
    {
        std::set<std::string> chosen;
        for (std::uint64_t random = 0;; ++random) {
            const auto acquired = m_balancer.acquire(m_requirements, m_now, random);
            if (!acquired) {
                return chosen;
            }
            chosen.insert(acquired->id.text());
        }
    }

    Occupancy occupancy() const
    {
        return m_balancer.occupancy(m_requirements.service, {}, m_now, m_requirements.regions);
    }

    LoadBalancer m_balancer;
    ReplicaRequirements m_requirements;
    RegionRule m_north = RegionRule().restrictedTo({RegionName("north")});
    RegionRule m_south = RegionRule().restrictedTo({RegionName("south")});
    Instant m_now {std::chrono::milliseconds(1000)};
};

TEST_CASE_METHOD(RegionsFixture, "acquire_noRestriction_usesServersOfUnknownRegionsToo")
{
    REQUIRE(acquireAll() == std::set<std::string> {"a", "b", "c", "d"});
}

TEST_CASE_METHOD(RegionsFixture, "acquire_restrictedToARegion_usesNoServerElsewhere")
{
    m_requirements.regions = m_north;
    REQUIRE(acquireAll() == std::set<std::string> {"a", "b"});
    m_requirements.regions = m_south;
    REQUIRE(acquireAll() == std::set<std::string> {"c"});
}

TEST_CASE_METHOD(RegionsFixture, "acquire_serversOfTheRegionWereTried_findsNone")
{
    m_requirements.regions = m_south;
    m_requirements.tried = {ReplicaId("c")};
    REQUIRE(acquireAll().empty());
}

TEST_CASE_METHOD(RegionsFixture, "acquire_zoneIsEvacuated_getsNothingUntilItReturns")
{
    m_balancer.setEvacuatedZones({ZoneName("a"), ZoneName("c")});
    REQUIRE(acquireAll() == std::set<std::string> {"b", "d"});
    m_balancer.setEvacuatedZones({});
    REQUIRE(acquireAll() == std::set<std::string> {"a", "c"});
}

TEST_CASE_METHOD(RegionsFixture, "hasUsable_everyZoneOfTheRegionIsEvacuated_isFalse")
{
    m_balancer.setEvacuatedZones({ZoneName("c")});
    REQUIRE_FALSE(m_balancer.hasUsable(m_requirements.service, {}, m_now, m_south));
    REQUIRE(m_balancer.hasUsable(m_requirements.service, {}, m_now, m_north));
}

// A server that is only ejected comes back soon, so that requests may wait for it.
TEST_CASE_METHOD(RegionsFixture, "hasListed_onlyServerIsEjected_isTrue")
{
    for (int i = 0; i < 100; ++i) {
        m_balancer.recordSilence(ReplicaId("c"), m_now);
    }
    REQUIRE_FALSE(m_balancer.hasUsable(m_requirements.service, {}, m_now, m_south));
    REQUIRE(m_balancer.hasListed(m_requirements.service, m_south));
}

TEST_CASE_METHOD(RegionsFixture, "hasListed_onlyServerGoesOrIsEvacuated_isFalse")
{
    m_balancer.setEvacuatedZones({ZoneName("c")});
    REQUIRE_FALSE(m_balancer.hasListed(m_requirements.service, m_south));
    m_balancer.setEvacuatedZones({});
    REQUIRE(m_balancer.hasListed(m_requirements.service, m_south));
    ReplicaEntry draining = replica("c");
    draining.isDraining = true;
    m_balancer.setReplicas({replica("a"), draining});
    REQUIRE_FALSE(m_balancer.hasListed(m_requirements.service, m_south));
    m_balancer.setReplicas({replica("a"), replica("c")});
    m_balancer.applyStatement(processOf(replica("c")), {true, {}}, m_now);
    REQUIRE_FALSE(m_balancer.hasListed(m_requirements.service, m_south));
    m_balancer.setReplicas({replica("a")});
    REQUIRE_FALSE(m_balancer.hasListed(m_requirements.service, m_south));
}

// A request that only another region could serve must not wait as if that region were merely full.
TEST_CASE_METHOD(RegionsFixture, "occupancy_restrictedToARegion_countsItsServersOnly")
{
    m_requirements.regions = m_south;
    REQUIRE(occupancy().usableReplicas == 1);
    REQUIRE(occupancy().slots == 2);
    m_balancer.acquire(m_requirements, m_now, 0);
    REQUIRE(occupancy().inUse == 1);
    m_requirements.regions = m_north;
    REQUIRE(occupancy().inUse == 0);
    REQUIRE(occupancy().usableReplicas == 2);
}

TEST_CASE_METHOD(RegionsFixture, "meanSlotReleaseTime_restrictedToARegion_isThatOfItsServers")
{
    const Duration all = m_balancer.meanSlotReleaseTime(m_requirements.service);
    REQUIRE(m_balancer.meanSlotReleaseTime(m_requirements.service, m_south) == all * 4);
}

TEST_CASE_METHOD(RegionsFixture, "acquire_ownRegionIsPreferred_otherRegionIsUsedLast")
{
    m_balancer.setReplicas({replica("b"), replica("c")});
    m_balancer.preferOwnRegion(true);
    for (std::uint64_t random = 0; random < 4; ++random) {
        REQUIRE(m_balancer.acquire(m_requirements, m_now, random)->id == ReplicaId("b"));
    }
    REQUIRE(acquireAll().contains("c"));
}

} // namespace
} // namespace greengageseam
