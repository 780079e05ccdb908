/**
 * Tests of the newest records of a topic, as they are passed from one process to another.
 */
#include "core/fleet/compactedtopic.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

/** A topic whose snapshot ends at offset 10 and contains the keys "a" and "b". */
class CompactedTopicFixture
{
protected:
    CompactedTopicFixture() : m_topic(KeyedSnapshot {{{"a", "1"}, {"b", "2"}}, {10}}) { }

    CompactedTopic m_topic;
};

TEST_CASE_METHOD(CompactedTopicFixture, "changesSince_offsetBeforeTheSnapshot_isWhole")
{
    REQUIRE(m_topic.changesSince({9}) == TopicChanges {{{"a", "1"}, {"b", "2"}}, true, {10}});
    REQUIRE(m_topic.changesSince({10}) == TopicChanges {{}, false, {10}});
}

TEST_CASE_METHOD(CompactedTopicFixture, "changesSince_tailApplied_onlyNewestOfChangedKeys")
{
    const CompactedTopic topic =
            m_topic.withTail({10}, {{{"a", "3"}, {"b", std::nullopt}, {"a", "4"}}, {13}});
    REQUIRE(topic.changesSince({10})
            == TopicChanges {{{"a", "4"}, {"b", std::nullopt}}, false, {13}});
    REQUIRE(topic.changesSince({12}) == TopicChanges {{{"a", "4"}}, false, {13}});
    REQUIRE(topic.snapshot() == KeyedSnapshot {{{"a", "4"}}, {13}});
}

TEST_CASE_METHOD(CompactedTopicFixture, "withSnapshot_keyUnchangedOrGone_onlyChangesArePassedOn")
{
    const CompactedTopic topic = m_topic.withSnapshot({{{"a", "1"}, {"c", "5"}}, {14}});
    REQUIRE(topic.changesSince({10})
            == TopicChanges {{{"b", std::nullopt}, {"c", "5"}}, false, {14}});
    REQUIRE(topic.withSnapshot({{}, {12}}) == topic);
}

TEST_CASE_METHOD(CompactedTopicFixture, "withTail_recordsBeforeItMissingOrKnown_isUnchanged")
{
    REQUIRE(m_topic.withTail({11}, {{{"a", "3"}}, {12}}) == m_topic);
    REQUIRE(m_topic.withTail({8}, {{{"a", "0"}, {"a", "1"}}, {10}}) == m_topic);
}

TEST_CASE_METHOD(CompactedTopicFixture, "withChanges_ofAnotherProcess_reachesTheSameState")
{
    const CompactedTopic source =
            m_topic.withTail({10}, {{{"a", "3"}, {"b", std::nullopt}, {"a", "4"}}, {13}});
    REQUIRE(m_topic.withChanges({10}, source.changesSince({10})).snapshot() == source.snapshot());
    REQUIRE(CompactedTopic().withChanges({0}, source.changesSince({0})).snapshot()
            == source.snapshot());
}

// Another process passes records on in the order of their keys, not of their offsets.
TEST_CASE_METHOD(CompactedTopicFixture, "withChanges_keysInAnotherOrderThanOffsets_noneIsLostLater")
{
    const CompactedTopic source = m_topic.withTail({10}, {{{"b", "3"}, {"a", "4"}}, {12}});
    const CompactedTopic relay = m_topic.withChanges({10}, source.changesSince({10}));
    const std::vector<KeyedRecord> later = relay.changesSince({11}).records;
    REQUIRE(std::count(later.begin(), later.end(), KeyedRecord {"a", "4"}) == 1);
}

/** A topic, and the snapshot of a later era in which the last change of "a" and "b" are lost. */
class LostRecordsFixture
{
protected:
    LostRecordsFixture()
        : m_known(CompactedTopic(KeyedSnapshot {{{"a", "1"}, {"b", "2"}}, {10, 1}})
                          .withTail({10, 1}, {{{"a", "3"}}, {11, 1}})),
          m_copy({{{"a", "1"}}, {9, 2}})
    { }

    /** Keeps a record of "a" that the store has an older one for. */
    static bool keepsHigher(const std::string &key, const std::string &known,
                            const std::optional<std::string> &stored)
    {
        return key == "a" && (!stored || known > *stored);
    }

    CompactedTopic m_known;
    KeyedSnapshot m_copy;
};

TEST_CASE_METHOD(LostRecordsFixture, "laterEra_endsAtALowerOffset_isReadWhole")
{
    const CompactedTopic topic = m_known.withSnapshot(m_copy);
    REQUIRE(topic.end() == TopicPosition {9, 2});
    REQUIRE(topic.snapshot() == m_copy);
}

TEST_CASE_METHOD(LostRecordsFixture, "laterEra_reachesTheOffsetOfTheLostOne_isPassedOnWhole")
{
    const CompactedTopic topic =
            m_known.withSnapshot(m_copy).withTail({9, 2}, {{{"c", "7"}, {"d", "8"}}, {11, 2}});
    const TopicChanges changes = topic.changesSince({11, 1});
    REQUIRE(changes.isWhole);
    REQUIRE(changes.records.size() == 3);
    REQUIRE(m_known.changesSince({9, 2}) == TopicChanges {{}, false, {11, 1}});
}

TEST_CASE_METHOD(LostRecordsFixture, "earlierEra_arrivesLate_changesNothing")
{
    const CompactedTopic topic = m_known.withSnapshot(m_copy);
    REQUIRE(topic.withSnapshot({{{"a", "9"}}, {50, 1}}) == topic);
    REQUIRE(topic.withTail({11, 1}, {{{"a", "9"}}, {50, 1}}) == topic);
    REQUIRE(topic.withTail({9, 2}, {{{"a", "9"}}, {50, 1}}) == topic);
}

TEST_CASE_METHOD(LostRecordsFixture, "lostRecord_isKept_staysUntilANewerOneIsWritten")
{
    const CompactedTopic topic = m_known.withSnapshot(m_copy, keepsHigher);
    REQUIRE(topic.snapshot().records == std::vector<KeyedRecord> {{"a", "3"}});
    const CompactedTopic reread =
            topic.withSnapshot({{{"a", "1"}, {"c", "7"}}, {10, 2}}, keepsHigher);
    REQUIRE(reread.snapshot().records == std::vector<KeyedRecord> {{"a", "3"}, {"c", "7"}});
    const CompactedTopic older = reread.withTail({10, 2}, {{{"a", "2"}}, {11, 2}}, keepsHigher);
    REQUIRE(older.snapshot().records == std::vector<KeyedRecord> {{"a", "3"}, {"c", "7"}});
    const CompactedTopic newer = older.withTail({11, 2}, {{{"a", "4"}}, {12, 2}}, keepsHigher);
    REQUIRE(newer.snapshot().records == std::vector<KeyedRecord> {{"a", "4"}, {"c", "7"}});
}

} // namespace
} // namespace greengageseam
