/**
 * Failure tests of entries whose requests share a prompt part that crashes every backend server
 * that begins to answer it. labels: platform
 */
#include "edge/edge.h"
#include "fleetstandin.h"
#include "net/clock.h"
#include "platform/platform.h"
#include "sidecar/loadreporter.h"
#include "testcaller.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

constexpr auto conditionTimeout = std::chrono::seconds(10);
/** Crashes that are closer to each other may have another cause in common. */
constexpr auto crashGap = std::chrono::milliseconds(300);
/** Time within which evidence must have reached all entries. */
constexpr auto sharingBound = std::chrono::seconds(3);
constexpr std::size_t servers = 6;
const std::string deadlyPart = "dead0a";

/** Runs entries that know each other through an agent, a stand-in store and stand-in engines. */
class PoisonFixture
{
protected:
    PoisonFixture()
        : m_log(LogLevel::Error, {}), m_store(m_context.get_executor(), m_log),
          m_firstPort(portOf(freeAddress(m_context))), m_lastPort(portOf(freeAddress(m_context)))
    {
        for (std::size_t n = 0; n < servers; ++n) {
            m_servers[n] = std::make_unique<ReplicaStandin>(m_context.get_executor(),
                                                            "i-" + std::to_string(n), m_log);
            m_servers[n]->setBehaviour(ReplicaBehaviour::Streams);
            m_servers[n]->crashOnPart(deadlyPart);
        }
        m_store.put("keyed.op", "config",
                    R"({"version":1,"routes":[{"name":"r","host":"a.example","pathPrefix":"/x/",)"
                    R"("routeKind":"streaming","timeoutMs":6000,"targetLatencyMs":400,)"
                    R"("service":"p","maxAttempts":1,"streamResume":true,"anonymous":true}],)"
                    R"("services":[{"name":"p","engine":{"slots":8,"step_ms":7,)"
                    R"("usual":{"prompt":9,"answer":9},"models":[{"name":"m"}]}}]})");
        LoadReporterHooks hooks;
        hooks.onEntriesChanged = [](const std::vector<EntryLocation> &) { };
        hooks.onTargetVersion = [](const TargetVersion &) { };
        m_agent = std::make_shared<LoadReporter>(m_context.get_executor(), ZoneName("a"),
                                                 ServiceName("pool"), hooks, m_log);
        REQUIRE(m_agent->start("127.0.0.1", static_cast<std::uint16_t>(m_firstPort + 1)));
    }

    void list(std::size_t server)
    {
        m_store.put("keyed.servers", m_servers[server]->id(),
                    m_servers[server]->engineListEntry("p", "m", 1));
    }

    void unlist(std::size_t server)
    {
        m_store.put("keyed.servers", m_servers[server]->id(), std::nullopt);
    }

    /** Starts an entry and waits until it is ready. @returns the address for callers */
    Address startEntry()
    {
        NodeSettings settings;
        const std::string ip = "127.0.0." + std::to_string(2 + m_entries.size());
        settings.instance = InstanceId("entry-" + ip);
        settings.zone = ZoneName("a");
        settings.ip = ip;
        settings.frontAddress = freeAddress(m_context);
        settings.readyAddress = freeAddress(m_context);
        settings.controlAddress = freeAddress(m_context);
        settings.firstPort = m_firstPort;
        settings.lastPort = m_lastPort;
        settings.storeAddress = m_store.address();
        m_entries.push_back(std::make_unique<Edge>(
                m_context.get_executor(), settings,
                makePlatformAdapter(m_context.get_executor(), settings), "secret", m_log));
        REQUIRE(m_entries.back()->start());
        REQUIRE(waitUntil([&] {
            return send(settings.readyAddress, "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                           .status
                    == 200;
        }));
        return settings.frontAddress;
    }

    bool waitUntil(const std::function<bool()> &condition)
    {
        return runUntil(m_context, condition, conditionTimeout);
    }

    /** Sends a request whose prompt has a shared beginning, the given part, and one of its own. */
    CallerResponse ask(const Address &entry, const std::string &part)
    {
        ++m_requests;
        return send(entry,
                    "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-"
                            + std::to_string(m_requests) + "\r\nRemaining-Time-Ms: 2500\r\n"
                            + "Prompt-Prefix: 5c1e:40," + part + ":100,"
                            + std::to_string(m_requests) + ":9\r\nContent-Length: 0\r\n\r\n");
    }

    CallerResponse send(const Address &address, const std::string &text)
    {
        std::optional<CallerResponse> received;
        asio::co_spawn(m_context, exchange(m_context.get_executor(), address, text, received),
                       asio::detached);
        REQUIRE(waitUntil([&] { return received.has_value(); }));
        return *received;
    }

    /** Lists one server alone, and has it crash at a request through the entry. */
    void crashAlone(std::size_t server, const Address &entry)
    {
        for (std::size_t n = 0; n < servers; ++n) {
            n == server ? list(n) : unlist(n);
        }
        const std::string body = "data: " + m_servers[server]->id() + "\n";
        REQUIRE(waitUntil([&] { return ask(entry, "bb").body.find(body) != std::string::npos; }));
        const std::size_t before = deadlyReceived();
        ask(entry, deadlyPart);
        REQUIRE(deadlyReceived() == before + 1);
        m_context.run_for(crashGap);
    }

    /** @returns the number of requests with the deadly part that have reached servers */
    std::size_t deadlyReceived() const
    {
        std::size_t sum = 0;
        for (const auto &server : m_servers) {
            sum += server->receivedWithPart(deadlyPart);
        }
        return sum;
    }

    asio::io_context m_context;
    Log m_log;
    StoreStandin m_store;
    std::uint16_t m_firstPort;
    std::uint16_t m_lastPort;
    std::array<std::unique_ptr<ReplicaStandin>, servers> m_servers;
    std::vector<std::unique_ptr<Edge>> m_entries;
    std::shared_ptr<LoadReporter> m_agent;
    std::size_t m_requests = 0;
};

// One part of a prompt crashed server after server, for as long as requests with it came.
TEST_CASE_METHOD(PoisonFixture,
                 "entry_promptPartCrashesEveryServer_requestsWithItStopReachingServers")
{
    for (std::size_t n = 0; n < servers; ++n) {
        list(n);
    }
    const Address entry = startEntry();
    REQUIRE(ask(entry, "bb").status == 200);
    for (int n = 0; n < 16; ++n) {
        ask(entry, deadlyPart);
        m_context.run_for(crashGap);
    }
    const std::size_t before = deadlyReceived();
    REQUIRE(before >= 3);
    for (int n = 0; n < 8; ++n) {
        const CallerResponse received = ask(entry, deadlyPart);
        CHECK(received.status == 503);
        CHECK(received.head.header("Retry-After"));
    }
    REQUIRE(deadlyReceived() == before);
    REQUIRE(ask(entry, "bb").status == 200);
    REQUIRE(ask(entry, "cc").status == 200);
}

// Requests with the part came at any machine, so that each of them saw too few crashes.
TEST_CASE_METHOD(PoisonFixture,
                 "entries_eachSeesTooFewCrashes_rejectThePartTogetherAlsoAfterAStart")
{
    list(0);
    const Address first = startEntry();
    const Address second = startEntry();
    m_context.run_for(std::chrono::milliseconds(700));
    crashAlone(0, first);
    crashAlone(1, second);
    crashAlone(2, first);
    list(3);
    m_context.run_for(sharingBound - crashGap);
    const std::size_t before = deadlyReceived();
    for (const Address &entry : {first, second}) {
        REQUIRE(ask(entry, "bb").status == 200);
        REQUIRE(ask(entry, deadlyPart).status == 503);
    }
    const Address third = startEntry();
    m_context.run_for(sharingBound);
    REQUIRE(ask(third, deadlyPart).status == 503);
    REQUIRE(ask(third, "bb").status == 200);
    REQUIRE(deadlyReceived() == before);
}

// A server that resets requests again and again is one grey server, whatever its requests share.
TEST_CASE_METHOD(PoisonFixture, "entry_serverResetsPartAgainAndAgain_partStaysInService")
{
    list(0);
    const Address entry = startEntry();
    for (int n = 0; n < 6; ++n) {
        ask(entry, deadlyPart);
        m_context.run_for(crashGap);
    }
    list(1);
    const std::size_t before = deadlyReceived();
    REQUIRE(waitUntil(
            [&] { return ask(entry, deadlyPart).status != 0 && deadlyReceived() > before; }));
}

} // namespace
} // namespace greengageseam
