/**
 * Failure tests of topics that the entries of a zone read through each other: the entry that reads
 * the store is cut off, frozen or gone, or the store is away.
 * labels: failure
 */
#include "edge/storewatchers.h"
#include "topicrelayfixture.h"

namespace greengageseam {
namespace {

/** A process that reads target versions of model m from entries, and dates them. */
class DatingNode
{
public:
    DatingNode(const std::string &ip, std::uint16_t port) : m_log(LogLevel::Error, {})
    {
        TopicReader store;
        store.snapshot = []() -> Awaitable<Outcome<KeyedSnapshot>> {
            co_return Failure {ErrorKind::PlatformUnavailable, "cut off"};
        };
        store.tail = [](TopicPosition, Duration) -> Awaitable<Outcome<KeyedBatch>> {
            co_return Failure {ErrorKind::PlatformUnavailable, "cut off"};
        };
        RelayedReaderOptions options;
        options.topic = "operator";
        options.identity = {std::string(topicLinkRole), InstanceId(ip), ZoneName("a"), "secret"};
        options.peerPort = port;
        m_reader = std::make_shared<RelayedReader>(m_context.get_executor(), options, store,
                                                   TopicViewObserver(), m_log);
        OperatorHooks hooks;
        hooks.isConfig = [](std::string_view) { return false; };
        hooks.isTargetVersion = [](std::string_view) { return true; };
        hooks.decodeTargetVersion = [](std::string_view bytes) -> Result<TargetVersion> {
            return TargetVersion {ModelName("m"), std::stoull(std::string(bytes)) + 1};
        };
        hooks.onTargetVersion = [this](const TargetVersion &target, bool, Duration age) {
            m_version = target.version;
            m_age = age;
        };
        hooks.onPositionAdvanced = [](TopicPosition) { };
        FollowOptions follow;
        follow.name = "operator";
        follow.pollTimeout = std::chrono::seconds(25);
        m_watcher = std::make_shared<OperatorWatcher>(m_context.get_executor(), m_reader->reader(),
                                                      follow, Duration::zero(), hooks, m_log);
        m_watcher->start();
    }

    void setEntries(const std::vector<EntryLocation> &entries) { m_reader->setEntries(entries); }
    void run() { m_context.poll(); }
    /** Tells the process of a target version that another one has just heard of. */
    void tell(std::uint64_t version)
    {
        m_watcher->applyPeerTargetVersion({ModelName("m"), version}, VersionSource::Agent,
                                          Duration());
    }
    /** @returns the newest target version, which is one more than the value of the record */
    std::uint64_t version() const { return m_version; }
    /** @returns how old the newest target version can have been when this process heard of it */
    Duration age() const { return m_age; }

private:
    Log m_log;
    asio::io_context m_context;
    std::uint64_t m_version = 0;
    Duration m_age {};
    std::shared_ptr<RelayedReader> m_reader;
    std::shared_ptr<OperatorWatcher> m_watcher;
};

// When every entry read a new configuration from the store itself, the link to it collapsed.
TEST_CASE_METHOD(TopicRelayFixture, "topic_manyEntries_oneStoreReadAChange")
{
    startEntries(13);
    CHECK(m_topic.reads == 1);
    m_topic.reads = 0;
    for (const std::string value : {"1", "2", "3"}) {
        m_topic.write(value);
        REQUIRE(waitUntil([&] { return allHave(value, 0); }, configBound));
        runFor(milliseconds(800));
    }
    REQUIRE(m_topic.reads == 3);
}

TEST_CASE_METHOD(TopicRelayFixture, "topic_manyEntriesLargeConfiguration_oneStoreReadAChange")
{
    startEntries(13);
    m_topic.reads = 0;
    const std::string large(400'000, 'x');
    m_topic.write(large);
    REQUIRE(waitUntil([&] { return allHave(large, 0); }, configBound));
    REQUIRE(m_topic.reads == 1);
}

// A new configuration must reach the zone although the entry that reads for it has just been cut
// off from the store.
TEST_CASE_METHOD(TopicRelayFixture, "topic_zonesReaderIsCutOff_othersReadInTime")
{
    startEntries(13);
    runFor(milliseconds(1000));
    m_nodes.front()->cutOff(true);
    m_topic.write("1");
    REQUIRE(waitUntil([this] { return allHave("1", 1); }, configBound));
}

TEST_CASE_METHOD(TopicRelayFixture, "topic_zonesReaderIsFrozen_othersReadInTime")
{
    startEntries(13);
    runFor(milliseconds(1000));
    m_nodes.front()->freeze();
    m_topic.write("1");
    runFor(milliseconds(1000));
    dropFirstEntry();
    REQUIRE(waitUntil([this] { return allHave("1", 1); }, configBound - milliseconds(1000)));
}

TEST_CASE_METHOD(TopicRelayFixture, "topic_zonesReaderIsFrozenUnnoticed_othersReadInTime")
{
    startEntries(5);
    runFor(milliseconds(1000));
    m_nodes.front()->freeze();
    m_topic.write("1");
    REQUIRE(waitUntil([this] { return allHave("1", 1); }, configBound));
}

TEST_CASE_METHOD(TopicRelayFixture, "topic_zonesReaderGoesAway_othersReadInTime")
{
    startEntries(13);
    runFor(milliseconds(1000));
    m_nodes.front().reset();
    m_topic.write("1");
    REQUIRE(waitUntil([this] { return allHave("1", 1); }, configBound));
    m_topic.reads = 0;
    dropFirstEntry();
    runFor(milliseconds(1500));
    m_topic.write("2");
    REQUIRE(waitUntil([this] { return allHave("2", 1); }, configBound));
    REQUIRE(m_topic.reads == 1);
}

// The others must not turn to the store as well because the read for the zone takes long.
TEST_CASE_METHOD(TopicRelayFixture, "topic_zonesReaderIsSlow_othersWaitForIt")
{
    startEntries(13);
    runFor(milliseconds(1000));
    m_nodes.front()->slowDown(milliseconds(2500));
    m_topic.reads = 0;
    m_topic.write("1");
    const auto allHaveItOrAreTold = [this] {
        for (const auto &node : m_nodes) {
            node->announce(m_topic.end());
        }
        return allHave("1", 0);
    };
    REQUIRE(waitUntil(allHaveItOrAreTold, std::chrono::seconds(4)));
    REQUIRE(m_topic.reads == 1);
}

// Under load, entries are now and then taken for gone. Reads that are restarted for this reason
// must not reach the store.
TEST_CASE_METHOD(TopicRelayFixture, "topic_entriesSeemToComeAndGo_oneStoreReadAChange")
{
    startEntries(13);
    runFor(milliseconds(800));
    m_topic.reads = 0;
    const std::string large(400'000, 'x');
    for (std::size_t n = 0; n < 24; ++n) {
        const EntryLocation gone = m_locations[1 + n % 12];
        std::vector<EntryLocation> others = m_locations;
        std::erase(others, gone);
        for (const auto &node : m_nodes) {
            node->setEntries(node->location() == gone ? m_locations : others);
        }
        if (n == 4) {
            m_topic.write(large);
        }
        runFor(milliseconds(40));
    }
    REQUIRE(allHave(large, 0));
    REQUIRE(m_topic.reads == 1);
}

// After an outage, most entries must get what they missed from each other.
TEST_CASE_METHOD(TopicRelayFixture, "topic_storeWasAway_isReadByFewEntriesAfterwards")
{
    startEntries(13);
    for (const auto &node : m_nodes) {
        node->cutOff(true);
    }
    m_topic.write("1");
    runFor(std::chrono::seconds(6));
    m_topic.reads = 0;
    for (const auto &node : m_nodes) {
        node->cutOff(false);
    }
    REQUIRE(waitUntil([this] { return allHave("1", 0); }, std::chrono::seconds(3)));
    REQUIRE(m_topic.reads <= 5);
}

// Entries that decline because they are behind must not be taken for a store that is away for all.
TEST_CASE_METHOD(TopicRelayFixture,
                 "targetVersion_entriesDeclineAsItIsAnnounced_isDatedByTheViewBefore")
{
    startEntries(3);
    DatingNode node("127.0.0.50", m_port);
    node.setEntries(m_locations);
    const auto runBoth = [&](const std::function<bool()> &condition) {
        return waitUntil(
                [&] {
                    node.run();
                    return condition();
                },
                std::chrono::seconds(5));
    };
    REQUIRE(runBoth([&] { return node.version() == 1; }));
    for (const auto &entry : m_nodes) {
        entry->cutOff(true);
    }
    const Instant cutOffAt = monotonicNow();
    runBoth([&] { return monotonicNow() - cutOffAt > milliseconds(800); });
    const Instant announcedAt = monotonicNow();
    runBoth([&] { return monotonicNow() - announcedAt > milliseconds(3000); });
    node.tell(2);
    REQUIRE(node.version() == 2);
    REQUIRE(node.age() >= monotonicNow() - announcedAt);
}

// When the reader of the zone lost touch, all others read the whole configuration over one link.
TEST_CASE_METHOD(TopicRelayFixture, "topic_zonesReaderIsCutOff_fewEntriesTurnToTheStore")
{
    startEntries(13);
    runFor(milliseconds(1000));
    m_nodes.front()->cutOff(true);
    m_topic.reads = 0;
    m_topic.write("1");
    REQUIRE(waitUntil([this] { return allHave("1", 1); }, configBound));
    runFor(milliseconds(1000));
    REQUIRE(m_topic.reads <= maxReadersAfterFailure);
}

// The first entry repeated a read of deleted records without end and without a pause.
TEST_CASE_METHOD(TopicRelayFixture, "topic_recordsWereDeleted_firstEntryReadsASnapshot")
{
    startEntries(3);
    m_topic.write("1");
    m_topic.firstKept = m_topic.records.size();
    REQUIRE(waitUntil([this] { return allHave("1", 0); }, configBound));
}

TEST_CASE_METHOD(TopicRelayFixture, "topic_agentPolls_readsFromEntriesOnly")
{
    startEntries(4);
    m_topic.reads = 0;
    const std::string ip = "127.0.0.100";
    m_nodes.push_back(std::make_unique<RelayNode>(
            m_topic, EntryLocation {InstanceId(ip), ZoneName("a"), ip}, m_port, false));
    m_nodes.back()->setEntries(m_locations);
    REQUIRE(waitUntil([this] { return allHave("0", 0); }, std::chrono::seconds(2)));
    runFor(std::chrono::seconds(1));
    REQUIRE(m_topic.reads == 0);
    m_topic.write("1");
    REQUIRE(waitUntil([this] { return allHave("1", 0); }, configBound));
    REQUIRE(m_topic.reads == 1);
}

// An entry that is still reading has not said that nothing has changed.
TEST_CASE_METHOD(TopicRelayFixture, "targetVersion_parentIsStillReading_isDatedByItsReadBefore")
{
    startEntries(2);
    DatingNode child("127.0.0.100", m_port);
    child.setEntries(m_locations);
    const auto runUntil = [&](std::uint64_t version) {
        return waitUntil(
                [&] {
                    child.run();
                    return child.version() == version;
                },
                std::chrono::seconds(8));
    };
    REQUIRE(runUntil(1));
    m_nodes.front()->slowDown(milliseconds(3500));
    m_topic.write("1");
    const Instant named = monotonicNow();
    REQUIRE(runUntil(2));
    REQUIRE(child.age() >= monotonicNow() - named - milliseconds(100));
}

// The store has lost records, and its offsets are those of other records now.
TEST_CASE_METHOD(TopicRelayFixture, "topic_storeHasLostRecords_allFollowTheNewEra")
{
    startEntries(4);
    for (const char *value : {"1", "2", "3"}) {
        m_topic.write(value);
    }
    REQUIRE(waitUntil([this] { return allHave("3", 0); }, configBound));
    m_topic.lose(2);
    m_topic.write("3 again");
    REQUIRE(waitUntil([this] { return allHave("3 again", 0); }, configBound));
    m_topic.write("4");
    REQUIRE(waitUntil([this] { return allHave("4", 0); }, configBound));
}

} // namespace
} // namespace greengageseam
