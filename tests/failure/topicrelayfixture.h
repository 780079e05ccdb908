/**
 * Fixture of tests in which the entries of a zone read a topic through each other, with a store
 * that may be cut off, slow or silent for each of them.
 */
#pragma once

#include "core/fleet/entryregistry.h"
#include "edge/relayedreader.h"
#include "edge/topicrelay.h"
#include "net/clock.h"
#include "net/ticker.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace greengageseam {

using std::chrono::milliseconds;

/** Maximum time until a new configuration is in force at all entries. */
constexpr Duration configBound = std::chrono::seconds(2);
/** Number of entries of a zone that may read a change from the store when its reader has failed. */
constexpr int maxReadersAfterFailure = 4;

/** Age from which an entry does not pass its view on. */
constexpr auto maxViewAge = configBound / 2;

/** The store's topic, shared by all processes of a test. */
struct SharedTopic
{
    std::vector<KeyedRecord> records;
    /** Offset of the first record that was not deleted. */
    std::size_t firstKept = 0;
    /** Number of reads that returned records. */
    int reads = 0;
    /** Era of the store. */
    std::uint64_t era = 0;

    TopicPosition end() const { return {records.size(), era}; }
    /** Begins the next era without the newest records. */
    void lose(std::size_t n)
    {
        records.resize(records.size() - n);
        ++era;
    }
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
                                               [this] { return m_reader->progress(); });
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
    /** Sets how long a slow read is silent after its last bytes, with its end still missing. */
    void stall(Duration silence) { m_silence = silence; }
    /** Tells the process that another zone has read the topic up to a position. */
    void announce(TopicPosition position) { m_follower->mailbox()->post(CatchUp {position}); }
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
            KeyedSnapshot snapshot {{}, m_topic.end(), monotonicNow()};
            if (!m_topic.records.empty()) {
                snapshot.records.push_back(m_topic.records.back());
            }
            co_return snapshot;
        };
        reader.tail = [this](TopicPosition from, Duration wait) -> Awaitable<Outcome<KeyedBatch>> {
            const Instant end = monotonicNow() + wait;
            asio::steady_timer timer(m_context);
            while (monotonicNow() < end && (m_isCutOff || m_topic.end() <= from)) {
                timer.expires_after(milliseconds(5));
                co_await timer.async_wait(asTuple);
            }
            if (m_isCutOff) {
                timer.expires_after(milliseconds(1000));
                co_await timer.async_wait(asTuple);
                co_return Failure {ErrorKind::PlatformUnavailable, "cut off"};
            }
            if (from.offset < m_topic.firstKept || from > m_topic.end()
                || from.era != m_topic.era) {
                co_return Failure {ErrorKind::NotFound, "the records were deleted"};
            }
            if (m_readTime > Duration::zero()) {
                m_isReceiving = true;
                timer.expires_after(m_readTime);
                co_await timer.async_wait(asTuple);
                m_isReceiving = false;
                timer.expires_after(m_silence);
                co_await timer.async_wait(asTuple);
            }
            KeyedBatch tail {{}, m_topic.end(), false, monotonicNow()};
            tail.records.assign(m_topic.records.begin() + static_cast<std::ptrdiff_t>(from.offset),
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
        hooks.onTail = [this](TopicPosition, const KeyedBatch &tail) { apply(tail.records); };
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
    Duration m_silence {};
    bool m_isReceiving = false;
    bool m_isFrozen = false;
    std::string m_newest;
    std::shared_ptr<TopicRelay> m_relay;
    std::shared_ptr<PeerListener> m_listener;
    std::shared_ptr<RelayedReader> m_reader;
    std::shared_ptr<TopicFollower> m_follower;
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

} // namespace greengageseam
