/**
 * Failure tests of how a configuration reaches a zone that has partly lost the store.
 * labels: failure
 */
#include "topicrelayfixture.h"

namespace greengageseam {
namespace {

/** Maximum time for which an older configuration may be used after a newer one was accepted. */
constexpr auto maxConfigAge = std::chrono::seconds(3);

// Entries turned to the store because those that they read from were slow to get a change there.
TEST_CASE_METHOD(TopicRelayFixture, "topic_zonesReaderIsCutOffLinkIsSlow_fewEntriesTurnToTheStore")
{
    startEntries(13);
    runFor(milliseconds(1000));
    m_nodes.front()->cutOff(true);
    for (const auto &node : m_nodes) {
        node->slowDown(milliseconds(100));
        node->stall(milliseconds(1200));
    }
    m_topic.reads = 0;
    m_topic.write("1");
    REQUIRE(waitUntil([this] { return allHave("1", 1); }, std::chrono::seconds(10)));
    runFor(milliseconds(1500));
    REQUIRE(m_topic.reads <= maxReadersAfterFailure);
}

// The reader of the zone must not stay behind entries that it could ask.
TEST_CASE_METHOD(TopicRelayFixture, "topic_zonesReaderIsTurnedAway_readsFromTheOthers")
{
    startEntries(13);
    runFor(milliseconds(1000));
    m_nodes.front()->cutOff(true);
    m_topic.write("1");
    REQUIRE(waitUntil([this] { return allHave("1", 1); }, configBound));
    REQUIRE(waitUntil([this] { return allHave("1", 0); }, configBound));
}

// A configuration that two entries had did not reach their zone while the store was out of reach.
TEST_CASE_METHOD(TopicRelayFixture, "topic_twoEntriesHaveTheNewest_restReadFromThem")
{
    startEntries(13);
    runFor(milliseconds(1000));
    for (std::size_t rank = 0; rank < 11; ++rank) {
        m_nodes[rank]->cutOff(true);
    }
    m_topic.write("1");
    REQUIRE(waitUntil([this] { return allHave("1", 11); }, std::chrono::seconds(5)));
    m_nodes[11]->cutOff(true);
    m_nodes[12]->cutOff(true);
    REQUIRE(waitUntil([this] { return allHave("1", 0); }, configBound));
}

// A read of the reader of the zone that trickles must not hold back the others without limit.
TEST_CASE_METHOD(TopicRelayFixture, "topic_readTricklesLongerThanTheBound_othersReadElsewhere")
{
    startEntries(13);
    runFor(milliseconds(1000));
    m_nodes.front()->slowDown(std::chrono::seconds(8));
    m_topic.write("1");
    const auto othersHaveItOrAreTold = [this] {
        for (const auto &node : m_nodes) {
            node->announce(m_topic.end());
        }
        return allHave("1", 1);
    };
    REQUIRE(waitUntil(othersHaveItOrAreTold, maxConfigAge));
}

// A read that had trickled for a while was left hanging for seconds once it had fallen silent.
TEST_CASE_METHOD(TopicRelayFixture, "topic_readStallsAfterTrickling_isRestartedInTime")
{
    startEntries(5);
    runFor(milliseconds(1000));
    const auto readTime = std::chrono::seconds(4);
    m_nodes.front()->slowDown(readTime);
    m_nodes.front()->stall(std::chrono::seconds(10));
    m_topic.write("1");
    const auto allHaveItOrAreTold = [this] {
        for (const auto &node : m_nodes) {
            node->announce(m_topic.end());
        }
        return allHave("1", 0);
    };
    waitUntil(allHaveItOrAreTold, readTime);
    m_nodes.front()->slowDown({});
    REQUIRE(waitUntil(allHaveItOrAreTold, configBound));
}

} // namespace
} // namespace greengageseam
