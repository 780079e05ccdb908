/**
 * Tests of the choice of the process from which a topic is read.
 */
#include "core/fleet/topicsource.h"

#include "core/fleet/entryregistry.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace greengageseam {
namespace {

/** A zone with a number of entries. */
class TopicSourceFixture
{
protected:
    static std::vector<InstanceId> order(std::size_t n)
    {
        std::vector<InstanceId> entries;
        for (std::size_t i = 0; i < n; ++i) {
            entries.emplace_back("10.1.0." + std::to_string(i));
        }
        return entries;
    }

    static TopicSource choose(const InstanceId &self, std::size_t n, std::uint32_t failures = 0)
    {
        return chooseTopicSource({self, order(n), failures, {}});
    }
};

TEST_CASE_METHOD(TopicSourceFixture, "chooseTopicSource_firstEntry_readsTheStore")
{
    REQUIRE(choose(order(13).front(), 13) == TopicSource {std::nullopt, true});
    REQUIRE(choose(order(13).front(), 13, 8) == TopicSource {std::nullopt, true});
    REQUIRE(choose(order(1).front(), 1, 5) == TopicSource {});
}

// An entry that the store turns away must not stay on an old configuration while others read it.
TEST_CASE_METHOD(TopicSourceFixture, "chooseTopicSource_storeFailsForFirstEntry_asksTheNextOnes")
{
    const InstanceId self = order(13).front();
    REQUIRE(choose(self, 13, 1) == TopicSource {order(13)[1], true});
    REQUIRE(choose(self, 13, 2) == TopicSource {order(13)[2], true});
    REQUIRE(choose(self, 13, 3) == TopicSource {order(13)[3], false});
    REQUIRE(choose(self, 13, 5) == TopicSource {order(13)[4], true});
}

// When the first entry lost touch, all others turned to the store at once and filled its link.
TEST_CASE_METHOD(TopicSourceFixture, "chooseTopicSource_allSourcesDecline_entriesReachStoreInTurn")
{
    std::vector<int> attemptsBeforeStore;
    for (std::size_t rank = 1; rank < 13; ++rank) {
        int attempts = 0;
        std::uint32_t failures = 0;
        for (TopicSource source = choose(order(13)[rank], 13); source.entry;
             source = choose(order(13)[rank], 13, failures)) {
            attempts += source.hasUntriedAlternative ? 0 : 1;
            ++failures;
        }
        attemptsBeforeStore.push_back(attempts);
    }
    REQUIRE(attemptsBeforeStore == std::vector<int> {0, 1, 2, 3, 4, 4, 4, 4, 4, 4, 4, 4});
}

TEST_CASE_METHOD(TopicSourceFixture, "chooseTopicSource_anyNumberOfFailures_neverAsksItself")
{
    for (const std::size_t n : {2, 3, 13}) {
        for (const InstanceId &self : order(n)) {
            for (std::uint32_t failures = 0; failures < 60; ++failures) {
                REQUIRE(choose(self, n, failures).entry != self);
            }
        }
    }
}

TEST_CASE_METHOD(TopicSourceFixture, "chooseTopicSource_parentIsSilent_isPassedOver")
{
    const std::vector<InstanceId> entries = order(13);
    REQUIRE(chooseTopicSource({entries[9], entries, 0, {entries[2]}})
            == TopicSource {entries[0], true});
    REQUIRE(chooseTopicSource({entries[1], entries, 0, {entries[0]}}) == TopicSource {});
}

TEST_CASE_METHOD(TopicSourceFixture, "chooseTopicSource_otherEntries_formATreeBelowTheFirst")
{
    const std::vector<InstanceId> entries = order(22);
    std::map<InstanceId, int> children;
    for (std::size_t rank = 1; rank < entries.size(); ++rank) {
        const std::optional<InstanceId> parent = choose(entries[rank], entries.size()).entry;
        REQUIRE(parent);
        const auto parentRank = std::find(entries.begin(), entries.end(), *parent);
        REQUIRE(parentRank < entries.begin() + static_cast<std::ptrdiff_t>(rank));
        ++children[*parent];
    }
    REQUIRE(std::all_of(children.begin(), children.end(),
                        [](const auto &child) { return child.second <= 4; }));
}

TEST_CASE_METHOD(TopicSourceFixture, "chooseTopicSource_parentFails_firstEntriesThenStoreAreNext")
{
    const InstanceId self = order(13)[2];
    REQUIRE(choose(self, 13, 0) == TopicSource {order(13)[0], true});
    REQUIRE(choose(self, 13, 1) == TopicSource {order(13)[1], true});
    REQUIRE(choose(self, 13, 2) == TopicSource {order(13)[6], true});
    REQUIRE(choose(self, 13, 5) == TopicSource {});
}

TEST_CASE_METHOD(TopicSourceFixture, "chooseTopicSource_everySourceFails_storeIsTriedSeldom")
{
    int storeReads = 0;
    for (std::uint32_t failures = 0; failures < 190; ++failures) {
        storeReads += choose(order(13)[9], 13, failures).entry ? 0 : 1;
    }
    REQUIRE(storeReads == 10);
}

TEST_CASE_METHOD(TopicSourceFixture, "chooseTopicSource_notAnEntry_spreadsOverTheEntries")
{
    std::map<InstanceId, int> agents;
    for (int n = 0; n < 200; ++n) {
        const TopicSource source = choose(InstanceId("10.2.0." + std::to_string(n)), 4);
        REQUIRE(source.entry);
        ++agents[*source.entry];
    }
    REQUIRE(agents.size() == 4);
    REQUIRE(std::all_of(agents.begin(), agents.end(),
                        [](const auto &entry) { return entry.second >= 25; }));
    REQUIRE_FALSE(choose(InstanceId("10.2.0.1"), 4, 3).entry);
    REQUIRE_FALSE(choose(InstanceId("10.2.0.1"), 1, 1).entry);
}

TEST_CASE_METHOD(TopicSourceFixture, "chooseTopicSource_noEntries_readsTheStore")
{
    REQUIRE(choose(InstanceId("10.2.0.1"), 0, 3) == TopicSource {});
}

TEST_CASE_METHOD(TopicSourceFixture, "zoneReaderOrder_entriesOfTwoZones_beginsWithTheListReader")
{
    std::vector<EntryLocation> entries;
    for (const std::string zone : {"a", "b"}) {
        for (int n = 0; n < 5; ++n) {
            const std::string ip = "10." + zone + ".0." + std::to_string(n);
            entries.push_back({InstanceId(ip), ZoneName(zone), ip});
        }
    }
    const std::vector<EntryLocation> order = zoneReaderOrder(entries, ZoneName("a"));
    REQUIRE(order.size() == 5);
    REQUIRE(isListReader(entries, order.front()));
    REQUIRE(std::none_of(order.begin() + 1, order.end(),
                         [&](const EntryLocation &other) { return isListReader(entries, other); }));
    std::reverse(entries.begin(), entries.end());
    REQUIRE(zoneReaderOrder(entries, ZoneName("a")) == order);
}

} // namespace
} // namespace greengageseam
