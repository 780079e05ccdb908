/**
 * Failure tests of the store watchers: reads that hang or fail, deltas from other entries that are
 * late or missed, and bursts of changes.
 * labels: failure
 */
#include "edge/storewatchers.h"
#include "net/clock.h"
#include "net/endpoint.h"
#include "net/httpserver.h"
#include "platform/keyedstore.h"
#include "testcaller.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

/** Value of a record that no entry of a backend server can be decoded from. */
constexpr auto unreadable = "unreadable";

/** Simulates a topic in which each value is the name of a service. Runs the tasks in real time. */
class StoreWatcherFixture
{
protected:
    StoreWatcherFixture() : m_log(LogLevel::Error, {}) { }

    TopicReader reader()
    {
        TopicReader reader;
        reader.snapshot = [this]() -> Awaitable<Outcome<KeyedSnapshot>> {
            ++m_snapshotReads;
            KeyedSnapshot snapshot;
            for (const auto &[key, value] : m_newest) {
                snapshot.records.push_back({key, value});
            }
            snapshot.end.offset = m_records.size();
            snapshot.completeAsOf = monotonicNow();
            co_return snapshot;
        };
        reader.tail = [this](TopicPosition from, Duration) -> Awaitable<Outcome<KeyedBatch>> {
            ++m_tailReads;
            if (m_readsHang) {
                asio::steady_timer timer(m_context, milliseconds(20'000));
                co_await timer.async_wait(asTuple);
            }
            if (m_readTime > Duration::zero()) {
                asio::steady_timer timer(m_context, m_readTime);
                co_await timer.async_wait(asTuple);
            }
            if (m_readsFail) {
                co_return Failure {ErrorKind::PlatformUnavailable, "away"};
            }
            KeyedBatch tail {{}, {m_records.size()}, false, monotonicNow()};
            tail.records.assign(m_records.begin() + static_cast<std::ptrdiff_t>(from.offset),
                                m_records.end());
            co_return tail;
        };
        return reader;
    }

    void write(const std::string &key, std::optional<std::string> value)
    {
        m_records.push_back({key, value});
        if (value) {
            m_newest[key] = *value;
        } else {
            m_newest.erase(key);
        }
    }

    void startReplicaWatcher()
    {
        ReplicaWatcherHooks hooks;
        hooks.decode = [](const ReplicaId &id, std::string_view bytes) -> Result<ReplicaEntry> {
            if (bytes == unreadable) {
                return fail(ErrorKind::CorruptData, "unreadable");
            }
            ReplicaEntry entry;
            entry.id = id;
            entry.service = ServiceName(std::string(bytes));
            return entry;
        };
        hooks.onChanged = [this](std::vector<ReplicaEntry> entries) {
            m_known = std::move(entries);
        };
        hooks.onStoreRecovered = [this] { ++m_recoveries; };
        hooks.onDelta = [this](const ReplicaListDelta &delta) { m_relayedDeltas.push_back(delta); };
        m_watcher = std::make_shared<ReplicaWatcher>(m_context.get_executor(), reader(), hooks,
                                                     milliseconds(100), m_log);
        m_watcher->start();
        runFor(milliseconds(50));
    }

    /** @returns a watcher whose records are target versions of model m, which onTarget receives */
    std::shared_ptr<OperatorWatcher>
    makeVersionWatcher(std::function<void(const TargetVersion &target, Duration age)> onTarget)
    {
        OperatorHooks hooks;
        hooks.isConfig = [](std::string_view) { return false; };
        hooks.isTargetVersion = [](std::string_view) { return true; };
        hooks.decodeTargetVersion = [](std::string_view bytes) -> Result<TargetVersion> {
            return TargetVersion {ModelName("m"), std::stoull(std::string(bytes))};
        };
        hooks.onTargetVersion = [onTarget](const TargetVersion &target, bool, Duration age) {
            onTarget(target, age);
        };
        hooks.onPositionAdvanced = [this](TopicPosition next) { m_offset = next.offset; };
        FollowOptions options;
        options.name = "operator";
        options.pollInterval = milliseconds(20);
        return std::make_shared<OperatorWatcher>(m_context.get_executor(), reader(), options,
                                                 Duration::zero(), hooks, m_log);
    }

    /** @returns a watcher of evacuations, whose keys are names of zones */
    std::shared_ptr<OperatorWatcher> makeEvacuationWatcher(TopicReader reader)
    {
        OperatorHooks hooks;
        hooks.isConfig = [](std::string_view) { return false; };
        hooks.isTargetVersion = [](std::string_view) { return false; };
        hooks.evacuatedZone = [](std::string_view key) { return ZoneName(std::string(key)); };
        hooks.onEvacuationsChanged = [this](const std::set<ZoneName> &zones) { m_zones = zones; };
        hooks.onPositionAdvanced = [this](TopicPosition next) { m_offset = next.offset; };
        FollowOptions options;
        options.name = "operator";
        options.pollInterval = milliseconds(20);
        return std::make_shared<OperatorWatcher>(m_context.get_executor(), std::move(reader),
                                                 options, Duration::zero(), hooks, m_log);
    }

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
    std::vector<KeyedRecord> m_records;
    std::map<std::string, std::string> m_newest;
    /** Whether reads get no response. */
    bool m_readsHang = false;
    /** Time that a read of records takes. */
    Duration m_readTime {};
    /** Whether reads fail. */
    bool m_readsFail = false;
    int m_recoveries = 0;
    int m_snapshotReads = 0;
    int m_tailReads = 0;
    std::vector<ReplicaEntry> m_known;
    std::vector<ReplicaListDelta> m_relayedDeltas;
    std::shared_ptr<ReplicaWatcher> m_watcher;
    /** Offset up to which a watcher of the operator's topic has read. */
    std::uint64_t m_offset = 0;
    /** Zones that a watcher has reported as evacuated. */
    std::set<ZoneName> m_zones;
};

// What the newest configuration says is not known, so nothing may be denied by the one before it.
TEST_CASE_METHOD(StoreWatcherFixture, "config_newestIsUnreadable_isNotCurrentUntilTheNext")
{
    OperatorHooks hooks;
    hooks.isConfig = [](std::string_view) { return true; };
    hooks.isTargetVersion = [](std::string_view) { return false; };
    hooks.decodeConfig = [](std::string_view bytes) -> Result<FleetConfig> {
        if (bytes == unreadable) {
            return fail(ErrorKind::CorruptData, "unreadable");
        }
        FleetConfig config;
        config.version = std::stoull(std::string(bytes));
        return config;
    };
    std::uint64_t applied = 0;
    int confirmations = 0;
    hooks.onConfig = [&](const RouteTablePtr &table) { applied = table->config().version; };
    hooks.onCurrent = [&](Instant) { ++confirmations; };
    hooks.onPositionAdvanced = [this](TopicPosition next) { m_offset = next.offset; };
    FollowOptions options;
    options.name = "operator";
    options.pollInterval = milliseconds(20);
    const auto watcher = std::make_shared<OperatorWatcher>(m_context.get_executor(), reader(),
                                                           options, Duration::zero(), hooks, m_log);
    write("config", "1");
    watcher->start();
    REQUIRE(waitUntil([&] { return applied == 1 && confirmations > 0; }));
    write("config", unreadable);
    REQUIRE(waitUntil([this] { return m_offset == 2; }));
    confirmations = 0;
    runFor(milliseconds(200));
    REQUIRE(confirmations == 0);
    write("config", "3");
    REQUIRE(waitUntil([&] { return applied == 3 && confirmations > 0; }));
}

TEST_CASE_METHOD(StoreWatcherFixture, "replicas_noPeerToRelyOn_areReadAndRelayed")
{
    write("i-1", "p");
    startReplicaWatcher();
    write("i-2", "p");
    write("i-1", std::nullopt);
    runFor(milliseconds(250));
    REQUIRE(m_known.size() == 1);
    REQUIRE(m_known.front().id == ReplicaId("i-2"));
    REQUIRE(m_relayedDeltas.front().from.offset == 1);
    REQUIRE(m_relayedDeltas.front().next.offset == 3);
    REQUIRE(m_relayedDeltas.front().removed == std::vector<ReplicaId> {ReplicaId("i-1")});
}

// A server whose entry can no longer be read is left out by its reader and by those it tells.
TEST_CASE_METHOD(StoreWatcherFixture, "replicas_entryBecomesUnreadable_isRelayedAsRemoved")
{
    write("i-1", "p");
    startReplicaWatcher();
    write("i-1", unreadable);
    write("i-2", "p");
    runFor(milliseconds(250));
    REQUIRE(m_known.size() == 1);
    REQUIRE(m_known.front().id == ReplicaId("i-2"));
    REQUIRE(m_relayedDeltas.front().removed == std::vector<ReplicaId> {ReplicaId("i-1")});
}

TEST_CASE_METHOD(StoreWatcherFixture, "replicas_peersRelayDeltas_areNotReadFromTheStore")
{
    write("i-1", "p");
    startReplicaWatcher();
    m_watcher->relyOnPeers(1);
    m_watcher->applyPeerDelta({{1}, {1}, {}, {}});
    runFor(milliseconds(150));
    m_tailReads = 0;
    ReplicaListDelta delta {{1}, {2}, {}, {}};
    delta.changed.push_back({ReplicaId("i-2"), ServiceName("p")});
    m_watcher->applyPeerDelta(delta);
    runFor(milliseconds(600));
    REQUIRE(m_tailReads == 0);
    REQUIRE(m_known.size() == 2);
}

TEST_CASE_METHOD(StoreWatcherFixture, "replicas_peersGoSilent_areReadFromTheStore")
{
    startReplicaWatcher();
    m_watcher->relyOnPeers(1);
    m_watcher->applyPeerDelta({{0}, {0}, {}, {}});
    write("i-1", "p");
    runFor(milliseconds(1500));
    REQUIRE(m_known.size() == 1);
}

TEST_CASE_METHOD(StoreWatcherFixture, "replicas_deltaWasMissed_areReadFromTheStore")
{
    startReplicaWatcher();
    m_watcher->relyOnPeers(1);
    write("i-1", "p");
    for (int n = 0; n < 15; ++n) {
        m_watcher->applyPeerDelta({{5}, {6}, {}, {}});
        runFor(milliseconds(100));
    }
    REQUIRE(m_known.size() == 1);
}

// Empty deltas must count as reads of the list. Otherwise a removal after a long time without
// changes looks like a registration that lapsed during an outage, and the replica is kept.
TEST_CASE_METHOD(StoreWatcherFixture, "replicas_onlyEmptyDeltasForLong_removalIsApplied")
{
    write("i-1", "p");
    startReplicaWatcher();
    m_watcher->relyOnPeers(1);
    for (int n = 0; n < 32; ++n) {
        m_watcher->applyPeerDelta({{1}, {1}, {}, {}});
        runFor(milliseconds(100));
    }
    ReplicaListDelta delta {{1}, {2}, {}, {}};
    delta.removed.emplace_back("i-1");
    m_watcher->applyPeerDelta(delta);
    runFor(milliseconds(50));
    REQUIRE(m_known.empty());
}

// Only this read was late: the entry may have been missing for long.
TEST_CASE_METHOD(StoreWatcherFixture, "replicas_readIsLaterThanTheGrace_removedEntryIsGoneAtOnce")
{
    write("i-1", "p");
    startReplicaWatcher();
    m_readTime = milliseconds(5500);
    runFor(milliseconds(300));
    write("i-1", std::nullopt);
    m_readTime = Duration::zero();
    runFor(milliseconds(5600));
    REQUIRE(m_tailReads > 1);
    REQUIRE(m_known.empty());
}

TEST_CASE_METHOD(StoreWatcherFixture, "replicas_readsFailForLong_removedEntryIsKeptForTheGrace")
{
    write("i-1", "p");
    startReplicaWatcher();
    m_readsFail = true;
    runFor(milliseconds(5200));
    write("i-1", std::nullopt);
    m_readsFail = false;
    REQUIRE(waitUntil([this] { return m_recoveries == 1; }));
    REQUIRE(m_known.size() == 1);
    REQUIRE(waitUntil([this] { return m_known.empty(); }));
}

TEST_CASE_METHOD(StoreWatcherFixture, "topic_burstOfChanges_onlySnapshotsAreRead")
{
    FollowOptions options;
    options.name = "operator";
    options.pollInterval = milliseconds(10);
    options.burstInterval = milliseconds(200);
    std::string newest;
    FollowHooks hooks;
    hooks.onSnapshot = [&](const KeyedSnapshot &snapshot) {
        newest = snapshot.records.empty() ? "" : *snapshot.records.front().value;
    };
    hooks.onTail = [&](TopicPosition, const KeyedBatch &tail) {
        newest = tail.records.empty() ? newest : *tail.records.back().value;
    };
    const auto follower = std::make_shared<TopicFollower>(m_context.get_executor(), reader(),
                                                          options, hooks, m_log);
    follower->start();
    for (int n = 0; n < 20; ++n) {
        write("config", std::to_string(n));
        runFor(milliseconds(50));
    }
    REQUIRE(m_snapshotReads >= 4);
    REQUIRE(m_snapshotReads <= 8);
    runFor(milliseconds(300));
    REQUIRE(newest == "19");
}

// A connection that goes dead during a long poll must not delay new records until it times out.
TEST_CASE_METHOD(StoreWatcherFixture, "topic_readHangs_isRestartedWhenPeersHaveReadFurther")
{
    FollowOptions options;
    options.name = "operator";
    options.pollTimeout = std::chrono::seconds(25);
    std::string newest;
    FollowHooks hooks;
    hooks.onSnapshot = [](const KeyedSnapshot &) { };
    hooks.onTail = [&](TopicPosition, const KeyedBatch &tail) {
        newest = tail.records.empty() ? newest : *tail.records.back().value;
    };
    m_readsHang = true;
    const auto follower = std::make_shared<TopicFollower>(m_context.get_executor(), reader(),
                                                          options, hooks, m_log);
    follower->start();
    runFor(milliseconds(100));
    m_readsHang = false;
    write("config", "1");
    runFor(milliseconds(500));
    REQUIRE(newest.empty());
    follower->mailbox()->post(CatchUp {1});
    runFor(milliseconds(400));
    m_readsHang = true;
    REQUIRE(newest == "1");
}

// Each restart of a read sends the whole result again. On a shared link, reads that are restarted
// faster than they can finish displace each other until none finishes.
TEST_CASE_METHOD(StoreWatcherFixture, "topic_slowRead_isNotRestartedRepeatedly")
{
    FollowOptions options;
    options.name = "operator";
    options.pollTimeout = std::chrono::seconds(25);
    std::string newest;
    FollowHooks hooks;
    hooks.onSnapshot = [](const KeyedSnapshot &) { };
    hooks.onTail = [&](TopicPosition, const KeyedBatch &tail) {
        newest = tail.records.empty() ? newest : *tail.records.back().value;
    };
    m_readTime = milliseconds(2500);
    const auto follower = std::make_shared<TopicFollower>(m_context.get_executor(), reader(),
                                                          options, hooks, m_log);
    follower->start();
    runFor(milliseconds(100));
    write("config", "1");
    for (int n = 0; n < 80; ++n) {
        follower->mailbox()->post(CatchUp {1});
        runFor(milliseconds(50));
    }
    REQUIRE(newest == "1");
    REQUIRE(m_tailReads <= 4);
}

/** A store whose HTTP server accepts connections and requests, and never responds. */
class SilentStoreFixture : protected StoreWatcherFixture
{
protected:
    SilentStoreFixture() : m_acceptor(m_context)
    {
        REQUIRE(openAcceptor(m_acceptor, Address("127.0.0.1:0")));
        asio::co_spawn(m_context, acceptLoop(), asio::detached);
    }

    Awaitable<void> acceptLoop()
    {
        while (true) {
            auto [ec, socket] = co_await m_acceptor.async_accept(asTuple);
            if (ec) {
                co_return;
            }
            ++m_openConnections;
            asio::co_spawn(m_context, readUntilClosed(std::move(socket)), asio::detached);
        }
    }

    Awaitable<void> readUntilClosed(asio::ip::tcp::socket socket)
    {
        std::array<char, 1024> buf {};
        bool isOpen = true;
        while (isOpen) {
            auto [ec, n] = co_await socket.async_read_some(asio::buffer(buf), asTuple);
            isOpen = !ec;
        }
        --m_openConnections;
    }

    asio::ip::tcp::acceptor m_acceptor;
    int m_openConnections = 0;
};

// A read that was given up for a new one must not go on using the link to the store.
TEST_CASE_METHOD(SilentStoreFixture, "topic_readSuperseded_isCancelled")
{
    const KeyedStore store(m_context.get_executor(), addressOf(m_acceptor.local_endpoint()),
                           std::chrono::seconds(20));
    const TopicReader silent = store.topicReader("keyed.op");
    TopicReader both = reader();
    both.tail = silent.tail;
    both.cancel = silent.cancel;
    FollowOptions options;
    options.name = "operator";
    options.pollTimeout = std::chrono::seconds(25);
    FollowHooks hooks;
    hooks.onSnapshot = [](const KeyedSnapshot &) { };
    hooks.onTail = [](TopicPosition, const KeyedBatch &) { };
    const auto follower =
            std::make_shared<TopicFollower>(m_context.get_executor(), both, options, hooks, m_log);
    follower->start();
    runFor(milliseconds(100));
    REQUIRE(m_openConnections == 1);
    for (int n = 0; n < 3; ++n) {
        follower->mailbox()->post(RestartRead {});
        runFor(milliseconds(100));
    }
    REQUIRE(m_openConnections == 1);
}

// A key with characters that a query cannot carry must not end the reading of a list.
TEST_CASE_METHOD(StoreWatcherFixture, "snapshot_lastKeyOfAPageIsOdd_nextPageIsRead")
{
    const std::string odd = "a b&c=%41+\r\nd";
    const HttpHandler handler = [odd](HttpExchange &exchange) -> Awaitable<void> {
        const std::optional<std::string> after = exchange.request().parameter("after");
        boost::json::object page {{"hasMore", !after}, {"end", 2}, {"items", boost::json::array()}};
        if (!after || *after == odd) {
            const std::string key = after ? "e" : odd;
            page["items"].as_array().push_back(
                    boost::json::object {{"key", key}, {"value", "dg=="}, {"offset", 0}});
        }
        HttpResponse response;
        response.body = boost::json::serialize(page);
        co_await exchange.respond(std::move(response));
    };
    const auto server = std::make_shared<HttpServer>(m_context.get_executor(), HttpServerOptions(),
                                                     makeUnlimitedBudget(m_log), handler, m_log);
    const auto bound = toOutcome([&] { return server->listen(Address("127.0.0.1:0")); });
    server->start();
    const KeyedStore store(m_context.get_executor(), std::get<Address>(bound),
                           std::chrono::seconds(2));
    const TopicReader pages = store.topicReader("keyed.servers");
    std::optional<Outcome<KeyedSnapshot>> read;
    asio::co_spawn(m_context, pages.snapshot(),
                   [&read](const std::exception_ptr &, Outcome<KeyedSnapshot> snapshot) {
                       read = std::move(snapshot);
                   });
    REQUIRE(waitUntil([&] { return read.has_value(); }));
    REQUIRE(failureOf(*read) == nullptr);
    const auto &records = std::get<KeyedSnapshot>(*read).records;
    REQUIRE(records.size() == 2);
    REQUIRE(records.front().key == odd);
    REQUIRE(records.back().key == "e");
}

// A version that was announced while a read was hanging must not be dated by the read after it.
TEST_CASE_METHOD(StoreWatcherFixture, "targetVersion_readWasHanging_isDatedByTheReadBefore")
{
    Duration age {};
    write("version/m", "1");
    const auto watcher =
            makeVersionWatcher([&](const TargetVersion &, Duration oldest) { age = oldest; });
    watcher->start();
    REQUIRE(waitUntil([&] { return m_offset == 1; }));
    runFor(milliseconds(100));
    m_readsHang = true;
    runFor(milliseconds(100));
    write("version/m", "2");
    runFor(milliseconds(800));
    m_readsHang = false;
    watcher->restartRead();
    REQUIRE(waitUntil([&] { return m_offset == 2; }));
    REQUIRE(age >= milliseconds(800));
    REQUIRE(age < milliseconds(1500));
}

// An entry that wakes may hear of a version long after the time that it is given for catching up.
TEST_CASE_METHOD(StoreWatcherFixture, "targetVersion_slowReadAfterPause_isDatedByThePause")
{
    Duration age {};
    write("version/m", "1");
    const auto watcher =
            makeVersionWatcher([&](const TargetVersion &, Duration oldest) { age = oldest; });
    watcher->start();
    REQUIRE(waitUntil([&] { return m_offset == 1; }));
    m_readTime = milliseconds(3000);
    runFor(milliseconds(100));
    write("version/m", "2");
    const Instant named = monotonicNow();
    std::this_thread::sleep_for(milliseconds(800));
    REQUIRE(waitUntil([&] { return m_offset == 2; }));
    REQUIRE(age >= monotonicNow() - named - milliseconds(50));
}

// A read that returns a version late must not date it by its end, even without a pause.
TEST_CASE_METHOD(StoreWatcherFixture, "targetVersion_slowRead_isDatedByTheReadBefore")
{
    Duration age {};
    write("version/m", "1");
    const auto watcher =
            makeVersionWatcher([&](const TargetVersion &, Duration oldest) { age = oldest; });
    watcher->start();
    REQUIRE(waitUntil([&] { return m_offset == 1; }));
    m_readTime = milliseconds(1500);
    runFor(milliseconds(100));
    write("version/m", "2");
    const Instant named = monotonicNow();
    REQUIRE(waitUntil([&] { return m_offset == 2; }));
    REQUIRE(age >= monotonicNow() - named - milliseconds(50));
}

// What a peer sent before a pause must not be taken for its view after the pause.
TEST_CASE_METHOD(StoreWatcherFixture, "targetVersion_peerViewWaitedDuringPause_isDatedByThePause")
{
    Duration age {};
    write("version/m", "1");
    const auto watcher =
            makeVersionWatcher([&](const TargetVersion &, Duration oldest) { age = oldest; });
    watcher->start();
    REQUIRE(waitUntil([&] { return m_offset == 1; }));
    m_readTime = milliseconds(1000);
    runFor(milliseconds(100));
    write("version/m", "2");
    const Instant named = monotonicNow();
    std::this_thread::sleep_for(milliseconds(800));
    watcher->confirmPeerView(monotonicNow());
    REQUIRE(waitUntil([&] { return m_offset == 2; }));
    REQUIRE(age >= monotonicNow() - named - milliseconds(50));
}

// Two lost reads must not make a version look newer than one lost read does.
TEST_CASE_METHOD(StoreWatcherFixture, "targetVersion_twoReadsLostAfterPause_isDatedByThePause")
{
    Duration age {};
    write("version/m", "1");
    const auto watcher =
            makeVersionWatcher([&](const TargetVersion &, Duration oldest) { age = oldest; });
    watcher->start();
    REQUIRE(waitUntil([&] { return m_offset == 1; }));
    runFor(milliseconds(100));
    write("version/m", "2");
    const Instant named = monotonicNow();
    m_readsFail = true;
    m_readTime = milliseconds(900);
    std::this_thread::sleep_for(milliseconds(800));
    runFor(milliseconds(2200));
    m_readsFail = false;
    REQUIRE(waitUntil([&] { return m_offset == 2; }));
    REQUIRE(age >= monotonicNow() - named - milliseconds(50));
}

// Reads that fail here say nothing of others: a version may have been announced all the same.
TEST_CASE_METHOD(StoreWatcherFixture,
                 "targetVersion_announcedWhileReadsFail_isDatedByTheReadBefore")
{
    Duration age {};
    write("version/m", "1");
    const auto watcher =
            makeVersionWatcher([&](const TargetVersion &, Duration oldest) { age = oldest; });
    watcher->start();
    REQUIRE(waitUntil([&] { return m_offset == 1; }));
    runFor(milliseconds(100));
    m_readsFail = true;
    runFor(milliseconds(200));
    const Instant announcedAt = monotonicNow();
    runFor(milliseconds(1800));
    watcher->applyPeerTargetVersion({ModelName("m"), 2}, VersionSource::Agent, Duration());
    REQUIRE(age >= monotonicNow() - announcedAt);
}

// A process of which only the own reads failed must not keep a server that has left the list.
TEST_CASE_METHOD(StoreWatcherFixture, "replicas_onlyOwnReadsFailForLong_removedEntryIsGoneAtOnce")
{
    for (const std::string id : {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"}) {
        write(id, "p");
    }
    startReplicaWatcher();
    m_readsFail = true;
    write("i-1", std::nullopt);
    runFor(milliseconds(5200));
    m_readsFail = false;
    REQUIRE(waitUntil([this] { return m_recoveries == 1; }));
    REQUIRE(m_known.size() == 5);
}

// A server that has left must not stay in use until the next read of the list ends (review case 4).
TEST_CASE_METHOD(StoreWatcherFixture, "replicas_nextReadAfterAnOutageHangs_lapsedEntryIsGoneInTime")
{
    write("i-1", "p");
    write("i-2", "p");
    startReplicaWatcher();
    m_readsFail = true;
    write("i-1", std::nullopt);
    runFor(milliseconds(3200));
    m_readsFail = false;
    const Instant connectedAt = monotonicNow();
    REQUIRE(waitUntil([this] { return m_recoveries == 1; }));
    m_readsHang = true;
    REQUIRE(m_known.size() == 2);
    REQUIRE(waitUntil([this] { return m_known.size() == 1; }));
    REQUIRE(monotonicNow() - connectedAt < FleetBounds().reconnect);
}

// A read that hung has waited already: the next one must not wait again, so that little time passes
// between the return of the list and the end of the outage as the process sees it.
TEST_CASE_METHOD(StoreWatcherFixture, "replicas_readHangsAndFails_isFollowedByTheNextAtOnce")
{
    write("i-1", "p");
    startReplicaWatcher();
    m_readsFail = true;
    m_readTime = milliseconds(1000);
    m_tailReads = 0;
    runFor(milliseconds(10'800));
    REQUIRE(m_tailReads >= 10);
}

// A process that has known a version for longer must not be ignored for telling of it second.
TEST_CASE_METHOD(StoreWatcherFixture, "targetVersion_peerHasKnownItForLonger_isDatedByThePeer")
{
    Duration oldest {};
    write("version/m", "1");
    const auto watcher = makeVersionWatcher(
            [&](const TargetVersion &, Duration age) { oldest = std::max(oldest, age); });
    watcher->start();
    REQUIRE(waitUntil([&] { return m_offset == 1; }));
    runFor(milliseconds(100));
    oldest = Duration::zero();
    write("version/m", "2");
    REQUIRE(waitUntil([&] { return m_offset == 2; }));
    watcher->applyPeerTargetVersion({ModelName("m"), 2}, VersionSource::Agent, milliseconds(4000));
    REQUIRE(oldest >= milliseconds(4000));
}

// Another process may repeat a target version, or know an older one.
TEST_CASE_METHOD(StoreWatcherFixture, "targetVersion_passedOnByPeers_onlyNewerOnesCountOnce")
{
    std::vector<TargetVersion> applied;
    Duration lastAge {};
    write("version/m", "2");
    const auto watcher = makeVersionWatcher([&](const TargetVersion &named, Duration age) {
        applied.push_back(named);
        lastAge = age;
    });
    const auto pass = [&](std::uint64_t version) {
        watcher->applyPeerTargetVersion({ModelName("m"), version}, VersionSource::Agent,
                                        milliseconds(700));
    };
    pass(3);
    REQUIRE(applied.empty());
    watcher->start();
    REQUIRE(waitUntil([&] { return m_offset == 1; }));
    REQUIRE(applied == std::vector<TargetVersion> {{ModelName("m"), 2}});
    for (const std::uint64_t version : {3, 1, 3, 2}) {
        pass(version);
    }
    REQUIRE(applied.size() == 2);
    REQUIRE(applied.back().version == 3);
    REQUIRE(lastAge == milliseconds(700));
    write("version/m", "3");
    REQUIRE(waitUntil([&] { return m_offset == 2; }));
    REQUIRE(applied.size() == 2);
}

TEST_CASE_METHOD(StoreWatcherFixture, "evacuation_recordsOfATail_areAppliedInTheirOrder")
{
    write("a", "{}");
    const auto watcher = makeEvacuationWatcher(reader());
    watcher->start();
    REQUIRE(waitUntil([this] { return m_zones == std::set {ZoneName("a")}; }));
    write("b", "{}");
    REQUIRE(waitUntil([this] { return m_zones == std::set {ZoneName("a"), ZoneName("b")}; }));
    write("a", std::nullopt);
    write("b", std::nullopt);
    write("b", "{}");
    REQUIRE(waitUntil([this] { return m_zones == std::set {ZoneName("b")}; }));
}

// A snapshot does not name the keys that were removed.
TEST_CASE_METHOD(StoreWatcherFixture, "evacuation_snapshotLacksTheKey_isEnded")
{
    TopicReader truncated = reader();
    truncated.tail = [this](TopicPosition, Duration) -> Awaitable<Outcome<KeyedBatch>> {
        asio::steady_timer timer(m_context, milliseconds(50));
        co_await timer.async_wait(asTuple);
        co_return Failure {ErrorKind::NotFound, "records were deleted"};
    };
    write("a", "{}");
    const auto watcher = makeEvacuationWatcher(truncated);
    watcher->start();
    REQUIRE(waitUntil([this] { return m_zones == std::set {ZoneName("a")}; }));
    write("a", std::nullopt);
    REQUIRE(waitUntil([this] { return m_zones.empty(); }));
}

// A read that was given up may return after a newer one, with the newest records as of its time.
TEST_CASE_METHOD(StoreWatcherFixture, "evacuation_olderReadReturnsLate_doesNotUndoTheRemoval")
{
    TopicReader late = reader();
    late.tail = [this](TopicPosition from, Duration) -> Awaitable<Outcome<KeyedBatch>> {
        const bool isFirst = m_tailReads++ == 0;
        asio::steady_timer timer(m_context, milliseconds(isFirst ? 300 : 20));
        const KeyedBatch older {{{"a", "{}"}}, {2}, true, monotonicNow()};
        const KeyedBatch newer {{{"a", std::nullopt}}, {3}, true, monotonicNow()};
        co_await timer.async_wait(asTuple);
        co_return isFirst         ? older
                : from.offset < 3 ? newer
                                  : KeyedBatch {{}, {3}, true, monotonicNow()};
    };
    write("z", "{}");
    const auto watcher = makeEvacuationWatcher(late);
    watcher->start();
    runFor(milliseconds(30));
    watcher->restartRead();
    REQUIRE(waitUntil([this] { return m_offset == 3; }));
    runFor(milliseconds(500));
    REQUIRE(m_zones == std::set {ZoneName("z")});
}

TEST_CASE_METHOD(StoreWatcherFixture, "replicas_storeRecovers_isReported")
{
    startReplicaWatcher();
    m_readsFail = true;
    runFor(milliseconds(300));
    REQUIRE(m_recoveries == 0);
    m_readsFail = false;
    runFor(milliseconds(1200));
    REQUIRE(m_recoveries == 1);
}

} // namespace
} // namespace greengageseam
