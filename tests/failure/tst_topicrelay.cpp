/**
 * Failure tests of topics that the entries of a zone read through each other: the entry that reads
 * the store is cut off, frozen or gone, or the store is away.
 * labels: failure
 */
#include "core/fleet/entryregistry.h"
#include "edge/relayedreader.h"
#include "edge/storewatchers.h"
#include "edge/topicrelay.h"
#include "net/clock.h"
#include "net/ticker.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

/** Maximum time until a new configuration is in force at all entries. */
constexpr Duration configBound = std::chrono::seconds(2);

/** Age from which an entry does not pass its view on. */
constexpr auto maxViewAge = configBound / 2;

/** The store's topic, shared by all processes of a test. */
struct SharedTopic
{
    std::vector<KeyedRecord> records;
    /** Number of reads that returned records. */
    int reads = 0;

    void write(const std::string &value) { records.push_back({"config", value}); }
};

/** One process: an entry, or an agent that only reads. It runs in an event loop of its own. */
class RelayNode
{
public:
    RelayNode(SharedTopic &topic, EntryLocation location, std::uint16_t port, bool isEntry)
        : m_topic(topic), m_location(std::move(location)), m_log(LogLevel::Error, {})
    {
        const PeerIdentity identity {std::string(topicLinkRole), InstanceId(m_location.ip),
                                     m_location.zone, "secret"};
        m_relay = std::make_shared<TopicRelay>(m_context.get_executor(),
                                               TopicRelayOptions {"operator", maxViewAge},
                                               [this] { return m_reader->isProgressing(); });
        LinkHooks hooks;
        hooks.onMessage = [relay = m_relay->mailbox()](const PeerLinkHandle &link,
                                                       const StreamMessage &message) {
            if (const auto *wanted = std::get_if<TopicRequestMessage>(&message.message)) {
                relay->post(TopicRequested {*wanted, link, message.stream});
            }
        };
        hooks.onClosed = [](const PeerLinkHandle &, const LinkClosed &) { };
        if (isEntry) {
            m_listener = std::make_shared<PeerListener>(m_context.get_executor(), identity, hooks,
                                                        m_log);
            REQUIRE(m_listener->listen(Address(m_location.ip + ":" + std::to_string(port))));
            m_listener->start();
        }
        RelayedReaderOptions options;
        options.topic = "operator";
        options.identity = identity;
        options.peerPort = port;
        options.continuesSnapshots = !isEntry;
        const auto onRead = [relay = m_relay->mailbox()](const TopicView &view) {
            relay->post(TopicUpdated {view});
        };
        m_reader = std::make_shared<RelayedReader>(m_context.get_executor(), options, storeReader(),
                                                   onRead, m_log);
        startFollower(isEntry);
    }

    void setEntries(const std::vector<EntryLocation> &entries) { m_reader->setEntries(entries); }
    /** Sets the time that the store takes to send a result, during which bytes arrive. */
    void slowDown(Duration readTime) { m_readTime = readTime; }
    /** Tells the process that another zone has read the topic up to an offset. */
    void announce(std::uint64_t offset) { m_follower->mailbox()->post(CatchUp {offset}); }
    /** Sets whether the store does not respond to this process. */
    void cutOff(bool isCutOff) { m_isCutOff = isCutOff; }
    /** Stops running the process, as if it had received SIGSTOP. */
    void freeze() { m_isFrozen = true; }
    void run()
    {
        if (!m_isFrozen) {
            m_context.poll();
        }
    }
    const EntryLocation &location() const { return m_location; }
    /** @returns the value of the configuration that was read last */
    const std::string &newest() const { return m_newest; }

private:
    TopicReader storeReader()
    {
        TopicReader reader;
        reader.snapshot = [this]() -> Awaitable<Outcome<KeyedSnapshot>> {
            asio::steady_timer timer(m_context, milliseconds(m_isCutOff ? 1000 : 50));
            co_await timer.async_wait(asTuple);
            if (m_isCutOff) {
                co_return Failure {ErrorKind::PlatformUnavailable, "cut off"};
            }
            ++m_topic.reads;
            KeyedSnapshot snapshot {{}, m_topic.records.size(), monotonicNow()};
            if (!m_topic.records.empty()) {
                snapshot.records.push_back(m_topic.records.back());
            }
            co_return snapshot;
        };
        reader.tail = [this](std::uint64_t from, Duration wait) -> Awaitable<Outcome<KeyedBatch>> {
            const Instant end = monotonicNow() + wait;
            asio::steady_timer timer(m_context);
            while (monotonicNow() < end && (m_isCutOff || m_topic.records.size() <= from)) {
                timer.expires_after(milliseconds(5));
                co_await timer.async_wait(asTuple);
            }
            if (m_isCutOff) {
                timer.expires_after(milliseconds(1000));
                co_await timer.async_wait(asTuple);
                co_return Failure {ErrorKind::PlatformUnavailable, "cut off"};
            }
            if (m_readTime > Duration::zero()) {
                m_isReceiving = true;
                timer.expires_after(m_readTime);
                co_await timer.async_wait(asTuple);
                m_isReceiving = false;
            }
            KeyedBatch tail {{}, m_topic.records.size(), false, monotonicNow()};
            tail.records.assign(m_topic.records.begin() + static_cast<std::ptrdiff_t>(from),
                                m_topic.records.end());
            m_topic.reads += tail.records.empty() ? 0 : 1;
            co_return tail;
        };
        reader.isReceiving = [this] { return m_isReceiving; };
        return reader;
    }

    void startFollower(bool isEntry)
    {
        FollowOptions options;
        options.name = "operator";
        options.pollTimeout = configBound / 4;
        options.readsSnapshotsOnly = !isEntry;
        options.pollInterval = milliseconds(isEntry ? 0 : 200);
        FollowHooks hooks;
        hooks.onSnapshot = [this](const KeyedSnapshot &snapshot) { apply(snapshot.records); };
        hooks.onTail = [this](std::uint64_t, const KeyedBatch &tail) { apply(tail.records); };
        m_follower = std::make_shared<TopicFollower>(m_context.get_executor(), m_reader->reader(),
                                                     options, hooks, m_log);
        m_relay->start();
        m_follower->start();
    }

    void apply(const std::vector<KeyedRecord> &records)
    {
        for (const KeyedRecord &record : records) {
            m_newest = record.value.value_or("");
        }
    }

    SharedTopic &m_topic;
    EntryLocation m_location;
    Log m_log;
    asio::io_context m_context;
    bool m_isCutOff = false;
    Duration m_readTime {};
    bool m_isReceiving = false;
    bool m_isFrozen = false;
    std::string m_newest;
    std::shared_ptr<TopicRelay> m_relay;
    std::shared_ptr<PeerListener> m_listener;
    std::shared_ptr<RelayedReader> m_reader;
    std::shared_ptr<TopicFollower> m_follower;
};

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
        store.tail = [](std::uint64_t, Duration) -> Awaitable<Outcome<KeyedBatch>> {
            co_return Failure {ErrorKind::PlatformUnavailable, "cut off"};
        };
        RelayedReaderOptions options;
        options.topic = "operator";
        options.identity = {std::string(topicLinkRole), InstanceId(ip), ZoneName("a"), "secret"};
        options.peerPort = port;
        m_reader = std::make_shared<RelayedReader>(m_context.get_executor(), options, store,
                                                   RelayedReaderHooks(), m_log);
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
        hooks.onOffsetAdvanced = [](std::uint64_t) { };
        FollowOptions follow;
        follow.name = "operator";
        follow.pollTimeout = std::chrono::seconds(25);
        m_watcher = std::make_shared<OperatorWatcher>(m_context.get_executor(), m_reader->reader(),
                                                      follow, hooks, m_log);
        m_watcher->start();
    }

    void setEntries(const std::vector<EntryLocation> &entries) { m_reader->setEntries(entries); }
    void run() { m_context.poll(); }
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

/** A zone of entries, each on a loopback address of its own. */
class TopicRelayFixture
{
protected:
    TopicRelayFixture()
    {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context);
        REQUIRE(openAcceptor(acceptor, Address("127.0.0.1:0")));
        m_port = acceptor.local_endpoint().port();
        m_topic.write("0");
    }

    /** Starts entries that know each other, in the order in which they read. */
    void startEntries(int n)
    {
        for (int i = 0; i < n; ++i) {
            const std::string ip = "127.0.0." + std::to_string(10 + i);
            m_locations.push_back({InstanceId(ip), ZoneName("a"), ip});
        }
        m_locations = zoneReaderOrder(m_locations, ZoneName("a"));
        for (const EntryLocation &location : m_locations) {
            m_nodes.push_back(std::make_unique<RelayNode>(m_topic, location, m_port, true));
        }
        for (const auto &node : m_nodes) {
            node->setEntries(m_locations);
        }
        REQUIRE(waitUntil([this] { return allHave("0", 0); }, std::chrono::seconds(5)));
    }

    /** Tells the entries after the first one that the first one is gone. */
    void dropFirstEntry()
    {
        const std::vector<EntryLocation> others(m_locations.begin() + 1, m_locations.end());
        for (const auto &node : m_nodes) {
            if (node && node->location() != m_locations.front()) {
                node->setEntries(others);
            }
        }
    }

    /** @returns whether the entries from a rank on have read a value */
    bool allHave(const std::string &value, std::size_t firstRank) const
    {
        return std::all_of(m_nodes.begin() + static_cast<std::ptrdiff_t>(firstRank), m_nodes.end(),
                           [&](const auto &node) { return node->newest() == value; });
    }

    void run()
    {
        for (const auto &node : m_nodes) {
            if (node) {
                node->run();
            }
        }
        std::this_thread::sleep_for(milliseconds(1));
    }

    bool waitUntil(const std::function<bool()> &condition, Duration timeout)
    {
        const Instant end = monotonicNow() + timeout;
        while (!condition()) {
            if (monotonicNow() > end) {
                return false;
            }
            run();
        }
        return true;
    }

    void runFor(Duration time)
    {
        waitUntil([] { return false; }, time);
    }

    SharedTopic m_topic;
    std::uint16_t m_port = 0;
    std::vector<EntryLocation> m_locations;
    std::vector<std::unique_ptr<RelayNode>> m_nodes;
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

// CONFIG: all entries of the zone turned to the store at once and filled the link to it.
TEST_CASE_METHOD(TopicRelayFixture, "topic_zonesReaderIsCutOff_fewEntriesTurnToTheStore")
{
    startEntries(13);
    runFor(milliseconds(1000));
    m_nodes.front()->cutOff(true);
    m_topic.reads = 0;
    for (const std::string value : {"1", "2", "3"}) {
        m_topic.write(value);
        REQUIRE(waitUntil([&] { return allHave(value, 1); }, configBound));
        runFor(milliseconds(600));
    }
    REQUIRE(m_topic.reads <= 9);
}

// CONFIG: an entry that the store turns away stayed on its configuration while others read on.
TEST_CASE_METHOD(TopicRelayFixture, "topic_zonesReaderIsTurnedAway_readsFromTheOthers")
{
    startEntries(13);
    runFor(milliseconds(1000));
    m_nodes.front()->cutOff(true);
    runFor(configBound);
    m_topic.write("1");
    REQUIRE(waitUntil([this] { return allHave("1", 0); }, configBound));
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
            node->announce(m_topic.records.size());
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

} // namespace
} // namespace greengageseam
