/**
 * Guards against entries that trust the platform's store after it has lost what it acknowledged: it
 * is away for a moment and comes back from an older copy, and its offsets are given out again. Each
 * test runs an entry as a process of its own.
 * labels: platform
 */
#include "edgeprocess.h"
#include "fleetstandin.h"
#include "net/clock.h"
#include "testcaller.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

constexpr auto conditionTimeout = std::chrono::seconds(15);
/** Time for which the store is away. */
constexpr auto awayTime = milliseconds(300);
/** Time in which an entry reads what the store has. */
constexpr auto readTime = milliseconds(1200);
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr int statusNotFound = 404;
const std::string operatorTopic = "keyed.op";
const std::string replicaTopic = "keyed.servers";

/** A store with an era, two backend servers in the zones a and b, and an entry in the zone a. */
class StoreHistoryFixture
{
protected:
    StoreHistoryFixture()
        : m_log(LogLevel::Error, {}), m_store(m_context.get_executor(), m_log),
          m_first(m_context.get_executor(), "i-1", m_log),
          m_second(m_context.get_executor(), "i-2", m_log)
    {
        m_store.setEra(1);
    }

    /** Writes a configuration with the routes /r1/ to /rN/ and the keys key-1 to key-N. */
    void configure(int version)
    {
        std::string routes;
        std::string keys;
        for (int n = 1; n <= version; ++n) {
            const std::string number = std::to_string(n);
            routes += std::string(n == 1 ? "" : ",") + R"({"name":"r)" + number
                    + R"(","host":"a.example","pathPrefix":"/r)" + number
                    + R"(/","routeKind":"idempotent","timeoutMs":3000,"targetLatencyMs":400,)"
                      R"("service":"p","maxAttempts":1})";
            keys += std::string(n == 1 ? "" : ",") + R"("key-)" + number + R"(")";
        }
        m_store.put(operatorTopic, "config",
                    R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
                            + R"(],"services":[{"name":"p"}],"tenants":[{"name":"ann","apiKeys":[)"
                            + keys + "]}]}");
    }

    void list(const ReplicaStandin &server, const std::string &zone,
              const std::string &state = "ready")
    {
        m_store.put(replicaTopic, server.id(),
                    R"({"service":"p","address":")" + server.address().text() + R"(","zone":")"
                            + zone + R"(","slots":8,"state":")" + state + R"(","born":1})");
    }

    void startEntry()
    {
        m_entry.emplace(m_context, m_store.address());
        REQUIRE(waitUntil([this] {
            const std::string request = "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
            return send(m_entry->readyAddress(), request) == statusOk;
        }));
    }

    /** The store is away, and comes back without the newest records of topics. */
    void loseRecords(const std::map<std::string, std::size_t> &lost)
    {
        m_store.failWith(statusUnavailable);
        runFor(awayTime);
        m_store.restoreOlderCopy(lost);
        m_store.failWith(statusOk);
    }

    /** @returns the status of a request to the route and with the key of a version */
    int statusOf(int version)
    {
        const std::string number = std::to_string(version);
        return send(m_entry->frontAddress(),
                    "GET /r" + number + "/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a-"
                            + std::to_string(++m_sent) + "\r\nKey: key-" + number
                            + "\r\nRemaining-Time-Ms: 2500\r\n\r\n");
    }

    bool isServed(int version)
    {
        return waitUntil([&] { return statusOf(version) == statusOk; });
    }

    /** Sends requests for some time. @returns whether all of them got the status */
    bool allGet(int version, int status, Duration time)
    {
        const Instant end = monotonicNow() + time;
        while (monotonicNow() < end) {
            if (statusOf(version) != status) {
                return false;
            }
        }
        return true;
    }

    int send(const Address &address, const std::string &text)
    {
        return requestStatus(m_context, address, text, conditionTimeout);
    }

    bool waitUntil(const std::function<bool()> &condition)
    {
        return runUntil(m_context, condition, conditionTimeout);
    }

    void runFor(Duration time) { m_context.run_for(time); }

    asio::io_context m_context;
    Log m_log;
    StoreStandin m_store;
    ReplicaStandin m_first;
    ReplicaStandin m_second;
    std::optional<EdgeProcess> m_entry;
    int m_sent = 0;
};

TEST_CASE_METHOD(StoreHistoryFixture, "configuration_storeHasLostVersions_nextOneIsInForce")
{
    list(m_first, "a");
    configure(1);
    configure(2);
    configure(3);
    startEntry();
    REQUIRE(isServed(3));
    loseRecords({{operatorTopic, 2}});
    configure(3);
    runFor(readTime);
    // It ends at the offset that the entry has read up to in the lost history.
    configure(4);
    REQUIRE(isServed(4));
}

TEST_CASE_METHOD(StoreHistoryFixture, "configuration_historyPassesTheLostOneUnread_isReadWhole")
{
    list(m_first, "a");
    configure(1);
    configure(2);
    startEntry();
    REQUIRE(isServed(2));
    m_store.failWith(statusUnavailable);
    runFor(awayTime);
    m_store.restoreOlderCopy({{operatorTopic, 1}});
    configure(3);
    m_store.put(operatorTopic, "version/m", R"({"model":"m","version":1})");
    m_store.failWith(statusOk);
    REQUIRE(isServed(3));
}

TEST_CASE_METHOD(StoreHistoryFixture, "configuration_storeLacksTheNewest_entryKeepsIt")
{
    list(m_first, "a");
    configure(1);
    configure(2);
    startEntry();
    REQUIRE(isServed(2));
    loseRecords({{operatorTopic, 1}});
    REQUIRE(allGet(2, statusOk, readTime));
}

TEST_CASE_METHOD(StoreHistoryFixture, "denial_entryStartsAfterTheLoss_waitsForWhatIsWrittenAgain")
{
    list(m_first, "a");
    configure(1);
    configure(2);
    m_store.restoreOlderCopy({{operatorTopic, 1}});
    startEntry();
    REQUIRE(allGet(2, statusUnavailable, readTime));
    configure(2);
    REQUIRE(isServed(2));
    REQUIRE(waitUntil([this] { return statusOf(3) == statusNotFound; }));
}

TEST_CASE_METHOD(StoreHistoryFixture, "denial_entryWasBehindAtTheLoss_waitsForWhatIsWrittenAgain")
{
    list(m_first, "a");
    configure(1);
    startEntry();
    REQUIRE(isServed(1));
    loseRecords({});
    runFor(readTime);
    REQUIRE(allGet(2, statusUnavailable, milliseconds(500)));
    configure(2);
    REQUIRE(isServed(2));
}

TEST_CASE_METHOD(StoreHistoryFixture, "evacuation_recordIsLost_staysInForceUntilItIsRemoved")
{
    list(m_first, "a");
    list(m_second, "b");
    configure(1);
    startEntry();
    m_store.put(operatorTopic, "evacuate/b", "{}");
    runFor(readTime);
    const std::size_t runs = m_second.runs();
    loseRecords({{operatorTopic, 1}});
    REQUIRE(allGet(1, statusOk, readTime));
    REQUIRE(m_second.runs() == runs);
    m_store.put(operatorTopic, "evacuate/b", "{}");
    m_store.put(operatorTopic, "evacuate/b", std::nullopt);
    m_store.put(replicaTopic, "i-1", std::nullopt);
    REQUIRE(waitUntil([&] { return statusOf(1) == statusOk && m_second.runs() > runs; }));
}

TEST_CASE_METHOD(StoreHistoryFixture, "servers_noticeOfLeavingIsLost_getsNothing")
{
    list(m_first, "a");
    list(m_second, "a");
    configure(1);
    startEntry();
    list(m_first, "a", "draining");
    runFor(readTime);
    const std::size_t runs = m_first.runs();
    loseRecords({{replicaTopic, 1}});
    REQUIRE(allGet(1, statusOk, readTime));
    REQUIRE(m_first.runs() == runs);
}

TEST_CASE_METHOD(StoreHistoryFixture, "servers_removalIsLost_getsNothing")
{
    list(m_first, "a");
    list(m_second, "a");
    configure(1);
    startEntry();
    m_store.put(replicaTopic, "i-1", std::nullopt);
    runFor(readTime);
    const std::size_t runs = m_first.runs();
    loseRecords({{replicaTopic, 1}});
    REQUIRE(allGet(1, statusOk, readTime));
    REQUIRE(m_first.runs() == runs);
    list(m_first, "a");
    m_store.put(replicaTopic, "i-2", std::nullopt);
    REQUIRE(waitUntil([&] { return statusOf(1) == statusOk && m_first.runs() > runs; }));
}

TEST_CASE_METHOD(StoreHistoryFixture, "servers_registrationIsLost_staysInUseUntilItIsWrittenAgain")
{
    configure(1);
    list(m_first, "a");
    startEntry();
    REQUIRE(isServed(1));
    loseRecords({{replicaTopic, 1}});
    REQUIRE(allGet(1, statusOk, readTime));
    list(m_first, "a");
    runFor(readTime);
    REQUIRE(allGet(1, statusOk, std::chrono::seconds(3)));
}

} // namespace
} // namespace greengageseam
