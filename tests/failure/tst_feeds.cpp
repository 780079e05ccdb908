/**
 * Failure tests of the store watchers: reads that hang or fail, deltas from other entries that are
 * late or missed, and bursts of changes.
 * labels: failure
 */
#include "edge/storefeeds.h"
#include "net/clock.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

/** Simulates a topic in which each value is the name of a service. Runs the tasks in real time. */
class FeedFixture
{
protected:
    FeedFixture() : m_log(LogLevel::Error, {}) { }

    TopicReader reader()
    {
        TopicReader reader;
        reader.snapshot = [this]() -> Awaitable<Outcome<KeyedSnapshot>> {
            ++m_wholeReads;
            KeyedSnapshot snapshot;
            for (const auto &[key, value] : m_newest) {
                snapshot.records.push_back({key, value});
            }
            snapshot.end = m_records.size();
            co_return snapshot;
        };
        reader.tail = [this](std::uint64_t from, Duration) -> Awaitable<Outcome<KeyedTail>> {
            ++m_tailReads;
            if (m_isSilent) {
                asio::steady_timer timer(m_context, milliseconds(20'000));
                co_await timer.async_wait(asTuple);
            }
            if (m_isAway) {
                co_return Failure {ErrorKind::PlatformUnavailable, "away"};
            }
            KeyedTail tail {{}, m_records.size()};
            tail.records.assign(m_records.begin() + static_cast<std::ptrdiff_t>(from),
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

    void startReplicas()
    {
        ReplicaHooksOfFeed hooks;
        hooks.decode = [](const ReplicaId &id, std::string_view bytes) -> Result<ReplicaEntry> {
            ReplicaEntry entry;
            entry.id = id;
            entry.service = ServiceName(std::string(bytes));
            return entry;
        };
        hooks.changed = [this](std::vector<ReplicaEntry> entries) { m_known = std::move(entries); };
        hooks.regained = [this] { ++m_regained; };
        hooks.read = [this](const ListNews &news) { m_passedOn.push_back(news); };
        m_feed = std::make_shared<ReplicaFeed>(m_context.get_executor(), reader(), hooks,
                                               milliseconds(100), m_log);
        m_feed->start();
        runFor(milliseconds(50));
    }

    void runFor(Duration time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    asio::io_context m_context;
    Log m_log;
    std::vector<KeyedRecord> m_records;
    std::map<std::string, std::string> m_newest;
    /** Whether reads get no response. */
    bool m_isSilent = false;
    /** Whether reads fail. */
    bool m_isAway = false;
    int m_regained = 0;
    int m_wholeReads = 0;
    int m_tailReads = 0;
    std::vector<ReplicaEntry> m_known;
    std::vector<ListNews> m_passedOn;
    std::shared_ptr<ReplicaFeed> m_feed;
};

TEST_CASE_METHOD(FeedFixture, "replicas_noPeerToRelyOn_areReadAndRelayed")
{
    write("i-1", "p");
    startReplicas();
    write("i-2", "p");
    write("i-1", std::nullopt);
    runFor(milliseconds(250));
    REQUIRE(m_known.size() == 1);
    REQUIRE(m_known.front().id == ReplicaId("i-2"));
    REQUIRE(m_passedOn.front().from == 1);
    REQUIRE(m_passedOn.front().next == 3);
    REQUIRE(m_passedOn.front().removed == std::vector<ReplicaId> {ReplicaId("i-1")});
}

TEST_CASE_METHOD(FeedFixture, "replicas_peersRelayDeltas_areNotReadFromTheStore")
{
    write("i-1", "p");
    startReplicas();
    m_feed->relyOnOthers(true);
    m_feed->hear({1, 1, {}, {}});
    runFor(milliseconds(150));
    m_tailReads = 0;
    ListNews news {1, 2, {}, {}};
    news.changed.push_back({ReplicaId("i-2"), ServiceName("p")});
    m_feed->hear(news);
    runFor(milliseconds(600));
    REQUIRE(m_tailReads == 0);
    REQUIRE(m_known.size() == 2);
}

TEST_CASE_METHOD(FeedFixture, "replicas_peersGoSilent_areReadFromTheStore")
{
    startReplicas();
    m_feed->relyOnOthers(true);
    m_feed->hear({0, 0, {}, {}});
    write("i-1", "p");
    runFor(milliseconds(1500));
    REQUIRE(m_known.size() == 1);
}

TEST_CASE_METHOD(FeedFixture, "replicas_deltaWasMissed_areReadFromTheStore")
{
    startReplicas();
    m_feed->relyOnOthers(true);
    write("i-1", "p");
    for (int n = 0; n < 15; ++n) {
        m_feed->hear({5, 6, {}, {}});
        runFor(milliseconds(100));
    }
    REQUIRE(m_known.size() == 1);
}

// Empty deltas must count as reads of the list. Otherwise a removal after a long time without
// changes looks like a registration that lapsed during an outage, and the replica is kept.
TEST_CASE_METHOD(FeedFixture, "replicas_onlyEmptyDeltasForLong_removalIsApplied")
{
    write("i-1", "p");
    startReplicas();
    m_feed->relyOnOthers(true);
    for (int n = 0; n < 32; ++n) {
        m_feed->hear({1, 1, {}, {}});
        runFor(milliseconds(100));
    }
    ListNews news {1, 2, {}, {}};
    news.removed.emplace_back("i-1");
    m_feed->hear(news);
    runFor(milliseconds(50));
    REQUIRE(m_known.empty());
}

TEST_CASE_METHOD(FeedFixture, "topic_burstOfChanges_onlySnapshotsAreRead")
{
    FollowOptions options;
    options.name = "operator";
    options.pause = milliseconds(10);
    options.stormPause = milliseconds(200);
    std::string newest;
    FollowHooks hooks;
    hooks.whole = [&](const KeyedSnapshot &snapshot) {
        newest = snapshot.records.empty() ? "" : *snapshot.records.front().value;
    };
    hooks.added = [&](std::uint64_t, const KeyedTail &tail) {
        newest = tail.records.empty() ? newest : *tail.records.back().value;
    };
    const auto follower = std::make_shared<TopicFollower>(m_context.get_executor(), reader(),
                                                          options, hooks, m_log);
    follower->start();
    for (int n = 0; n < 20; ++n) {
        write("config", std::to_string(n));
        runFor(milliseconds(50));
    }
    REQUIRE(m_wholeReads >= 4);
    REQUIRE(m_wholeReads <= 8);
    runFor(milliseconds(300));
    REQUIRE(newest == "19");
}

// A connection that goes dead during a long poll must not delay new records until it times out.
TEST_CASE_METHOD(FeedFixture, "topic_readHangs_isRestartedWhenPeersHaveReadFurther")
{
    FollowOptions options;
    options.name = "operator";
    options.wait = std::chrono::seconds(25);
    std::string newest;
    FollowHooks hooks;
    hooks.whole = [](const KeyedSnapshot &) { };
    hooks.added = [&](std::uint64_t, const KeyedTail &tail) {
        newest = tail.records.empty() ? newest : *tail.records.back().value;
    };
    m_isSilent = true;
    const auto follower = std::make_shared<TopicFollower>(m_context.get_executor(), reader(),
                                                          options, hooks, m_log);
    follower->start();
    runFor(milliseconds(100));
    m_isSilent = false;
    write("config", "1");
    runFor(milliseconds(500));
    REQUIRE(newest.empty());
    follower->mailbox()->post(ReadNow {1});
    runFor(milliseconds(400));
    m_isSilent = true;
    REQUIRE(newest == "1");
}

TEST_CASE_METHOD(FeedFixture, "replicas_storeRecovers_isReported")
{
    startReplicas();
    m_isAway = true;
    runFor(milliseconds(300));
    REQUIRE(m_regained == 0);
    m_isAway = false;
    runFor(milliseconds(1200));
    REQUIRE(m_regained == 1);
}

} // namespace
} // namespace greengageseam
