/**
 * Failure tests of how an entry learns that a backend server leaves: the list, which other entries
 * read and relay, and what the server itself says.
 * labels: failure
 */
#include "edge/loadlistener.h"
#include "edge/storewatchers.h"
#include "net/clock.h"
#include "sidecar/loadreporter.h"
#include "testcaller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <set>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

/** Runs tasks in real time. */
class TaskFixture
{
protected:
    TaskFixture() : m_log(LogLevel::Error, {}) { }

    void runFor(Duration time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    /** Runs the tasks until a condition holds. @returns false if it does not hold in time */
    bool waitUntil(const std::function<bool()> &condition)
    {
        return runUntil(m_context, condition, std::chrono::seconds(10));
    }

    asio::io_context m_context;
    Log m_log;
};

/** A topic that several watchers read, each over its own link. They relay their deltas. */
class RelayingWatchersFixture : protected TaskFixture
{
protected:
    /** A watcher of one entry, as the topic and the other entries see it. */
    struct Watching
    {
        /** Time that the response to a read takes to arrive. */
        Duration responseTime {};
        int tailReads = 0;
        std::vector<ReplicaEntry> known;
        std::shared_ptr<ReplicaWatcher> watcher;
    };

    /** Starts a watcher. @param relies whether it expects another entry to read the list */
    std::shared_ptr<Watching> startWatcher(Duration responseTime, bool relies)
    {
        auto watching = std::make_shared<Watching>();
        watching->responseTime = responseTime;
        watching->watcher = std::make_shared<ReplicaWatcher>(
                m_context.get_executor(), delayedReader(watching.get()), hooksOf(watching.get()),
                pollInterval, m_log);
        watching->watcher->relyOnPeers(relies);
        watching->watcher->start();
        m_watching.push_back(watching);
        runFor(milliseconds(5));
        return watching;
    }

    /** @returns how long a watcher takes to learn that a backend server leaves */
    Duration timeToLearnOfLeaving(const Watching &watching)
    {
        const Instant start = monotonicNow();
        m_records.push_back({"i-1", "leaving"});
        const bool isLearned = waitUntil(
                [&] { return !watching.known.empty() && watching.known.front().isDraining; });
        REQUIRE(isLearned);
        return monotonicNow() - start;
    }

    /** The interval of an entry. */
    static constexpr auto pollInterval = milliseconds(600);
    /** The tightest bound on requests to a backend server that leaves. */
    static constexpr auto drainBound = milliseconds(2000);

    std::vector<KeyedRecord> m_records;
    std::vector<std::shared_ptr<Watching>> m_watching;

private:
    /** @returns a reader whose responses hold the topic as it was when the read started */
    TopicReader delayedReader(Watching *watching)
    {
        TopicReader reader;
        reader.snapshot = [this]() -> Awaitable<Outcome<KeyedSnapshot>> {
            co_return KeyedSnapshot {m_records, {m_records.size()}, monotonicNow()};
        };
        reader.tail = [this, watching](TopicPosition from,
                                       Duration) -> Awaitable<Outcome<KeyedBatch>> {
            ++watching->tailReads;
            KeyedBatch tail {{}, {m_records.size()}, false, monotonicNow()};
            tail.records.assign(m_records.begin() + static_cast<std::ptrdiff_t>(from.offset),
                                m_records.end());
            asio::steady_timer timer(m_context, watching->responseTime);
            co_await timer.async_wait(asTuple);
            co_return tail;
        };
        return reader;
    }

    ReplicaWatcherHooks hooksOf(Watching *watching)
    {
        ReplicaWatcherHooks hooks;
        hooks.decode = [](const ReplicaId &id, std::string_view bytes) -> Result<ReplicaEntry> {
            ReplicaEntry entry;
            entry.id = id;
            entry.service = ServiceName("p");
            entry.isDraining = bytes == "leaving";
            return entry;
        };
        hooks.onChanged = [watching](std::vector<ReplicaEntry> entries) {
            watching->known = std::move(entries);
        };
        hooks.onStoreRecovered = [] { };
        hooks.onDelta = [this, watching](const ReplicaListDelta &delta) {
            for (const auto &other : m_watching) {
                if (other.get() != watching) {
                    other->watcher->applyPeerDelta(delta);
                }
            }
        };
        return hooks;
    }
};

// What a slow reader relays is as old as its read is long. It must not count as read on arrival.
TEST_CASE_METHOD(RelayingWatchersFixture, "replicas_peerReadsSlowly_leavingIsLearnedWithinTheBound")
{
    m_records.push_back({"i-1", "ready"});
    startWatcher(milliseconds(1100), false);
    const auto follower = startWatcher(milliseconds(500), true);
    REQUIRE(waitUntil([&] { return follower->tailReads == 2; }));
    REQUIRE(timeToLearnOfLeaving(*follower) < drainBound);
}

// Entries that do not know of each other all read and relay, so that their peers are never silent.
TEST_CASE_METHOD(RelayingWatchersFixture,
                 "replicas_severalPeersReadSlowly_leavingIsLearnedWithinTheBound")
{
    constexpr int peers = 4;
    m_records.push_back({"i-1", "ready"});
    const auto follower = startWatcher(milliseconds(50), true);
    for (int n = 0; n < peers; ++n) {
        startWatcher(milliseconds(2400), false);
        runFor(milliseconds(750));
    }
    runFor(milliseconds(3000));
    REQUIRE(timeToLearnOfLeaving(*follower) < drainBound);
}

/** Runs two entries of a zone, which learn of each other from the agent. */
class ListRelayFixture : protected TaskFixture
{
protected:
    ListRelayFixture()
    {
        asio::ip::udp::socket probe(
                m_context, asio::ip::udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        m_port = probe.local_endpoint().port();
        probe.close();
        LoadReporterHooks hooks;
        hooks.onEntriesChanged = [](const std::vector<EntryLocation> &) { };
        hooks.onTargetVersion = [](const TargetVersion &) { };
        m_agent = std::make_shared<LoadReporter>(m_context.get_executor(), ZoneName("a"),
                                                 ServiceName("pool"), hooks, m_log);
        REQUIRE(m_agent->start("127.0.0.1", m_port));
        m_reader = startEntry("entry-1", "127.0.0.4", [](const ReplicaListDelta &) { });
        m_receiver = startEntry("entry-2", "127.0.0.5", [this](const ReplicaListDelta &delta) {
            m_received.push_back(delta);
        });
        REQUIRE(waitUntil([this] { return m_knowOther.size() == 2; }));
    }

    std::shared_ptr<LoadListener>
    startEntry(const std::string &instance, const std::string &ip,
               std::function<void(const ReplicaListDelta &delta)> onListDelta)
    {
        LoadListenerHooks hooks;
        hooks.onReport = [](const LoadReport &) { };
        hooks.onEntriesChanged = [this, ip](const std::vector<EntryLocation> &entries) {
            if (entries.size() == 2) {
                m_knowOther.insert(ip);
            }
        };
        hooks.onTargetVersion = [](const KnownTargetVersion &) { };
        hooks.onListDelta = std::move(onListDelta);
        auto entry = std::make_shared<LoadListener>(
                m_context.get_executor(), EntryLocation {InstanceId(instance), ZoneName("a"), ip},
                m_port, hooks, m_log);
        REQUIRE(entry->start());
        entry->mailbox()->post(AgentsUpdated {{{Address("127.0.0.1:80"), ZoneName("a")}}});
        return entry;
    }

    /** @returns a delta in which backend servers, as many as asked for, report that they leave */
    static ReplicaListDelta leaving(std::size_t count)
    {
        ReplicaListDelta delta {{0}, {count}, {}, {}};
        for (std::size_t n = 0; n < count; ++n) {
            ReplicaEntry entry;
            entry.id = ReplicaId("i-" + std::to_string(n));
            entry.service = ServiceName("pool");
            entry.address = Address("10.1.0.1:" + std::to_string(8000 + n));
            entry.zone = ZoneName("a");
            entry.isDraining = true;
            delta.changed.push_back(entry);
        }
        return delta;
    }

    /** @returns how many backend servers the receiver was told of */
    std::size_t receivedEntries() const
    {
        std::size_t n = 0;
        for (const ReplicaListDelta &delta : m_received) {
            n += delta.changed.size();
        }
        return n;
    }

    std::uint16_t m_port = 0;
    std::shared_ptr<LoadReporter> m_agent;
    std::shared_ptr<LoadListener> m_reader;
    std::shared_ptr<LoadListener> m_receiver;
    /** IP addresses of the entries that know both. */
    std::set<std::string> m_knowOther;
    std::vector<ReplicaListDelta> m_received;
};

TEST_CASE_METHOD(ListRelayFixture, "listDelta_fitsIntoADatagram_reachesTheOtherEntry")
{
    m_reader->mailbox()->post(RelayListDelta {leaving(5)});
    REQUIRE(waitUntil([this] { return receivedEntries() == 5; }));
}

// Many changes at once must reach the other entries as soon as one does.
TEST_CASE_METHOD(ListRelayFixture, "listDelta_largerThanADatagram_reachesTheOtherEntry")
{
    constexpr std::size_t count = 400;
    m_reader->mailbox()->post(RelayListDelta {leaving(count)});
    runFor(milliseconds(1000));
    REQUIRE(receivedEntries() == count);
    REQUIRE(m_received.back().next.offset == count);
}

/** A load balancer that knows one backend server. */
class LeavingStatementFixture
{
protected:
    LeavingStatementFixture() : m_balancer(LoadBalancerOptions {ZoneName("a")})
    {
        Service pool;
        pool.name = ServiceName("pool");
        m_balancer.setServices({{pool.name, pool}});
        m_replica.id = ReplicaId("a");
        m_replica.service = pool.name;
        m_replica.address = Address("127.0.0.1:80");
        m_replica.zone = ZoneName("a");
        m_replica.startedAtMs = 10;
        m_balancer.setReplicas({m_replica});
    }

    LoadBalancer m_balancer;
    ReplicaEntry m_replica;
};

// The list may drop a backend server for a moment, while its answer is on the way.
TEST_CASE_METHOD(LeavingStatementFixture, "leaving_saidWhileNotListed_holdsWhenListedAgain")
{
    m_balancer.setReplicas({});
    m_balancer.applyStatement(processOf(m_replica), {true, {}}, monotonicNow());
    m_balancer.setReplicas({m_replica});
    REQUIRE(m_balancer.isLeaving(m_replica.id));
}

} // namespace
} // namespace greengageseam
