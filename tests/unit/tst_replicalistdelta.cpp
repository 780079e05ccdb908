/**
 * Tests of the deltas of the list of backend servers that entries of a zone forward to each other.
 */
#include "core/fleet/fleet.h"
#include "platform/replicaformat.h"
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

TEST_CASE_METHOD(ReplicaListDeltaFixture, "delta_changedThenRemoved_containsOnlyTheRemoval")
{
    const ReplicaListDelta delta = ReplicaListDelta {{1}, {3}, {}, {}}
                                           .withChanged(replica("i-1"))
                                           .withRemoved(ReplicaId("i-1"));
    REQUIRE(delta.changed.empty());
    REQUIRE(delta.removed == std::vector<ReplicaId> {ReplicaId("i-1")});
}

TEST_CASE_METHOD(ReplicaListDeltaFixture, "delta_removedThenChanged_containsOnlyTheEntry")
{
    const ReplicaListDelta delta = ReplicaListDelta {{1}, {3}, {}, {}}
                                           .withRemoved(ReplicaId("i-1"))
                                           .withChanged(replica("i-1"));
    REQUIRE(delta.removed.empty());
    REQUIRE(delta.changed == std::vector<ReplicaEntry> {replica("i-1")});
}

TEST_CASE_METHOD(ReplicaListDeltaFixture, "delta_encodedAndDecoded_isEqual")
{
    ReplicaEntry plain = replica("i-2");
    plain.loaded = {};
    plain.isDraining = true;
    const Datagram delta =
            ReplicaListDelta {{7, 2}, {9, 2}, {replica("i-1"), plain}, {ReplicaId("i-3")}};
    const auto decoded = toOutcome([&] { return decodeDatagram(encodeDatagram(delta)); });
    REQUIRE(std::get<Datagram>(decoded) == delta);
}

// One entry with odd numbers must not make the other entries of the zone drop the delta.
TEST_CASE_METHOD(ReplicaListDeltaFixture, "delta_listedEntryHasOddNumbers_reachesPeersIfReadable")
{
    const std::string numbers = GENERATE(
            as<std::string>(), R"("slots":2,"born":9223372036854775808)", R"("slots":4294967295)",
            R"("slots":2,"born":9223372036854775807)", R"("slots":2147483647)",
            R"("slots":2,"layers":{"from":0,"to":4294967295,"version":1})",
            R"("slots":2,"models":[{"name":"m","version":18446744073709551615}])");
    CAPTURE(numbers);
    const auto odd = toOutcome([&] {
        return decodeReplica(ReplicaId("i-2"),
                             R"({"service":"p","address":"127.0.0.1:1","zone":"a",)"
                             R"("state":"ready",)"
                                     + numbers + "}");
    });
    if (failureOf(odd) == nullptr) {
        const Datagram delta = ReplicaListDelta {
                {7, 2}, {9, 2}, {replica("i-1"), std::get<ReplicaEntry>(odd)}, {}};
        const auto decoded = toOutcome([&] { return decodeDatagram(encodeDatagram(delta)); });
        REQUIRE(failureOf(decoded) == nullptr);
        REQUIRE(std::get<Datagram>(decoded) == delta);
    }
}

TEST_CASE_METHOD(ReplicaListDeltaFixture, "loadWanted_withTargetVersionsEncodedAndDecoded_isEqual")
{
    const Datagram request =
            LoadSubscription {InstanceId("e"), ZoneName("a"), 3, {4, 2}, {{ModelName("m"), 5}}};
    const auto decoded = toOutcome([&] { return decodeDatagram(encodeDatagram(request)); });
    REQUIRE(std::get<Datagram>(decoded) == request);
}

TEST_CASE_METHOD(ReplicaListDeltaFixture, "loadWanted_withDemands_isEqualAfterDecoding")
{
    LoadSubscription request {InstanceId("e"), ZoneName("a"), 3, {4, 2}};
    request.demands = {{ServiceName("pool"), 14, 5}, {ServiceName("other"), 1, 0}};
    const auto decoded =
            toOutcome([&] { return decodeDatagram(encodeDatagram(Datagram(request))); });
    REQUIRE(std::get<Datagram>(decoded) == Datagram(request));
}

TEST_CASE_METHOD(ReplicaListDeltaFixture, "loadWanted_withNegativeDemand_isRejected")
{
    LoadSubscription request {InstanceId("e"), ZoneName("a"), 3, {4, 2}};
    request.demands = {{ServiceName("pool"), UINT32_MAX, 0}};
    const auto decoded =
            toOutcome([&] { return decodeDatagram(encodeDatagram(Datagram(request))); });
    REQUIRE(failureOf(decoded)->kind == ErrorKind::ProtocolViolation);
}

TEST_CASE_METHOD(ReplicaListDeltaFixture, "loadWanted_withoutOtherEntries_isEqualAfterDecoding")
{
    LoadSubscription request {InstanceId("e"), ZoneName("a"), 3, {4, 2}};
    request.wantsEntries = false;
    const auto decoded =
            toOutcome([&] { return decodeDatagram(encodeDatagram(Datagram(request))); });
    REQUIRE(std::get<Datagram>(decoded) == Datagram(request));
}

TEST_CASE_METHOD(ReplicaListDeltaFixture, "isListReader_entriesOfTwoZones_oneInEachZone")
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

TEST_CASE_METHOD(ReplicaListDeltaFixture, "isListReader_noOtherEntries_isTrue")
{
    REQUIRE(isListReader({}, location("a", "10.1.0.1")));
}

TEST_CASE_METHOD(ReplicaListDeltaFixture, "deltaParts_allArriveInAnyOrder_areTheWholeDelta")
{
    const ReplicaListDelta delta {
            {7}, {12}, {replica("i-1"), replica("i-2"), replica("i-3")}, {ReplicaId("i-4")}};
    const std::vector<ReplicaListDelta> parts = splitDelta(delta, 2);
    REQUIRE(parts.size() == 2);
    DeltaAssembler assembler;
    REQUIRE_FALSE(assembler.add("a", parts[1], Instant()));
    REQUIRE(assembler.add("a", parts[0], Instant()) == delta);
}

// The list would otherwise be taken for complete up to the end of the delta.
TEST_CASE_METHOD(ReplicaListDeltaFixture, "deltaParts_oneIsLost_nothingIsPassedOn")
{
    const std::vector<ReplicaListDelta> first =
            splitDelta({{7}, {9}, {replica("i-1"), replica("i-2")}, {}}, 2);
    const std::vector<ReplicaListDelta> second =
            splitDelta({{9}, {11}, {replica("i-3"), replica("i-4")}, {}}, 2);
    DeltaAssembler assembler;
    REQUIRE_FALSE(assembler.add("a", first[0], Instant()));
    REQUIRE_FALSE(assembler.add("a", second[0], Instant()));
    REQUIRE_FALSE(assembler.add("b", second[1], Instant()));
    REQUIRE_FALSE(assembler.add("a", first[1], Instant()));
}

TEST_CASE_METHOD(ReplicaListDeltaFixture, "deltaParts_lateOneOfAnOlderDelta_isIgnored")
{
    const std::vector<ReplicaListDelta> older =
            splitDelta({{7}, {9}, {replica("i-1"), replica("i-2")}, {}}, 2);
    const ReplicaListDelta delta {{9}, {11}, {replica("i-3"), replica("i-4")}, {}};
    const std::vector<ReplicaListDelta> newer = splitDelta(delta, 2);
    DeltaAssembler assembler;
    REQUIRE_FALSE(assembler.add("a", newer[0], Instant()));
    REQUIRE_FALSE(assembler.add("a", older[1], Instant()));
    REQUIRE(assembler.add("a", newer[1], Instant()) == delta);
}

// The view is as old as it was when the first part was sent.
TEST_CASE_METHOD(ReplicaListDeltaFixture, "deltaParts_lastOneArrivesLate_viewHasAgedMeanwhile")
{
    ReplicaListDelta delta {{7}, {9}, {replica("i-1"), replica("i-2")}, {}};
    delta.viewAge = std::chrono::milliseconds(100);
    const std::vector<ReplicaListDelta> parts = splitDelta(delta, 2);
    DeltaAssembler assembler;
    REQUIRE_FALSE(assembler.add("a", parts[0], Instant(std::chrono::milliseconds(1000))));
    const auto whole = assembler.add("a", parts[1], Instant(std::chrono::milliseconds(1500)));
    REQUIRE(whole);
    REQUIRE(whole->viewAge == std::chrono::milliseconds(600));
}

TEST_CASE_METHOD(ReplicaListDeltaFixture, "deltaParts_encodedAndDecoded_areEqual")
{
    const Datagram part = splitDelta({{7}, {9}, {replica("i-1"), replica("i-2")}, {}}, 2).back();
    const auto decoded = toOutcome([&] { return decodeDatagram(encodeDatagram(part)); });
    REQUIRE(std::get<Datagram>(decoded) == part);
}

} // namespace
} // namespace greengageseam
