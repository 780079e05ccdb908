/**
 * Tests of the deltas of the list of backend servers that entries of a zone forward to each other.
 */
#include "core/fleet/fleet.h"
#include "protocol/datagramcodec.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

class ListNewsFixture
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
        entry.bornMs = 1'700'000'000'000;
        entry.loaded = {ModelName("m"), 2, LayerSpan {0, 16, 2}};
        return entry;
    }

    static EntrySite site(const std::string &zone, const std::string &ip)
    {
        return {InstanceId("entry-" + ip), ZoneName(zone), ip};
    }
};

TEST_CASE_METHOD(ListNewsFixture, "delta_changedThenRemoved_containsOnlyTheRemoval")
{
    const ListNews news =
            ListNews {1, 3, {}, {}}.withChanged(replica("i-1")).withRemoved(ReplicaId("i-1"));
    REQUIRE(news.changed.empty());
    REQUIRE(news.removed == std::vector<ReplicaId> {ReplicaId("i-1")});
}

TEST_CASE_METHOD(ListNewsFixture, "delta_removedThenChanged_containsOnlyTheEntry")
{
    const ListNews news =
            ListNews {1, 3, {}, {}}.withRemoved(ReplicaId("i-1")).withChanged(replica("i-1"));
    REQUIRE(news.removed.empty());
    REQUIRE(news.changed == std::vector<ReplicaEntry> {replica("i-1")});
}

TEST_CASE_METHOD(ListNewsFixture, "delta_encodedAndDecoded_isEqual")
{
    ReplicaEntry plain = replica("i-2");
    plain.loaded = {};
    plain.isDraining = true;
    const Datagram news = ListNews {7, 9, {replica("i-1"), plain}, {ReplicaId("i-3")}};
    const auto read = settle([&] { return decodeDatagram(encodeDatagram(news)); });
    REQUIRE(std::get<Datagram>(read) == news);
}

TEST_CASE_METHOD(ListNewsFixture, "loadWanted_withTargetVersionsEncodedAndDecoded_isEqual")
{
    const Datagram ask = LoadWanted {InstanceId("e"), ZoneName("a"), 3, 4, {{ModelName("m"), 5}}};
    const auto read = settle([&] { return decodeDatagram(encodeDatagram(ask)); });
    REQUIRE(std::get<Datagram>(read) == ask);
}

TEST_CASE_METHOD(ListNewsFixture, "isListReader_entriesOfTwoZones_oneInEachZone")
{
    const std::vector<EntrySite> entries {site("a", "10.1.0.1"), site("a", "10.1.0.2"),
                                          site("a", "10.1.0.3"), site("b", "10.2.0.1"),
                                          site("b", "10.2.0.2")};
    std::map<ZoneName, int> readers;
    for (const EntrySite &entry : entries) {
        readers[entry.zone] += readsList(entries, entry) ? 1 : 0;
    }
    REQUIRE(readers == std::map<ZoneName, int> {{ZoneName("a"), 1}, {ZoneName("b"), 1}});
}

TEST_CASE_METHOD(ListNewsFixture, "isListReader_noOtherEntries_isTrue")
{
    REQUIRE(readsList({}, site("a", "10.1.0.1")));
}

} // namespace
} // namespace greengageseam
