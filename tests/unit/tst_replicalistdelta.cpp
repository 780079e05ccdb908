/**
 * Tests of what entries of a zone pass on of the list of backend servers.
 */
#include "core/fleet/fleet.h"
#include "protocol/datagramcodec.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

class ReplicaListDeltaFixture
{
protected:
    static ReplicaEntry replica(const std::string &id)
    {
        ReplicaEntry entry;
        entry.id = ReplicaId(id);
        entry.service = ServiceName("pool");
        entry.address = Address("10.1.0.9:8000");
        entry.zone = ZoneName("a");
        entry.slots = 16;
        entry.startedAtMs = 1'700'000'000'000;
        entry.loaded = {ModelName("m"), 2, LayerRange {0, 16, 2}};
        return entry;
    }

    static EntryLocation location(const std::string &zone, const std::string &ip)
    {
        return {InstanceId("entry-" + ip), ZoneName(zone), ip};
    }
};

TEST_CASE_METHOD(ReplicaListDeltaFixture, "news_changedThenRemoved_holdTheRemovalOnly")
{
    const ReplicaListDelta delta = ReplicaListDelta {1, 3, {}, {}}
                                           .withChanged(replica("i-1"))
                                           .withRemoved(ReplicaId("i-1"));
    REQUIRE(delta.changed.empty());
    REQUIRE(delta.removed == std::vector<ReplicaId> {ReplicaId("i-1")});
}

TEST_CASE_METHOD(ReplicaListDeltaFixture, "news_removedThenChanged_holdTheEntryOnly")
{
    const ReplicaListDelta delta = ReplicaListDelta {1, 3, {}, {}}
                                           .withRemoved(ReplicaId("i-1"))
                                           .withChanged(replica("i-1"));
    REQUIRE(delta.removed.empty());
    REQUIRE(delta.changed == std::vector<ReplicaEntry> {replica("i-1")});
}

TEST_CASE_METHOD(ReplicaListDeltaFixture, "news_asDatagram_comeBackEqual")
{
    ReplicaEntry plain = replica("i-2");
    plain.loaded = {};
    plain.isDraining = true;
    const Datagram delta = ReplicaListDelta {7, 9, {replica("i-1"), plain}, {ReplicaId("i-3")}};
    const auto decoded = toOutcome([&] { return decodeDatagram(encodeDatagram(delta)); });
    REQUIRE(std::get<Datagram>(decoded) == delta);
}

TEST_CASE_METHOD(ReplicaListDeltaFixture, "news_askWithNamedWeights_comesBackEqual")
{
    const Datagram request =
            LoadSubscription {InstanceId("e"), ZoneName("a"), 3, 4, {{ModelName("m"), 5}}};
    const auto decoded = toOutcome([&] { return decodeDatagram(encodeDatagram(request)); });
    REQUIRE(std::get<Datagram>(decoded) == request);
}

TEST_CASE_METHOD(ReplicaListDeltaFixture, "readsList_entriesOfTwoZones_oneInEachDoes")
{
    const std::vector<EntryLocation> entries {location("a", "10.1.0.1"), location("a", "10.1.0.2"),
                                              location("a", "10.1.0.3"), location("b", "10.2.0.1"),
                                              location("b", "10.2.0.2")};
    std::map<ZoneName, int> readers;
    for (const EntryLocation &entry : entries) {
        readers[entry.zone] += isListReader(entries, entry) ? 1 : 0;
    }
    REQUIRE(readers == std::map<ZoneName, int> {{ZoneName("a"), 1}, {ZoneName("b"), 1}});
}

TEST_CASE_METHOD(ReplicaListDeltaFixture, "readsList_entryKnowsNobody_does")
{
    REQUIRE(isListReader({}, location("a", "10.1.0.1")));
}

} // namespace
} // namespace greengageseam
