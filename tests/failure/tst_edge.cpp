/**
 * Failure tests of an entry on the platform: callers, the store and backend servers misbehave in
 * each way that the entry has to handle.
 * labels: platform
 */
#include "edge/edge.h"
#include "endlessstandin.h"
#include "fleetstandin.h"
#include "net/clock.h"
#include "net/ticker.h"
#include "platform/platform.h"
#include "sidecar/loadreporter.h"
#include "testcaller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace greengageseam {
namespace {

constexpr auto conditionTimeout = std::chrono::seconds(10);
/** Remaining-Time-Ms of the requests below. */
constexpr auto callerPatience = std::chrono::milliseconds(2500);
/** Time after which callers abandon a stream of the engine below that has not begun. */
constexpr auto callerLeavesAfter = std::chrono::milliseconds(2000);
constexpr auto dripPause = std::chrono::milliseconds(100);
/** Bytes that an entry may take in before it gives an upstream attempt up. */
constexpr std::size_t maxBytesTaken = 8ULL * 1024 * 1024;

/** Start of a successful response, up to the first of its fields that tell how it ends. */
const std::string sealedHead =
        "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: seal-of-i-1\r\n";
const std::string chunkedHead = sealedHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string longHead = sealedHead + "Content-Length: 1000000000000\r\n\r\n";
const std::string slowHead = sealedHead + "Content-Length: 100000\r\n\r\n";
const std::string streamHead = sealedHead
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
          "17\r\nid: 1\ndata: i-1\n\nid: 2\n\r\n";

/** Runs an entry against a stand-in store and two stand-in backend servers. */
class EdgeFixture
{
protected:
    EdgeFixture()
        : m_log(LogLevel::Error, {}), m_store(m_context.get_executor(), m_log),
          m_first(m_context.get_executor(), "i-1", m_log),
          m_second(m_context.get_executor(), "i-2", m_log)
    {
        m_settings.instance = InstanceId("entry-1");
        m_settings.zone = ZoneName("a");
        m_settings.ip = "127.0.0.1";
        m_settings.frontAddress = freeAddress(m_context);
        m_settings.readyAddress = freeAddress(m_context);
        m_settings.controlAddress = freeAddress(m_context);
        m_settings.firstPort = portOf(freeAddress(m_context));
        m_settings.lastPort = portOf(freeAddress(m_context));
        m_settings.storeAddress = m_store.address();
    }

    /**
     * Writes a configuration with one route to the store.
     *
     * @param kind kind of the route
     * @param attempts upper limit of upstream attempts
     */
    void configure(const std::string &kind, int attempts, int version = 1)
    {
        m_store.put("keyed.op", "config",
                    R"({"version":)" + std::to_string(version)
                            + R"(,"routes":[{"name":"r","host":"a.example","pathPrefix":"/x/",)"
                            + R"("routeKind":")" + kind
                            + R"(","timeoutMs":3000,"targetLatencyMs":400,"priority":1,)"
                            + R"("service":"p","maxAttempts":)" + std::to_string(attempts)
                            + R"(,"streamResume":true}],"services":[{"name":"p"}],)"
                            + R"("tenants":[{"name":"ann","apiKeys":["key"]}]})");
    }

    /** Writes version 2 of the configuration, which adds the route /y/ and the key "other". */
    void configureMore()
    {
        const std::string route = R"("host":"a.example","routeKind":"idempotent","timeoutMs":3000,)"
                                  R"("targetLatencyMs":400,"service":"p","maxAttempts":2})";
        m_store.put("keyed.op", "config",
                    R"({"version":2,"routes":[{"name":"r","pathPrefix":"/x/",)" + route
                            + R"(,{"name":"s","pathPrefix":"/y/",)" + route
                            + R"(],"services":[{"name":"p"}],)"
                            + R"("tenants":[{"name":"ann","apiKeys":["key","other"]}]})");
    }

    /** Runs the tasks for longer than any read that was in progress may last. */
    void waitUntilViewIsOld()
    {
        m_context.run_for(m_settings.bounds.configApply + std::chrono::seconds(5));
    }

    bool isAskedToComeBack(const HttpRequest &request)
    {
        const CallerResponse received = sendRequest(request);
        UNSCOPED_INFO(request.target << " is answered " << received.status);
        return received.status == 503 && received.head.header("Retry-After");
    }

    /** Writes a configuration with one route to an engine, and an engine on version 1 of "m". */
    void configureEngine()
    {
        m_store.put("keyed.op", "config",
                    R"({"version":1,"routes":[{"name":"r","host":"a.example","pathPrefix":"/x/",)"
                    R"("routeKind":"streaming","timeoutMs":6000,"targetLatencyMs":400,)"
                    R"("service":"p","maxAttempts":1,"streamResume":true,"anonymous":true}],)"
                    R"("services":[{"name":"p","engine":{"slots":8,"step_ms":7,)"
                    R"("usual":{"prompt":9,"answer":9},"models":[{"name":"m"}]}}]})");
        m_store.put("keyed.servers", "i-1", m_first.engineListEntry("p", "m", 1));
    }

    void startEntry()
    {
        m_edge.emplace(m_context.get_executor(), m_settings,
                       makePlatformAdapter(m_context.get_executor(), m_settings), "secret", m_log);
        REQUIRE(m_edge->start());
    }

    /** Starts an entry and waits until it has its configuration and the list of replicas. */
    void startEntryWith(const std::string &kind, int attempts,
                        const std::vector<const ReplicaStandin *> &replicas)
    {
        configure(kind, attempts);
        for (const ReplicaStandin *replica : replicas) {
            m_store.put("keyed.servers", replica->id(), replica->listEntry("p", "ready"));
        }
        startEntry();
        REQUIRE(waitUntil(
                [this] { return httpGet(m_settings.readyAddress, "/-/readiness").status == 200; }));
    }

    /** Like startEntryWith(), with a server i-1 that sends endless bytes. */
    void startEntryWithEndless(const std::string &kind, int attempts, EndlessBytes bytes,
                               const std::vector<const ReplicaStandin *> &replicas)
    {
        m_endless.emplace(m_context.get_executor(), std::move(bytes));
        m_store.put("keyed.servers", "i-1",
                    R"({"service":"p","address":")" + m_endless->address().text()
                            + R"(","zone":"a","slots":8,"state":"ready","born":1})");
        startEntryWith(kind, attempts, replicas);
    }

    bool isEveryConnectionClosed()
    {
        return waitUntil(
                [this] { return m_endless->closedConnections() == m_endless->requests(); });
    }

    /** Starts an entry with one engine that runs version 1 of model m. */
    void startEntryWithEngine()
    {
        configureEngine();
        startEntry();
        REQUIRE(waitUntil(
                [this] { return httpGet(m_settings.readyAddress, "/-/readiness").status == 200; }));
    }

    /** Starts the reporter of the agent beside the backend servers; the entry gets another IP. */
    void startAgent()
    {
        m_settings.ip = "127.0.0.2";
        LoadReporterHooks hooks;
        hooks.onEntriesChanged = [](const std::vector<EntryLocation> &) { };
        hooks.onTargetVersion = [](const TargetVersion &) { };
        m_agent = std::make_shared<LoadReporter>(m_context.get_executor(), m_settings.zone,
                                                 ServiceName("pool"), hooks, m_log);
        REQUIRE(m_agent->start("127.0.0.1", agentPort()));
    }

    std::uint16_t agentPort() const { return static_cast<std::uint16_t>(m_settings.firstPort + 1); }

    /** Another entry tells the agent that a version of model m was named. */
    void tellAgent(std::uint64_t version)
    {
        DatagramSocket other(m_context.get_executor());
        REQUIRE(other.bind("127.0.0.3", 0));
        other.send(
                encodeDatagram(LoadSubscription {
                        InstanceId("entry-2"), ZoneName("b"), 0, {}, {{ModelName("m"), version}}}),
                {asio::ip::make_address("127.0.0.1"), agentPort()});
    }

    /** Pauses the entry, whose tasks run only while this thread runs them. */
    static void pause(Duration time) { std::this_thread::sleep_for(time); }

    /**
     * Starts an entry with an engine that the list names without weights, as while it loads them.
     */
    void startEntryWithEngineListedEmpty()
    {
        startAgent();
        configureEngine();
        m_store.put("keyed.servers", "i-1", m_first.listEntry("p", "ready"));
        startEntry();
        REQUIRE(waitUntil(
                [this] { return httpGet(m_settings.readyAddress, "/-/readiness").status == 200; }));
        m_context.run_for(std::chrono::milliseconds(500));
    }

    /** The agent reports that the engine has just loaded a version of its weights. */
    void reportLoaded(std::uint64_t version)
    {
        LoadReport report;
        report.backend = m_first.address();
        report.startedAtMs = 1;
        report.weightsVersion = version;
        m_agent->mailbox()->post(report);
        m_context.run_for(std::chrono::milliseconds(100));
    }

    /** Runs the tasks until a condition holds. @returns false if it does not hold in time */
    bool waitUntil(const std::function<bool()> &condition)
    {
        return runUntil(m_context, condition, conditionTimeout);
    }

    void beginShutDown()
    {
        asio::co_spawn(m_context, m_edge->shutDown(),
                       [this](const std::exception_ptr &) { m_isStopped = true; });
    }

    static HttpRequest request(const std::string &target, const std::string &key = "key")
    {
        return {"POST",
                target,
                {{"Host", "a.example"},
                 {"Attempt-Id", "id-1"},
                 {"Key", key},
                 {"Remaining-Time-Ms", "2500"}},
                "body"};
    }

    CallerResponse send(const Address &address, const std::string &text)
    {
        std::optional<CallerResponse> received;
        asio::co_spawn(m_context, exchange(m_context.get_executor(), address, text, received),
                       asio::detached);
        REQUIRE(waitUntil([&] { return received.has_value(); }));
        return *received;
    }

    CallerResponse sendRequest(const HttpRequest &request)
    {
        std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
        for (const HttpHeader &field : request.headers) {
            text += field.name + ": " + field.value + "\r\n";
        }
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n"
                + request.body;
        return send(m_settings.frontAddress, text);
    }

    /** Sends requests until one of them has reached the server that sends endless bytes. */
    CallerResponse sendToEndless()
    {
        CallerResponse received = sendRequest(request("/x/1"));
        while (m_endless->requests() == 0) {
            received = sendRequest(request("/x/1"));
        }
        return received;
    }

    /**
     * Sends a request whose body follows after a delay, and runs the tasks until the entry has
     * stopped, as its process does.
     *
     * @returns what the caller has received by then
     */
    CallerResponse sendUntilStopped(const std::string &body, Duration delay)
    {
        std::optional<CallerResponse> received;
        const std::string head = "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\n"
                                 "Key: key\r\nTransfer-Encoding: chunked\r\n\r\n";
        asio::co_spawn(m_context,
                       exchange(m_context.get_executor(), m_settings.frontAddress, head, received,
                                {body, delay}),
                       asio::detached);
        REQUIRE(waitUntil([this] { return m_isStopped; }));
        return received.value_or(CallerResponse());
    }

    CallerResponse httpGet(const Address &address, const std::string &target)
    {
        return send(address, "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    asio::io_context m_context;
    Log m_log;
    NodeSettings m_settings;
    StoreStandin m_store;
    ReplicaStandin m_first;
    ReplicaStandin m_second;
    std::optional<EndlessStandin> m_endless;
    std::optional<Edge> m_edge;
    bool m_isStopped = false;
    std::shared_ptr<LoadReporter> m_agent;
};

TEST_CASE_METHOD(EdgeFixture, "entry_healthyBackend_relaysSealAndForwardsAccount")
{
    startEntryWith("idempotent", 2, {&m_first});
    const CallerResponse received = sendRequest(request("/x/1"));
    REQUIRE(received.status == 200);
    REQUIRE(received.body == "answer of i-1");
    REQUIRE(received.head.header("Server-Seal") == "seal-of-i-1");
    REQUIRE(m_first.receivedRequests().front().header("Tenant-Name") == "ann");
    REQUIRE(m_first.receivedRequests().front().header("Expected-Instance") == "i-1");
    REQUIRE_FALSE(m_first.receivedRequests().front().header("Key"));
}

TEST_CASE_METHOD(EdgeFixture, "entry_unknownKeyOrRoute_isRejectedWithoutAnAttempt")
{
    startEntryWith("idempotent", 2, {&m_first});
    REQUIRE(sendRequest(request("/x/1", "other")).status == 401);
    REQUIRE(sendRequest(request("/y/1")).status == 404);
    REQUIRE(m_first.receivedRequests().empty());
}

TEST_CASE_METHOD(EdgeFixture, "entry_noConfigurationYet_isNotReadyAndResponds503")
{
    m_store.failWith(503);
    startEntry();
    REQUIRE(waitUntil(
            [this] { return httpGet(m_settings.readyAddress, "/-/readiness").status == 503; }));
    const CallerResponse received = sendRequest(request("/x/1"));
    REQUIRE(received.status == 503);
    REQUIRE(received.head.header("Retry-After"));
}

TEST_CASE_METHOD(EdgeFixture, "entry_storeUnavailable_servesWithLastKnownState")
{
    startEntryWith("idempotent", 2, {&m_first});
    m_store.failWith(503);
    m_context.run_for(std::chrono::milliseconds(900));
    REQUIRE(sendRequest(request("/x/1")).status == 200);
}

// A configuration that may be old must not be taken as proof that a route or key does not exist.
TEST_CASE_METHOD(EdgeFixture, "entry_storeFailsForLong_unknownRouteAndKeyAreNotDenied")
{
    startEntryWith("idempotent", 2, {&m_first});
    m_store.failWith(503);
    waitUntilViewIsOld();
    CHECK(sendRequest(request("/x/1")).status == 200);
    CHECK(isAskedToComeBack(request("/y/1")));
    CHECK(isAskedToComeBack(request("/x/1", "other")));
    m_store.failWith(200);
    CHECK(waitUntil([this] { return sendRequest(request("/y/1")).status == 404; }));
    CHECK(sendRequest(request("/x/1", "other")).status == 401);
}

TEST_CASE_METHOD(EdgeFixture, "entry_storeHangs_routeAndKeyAddedMeanwhileAreNotDenied")
{
    startEntryWith("idempotent", 2, {&m_first});
    m_store.hang(true);
    configureMore();
    m_context.run_for(m_settings.bounds.configApply);
    CHECK(sendRequest(request("/x/1")).status == 200);
    CHECK(isAskedToComeBack(request("/y/1")));
    CHECK(isAskedToComeBack(request("/x/1", "other")));
    m_store.hang(false);
    CHECK(waitUntil([this] { return sendRequest(request("/y/1")).status == 200; }));
    CHECK(sendRequest(request("/x/1", "other")).status == 200);
    CHECK(sendRequest(request("/z/1")).status == 404);
}

TEST_CASE_METHOD(EdgeFixture, "entry_newConfiguration_isAppliedWithinTheBound")
{
    startEntryWith("idempotent", 2, {&m_first});
    m_store.put("keyed.op", "config", R"({"version":9,"routes":[],"services":[]})");
    const Instant begin = monotonicNow();
    REQUIRE(waitUntil([this] { return sendRequest(request("/x/1")).status == 404; }));
    REQUIRE(monotonicNow() - begin < m_settings.bounds.configApply);
}

TEST_CASE_METHOD(EdgeFixture, "entry_backendDrains_receivesNoRequestAfterTheBound")
{
    startEntryWith("idempotent", 2, {&m_first});
    m_store.put("keyed.servers", "i-1", m_first.listEntry("p", "draining"));
    m_context.run_for(m_settings.bounds.drain);
    REQUIRE(sendRequest(request("/x/1")).status == 503);
    REQUIRE(m_first.receivedRequests().empty());
}

TEST_CASE_METHOD(EdgeFixture, "entry_idempotentRequestFails_isRetriedOnAnotherBackend")
{
    startEntryWith("idempotent", 2, {&m_first, &m_second});
    for (const ReplicaBehaviour manner :
         {ReplicaBehaviour::BreaksBeforeAnswer, ReplicaBehaviour::Fails,
          ReplicaBehaviour::AnswersUnsealed, ReplicaBehaviour::AnswersOtherRequest,
          ReplicaBehaviour::Rejects, ReplicaBehaviour::IsOtherServer}) {
        m_first.setBehaviour(manner);
        CAPTURE(static_cast<int>(manner));
        const CallerResponse received = sendRequest(request("/x/1"));
        REQUIRE(received.status == 200);
        REQUIRE(received.body == "answer of i-2");
    }
}

TEST_CASE_METHOD(EdgeFixture,
                 "entry_nonIdempotentRequestConnectionBreaks_runsOnceWithUnknownOutcome")
{
    startEntryWith("non_idempotent", 2, {&m_first, &m_second});
    m_first.setBehaviour(ReplicaBehaviour::BreaksBeforeAnswer);
    m_second.setBehaviour(ReplicaBehaviour::BreaksBeforeAnswer);
    const CallerResponse received = sendRequest(request("/x/1"));
    REQUIRE((received.status == 502 || received.status == 504));
    REQUIRE(m_first.runs() + m_second.runs() == 1);
}

TEST_CASE_METHOD(EdgeFixture, "entry_nonIdempotentRequestRejected_isReportedAsNotRun")
{
    startEntryWith("non_idempotent", 1, {&m_first});
    m_first.setBehaviour(ReplicaBehaviour::Rejects);
    const CallerResponse received = sendRequest(request("/x/1"));
    REQUIRE(received.status == 503);
    REQUIRE(received.head.header("Retry-After"));
    REQUIRE(m_first.runs() == 0);
}

TEST_CASE_METHOD(EdgeFixture,
                 "entry_nonIdempotentRequestUnanswered_failsAtDeadlineWithUnknownOutcome")
{
    startEntryWith("non_idempotent", 2, {&m_first, &m_second});
    m_first.setBehaviour(ReplicaBehaviour::Hangs);
    m_second.setBehaviour(ReplicaBehaviour::Hangs);
    const CallerResponse received = sendRequest(request("/x/1"));
    REQUIRE(received.status == 504);
    REQUIRE(m_first.runs() + m_second.runs() == 1);
}

TEST_CASE_METHOD(EdgeFixture, "entry_streamBreaksWithinAnEvent_resumesOnAnotherBackend")
{
    startEntryWith("streaming", 2, {&m_first, &m_second});
    m_first.setBehaviour(ReplicaBehaviour::BreaksWithinStream);
    m_second.setBehaviour(ReplicaBehaviour::Streams);
    CallerResponse received = sendRequest(request("/x/1"));
    while (received.head.header("Server-Seal") != "seal-of-i-1") {
        received = sendRequest(request("/x/1"));
    }
    REQUIRE(received.isComplete);
    REQUIRE(received.body
            == "id: 1\ndata: i-1\n\nid: 2\ndata: i-1\n\nid: 3\ndata: i-2\n\nid: 4\ndata: i-2\n\n");
}

TEST_CASE_METHOD(EdgeFixture, "entry_streamBreaksOnEveryBackend_isVisiblyIncomplete")
{
    startEntryWith("streaming", 2, {&m_first});
    m_first.setBehaviour(ReplicaBehaviour::BreaksWithinStream);
    const CallerResponse received = sendRequest(request("/x/1"));
    REQUIRE(received.status == 200);
    REQUIRE_FALSE(received.isComplete);
    REQUIRE(received.body == "id: 1\ndata: i-1\n\nid: 2\ndata: i-1\n\n");
}

TEST_CASE_METHOD(EdgeFixture, "entry_malformedOrOversizedRequest_isRejected")
{
    startEntryWith("idempotent", 2, {&m_first});
    REQUIRE(send(m_settings.frontAddress, "what is this\r\n\r\n").status == 400);
    REQUIRE(send(m_settings.frontAddress,
                 "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
                    .status
            == 400);
    REQUIRE(send(m_settings.frontAddress,
                 "GET /x/1 HTTP/1.1\r\nA: " + std::string(20'000, 'a') + "\r\n\r\n")
                    .status
            == 431);
    REQUIRE(send(m_settings.frontAddress,
                 "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 99999999\r\n\r\n")
                    .status
            == 413);
    REQUIRE(m_first.receivedRequests().empty());
}

TEST_CASE_METHOD(EdgeFixture,
                 "entry_requestNotStartedWhenNewWeightsBecomeDue_isAbortedBeforeTheBound")
{
    m_settings.bounds.weightsApply = std::chrono::seconds(3);
    startEntryWithEngine();
    m_first.setBehaviour(ReplicaBehaviour::Hangs);
    m_store.put("keyed.op", "version/m", R"({"model":"m","version":2})");
    const Instant named = monotonicNow();
    m_context.run_for(std::chrono::milliseconds(1000));
    const CallerResponse received = sendRequest(request("/x/1"));
    REQUIRE(m_first.runs() == 1);
    REQUIRE(received.status == 504);
    REQUIRE(monotonicNow() - named < m_settings.bounds.weightsApply);
}

// The list names an engine that has just loaded weights without them for up to a heartbeat.
TEST_CASE_METHOD(EdgeFixture, "entry_engineListedWithoutWeights_requestIsAbortedBeforeTheBound")
{
    m_settings.bounds.weightsApply = std::chrono::seconds(3);
    startEntryWithEngineListedEmpty();
    m_first.setBehaviour(ReplicaBehaviour::Hangs);
    m_store.put("keyed.op", "version/m", R"({"model":"m","version":2})");
    const Instant named = monotonicNow();
    m_context.run_for(std::chrono::milliseconds(1000));
    reportLoaded(1);
    const CallerResponse received = sendRequest(request("/x/1"));
    REQUIRE(m_first.runs() == 1);
    REQUIRE(received.status == 504);
    REQUIRE(monotonicNow() - named < m_settings.bounds.weightsApply);
}

// Requests at a frozen machine were still in progress there when their callers left.
TEST_CASE_METHOD(EdgeFixture, "entry_serverAndItsAgentAreSilent_callerIsAnsweredBeforeItLeaves")
{
    startEntryWithEngineListedEmpty();
    m_first.setBehaviour(ReplicaBehaviour::Hangs);
    reportLoaded(1);
    const Instant sentAt = monotonicNow();
    REQUIRE(sendRequest(request("/x/1")).status == 504);
    REQUIRE(m_first.runs() == 1);
    REQUIRE(monotonicNow() - sentAt < callerLeavesAfter);
}

TEST_CASE_METHOD(EdgeFixture, "entry_serverIsSilentAndItsAgentReports_requestGoesOn")
{
    startEntryWithEngineListedEmpty();
    m_first.setBehaviour(ReplicaBehaviour::Hangs);
    bool isAnswered = false;
    startTicker(m_context.get_executor(), std::chrono::milliseconds(100), [&] {
        LoadReport report;
        report.backend = m_first.address();
        report.startedAtMs = 1;
        report.weightsVersion = 1;
        m_agent->mailbox()->post(report);
        return !isAnswered;
    });
    m_context.run_for(std::chrono::milliseconds(300));
    const Instant sentAt = monotonicNow();
    const CallerResponse received = sendRequest(request("/x/1"));
    isAnswered = true;
    REQUIRE(received.status == 504);
    REQUIRE(monotonicNow() - sentAt > callerLeavesAfter);
}

TEST_CASE_METHOD(EdgeFixture, "entry_engineListedWithoutWeights_newestOnesAreExpected")
{
    startEntryWithEngineListedEmpty();
    m_store.put("keyed.op", "version/m", R"({"model":"m","version":2})");
    m_context.run_for(std::chrono::milliseconds(300));
    reportLoaded(2);
    sendRequest(request("/x/1"));
    REQUIRE(m_first.receivedRequests().back().header("Expected-Version") == "2");
}

// DENIED: proper requests got 404 and 401 from an entry that could not know their route or key yet.
TEST_CASE_METHOD(EdgeFixture, "entry_configurationMayBeOutOfDate_unknownRouteAndKeyAreNotDenied")
{
    startEntryWith("idempotent", 1, {&m_first});
    REQUIRE(sendRequest(request("/new/1")).status == 404);
    REQUIRE(sendRequest(request("/x/1", "new-key")).status == 401);
    m_store.failWith(503);
    m_context.run_for(m_settings.bounds.configApply);
    REQUIRE(sendRequest(request("/new/1")).status == 503);
    REQUIRE(sendRequest(request("/x/1", "new-key")).status == 503);
    REQUIRE(sendRequest(request("/x/1")).status == 200);
    m_store.failWith(200);
    REQUIRE(waitUntil([this] { return sendRequest(request("/new/1")).status == 404; }));
}

// A version that was announced before the start must not be dated by the entry's first read.
TEST_CASE_METHOD(EdgeFixture, "entry_firstReadLongAfterStart_requiresAnnouncedWeightsAtOnce")
{
    configureEngine();
    m_store.put("keyed.op", "version/m", R"({"model":"m","version":2})");
    m_store.failWith(503);
    startEntry();
    m_context.run_for(std::chrono::milliseconds(3000));
    m_store.failWith(200);
    REQUIRE(waitUntil(
            [this] { return httpGet(m_settings.readyAddress, "/-/readiness").status == 200; }));
    const CallerResponse received = sendRequest(request("/x/1"));
    REQUIRE(received.status == 503);
    REQUIRE(m_first.runs() == 0);
}

// An entry that was paused as weights were announced must not date them by when it woke up.
TEST_CASE_METHOD(EdgeFixture, "entry_pausedAsWeightsAreAnnounced_requiresThemAsIfItHadNotPaused")
{
    m_settings.bounds.weightsApply = std::chrono::seconds(3);
    startEntryWithEngine();
    m_context.run_for(std::chrono::milliseconds(500));
    m_store.put("keyed.op", "version/m", R"({"model":"m","version":2})");
    pause(std::chrono::milliseconds(2500));
    m_context.run_for(std::chrono::milliseconds(500));
    REQUIRE(sendRequest(request("/x/1")).status == 503);
    REQUIRE(m_first.runs() == 0);
}

// An entry that cannot read the operator's topic must learn of named weights from agents.
TEST_CASE_METHOD(EdgeFixture,
                 "entry_operatorTopicUnreadableAndAgentKnowsNewWeights_oldOnesGetNothing")
{
    m_settings.bounds.weightsApply = std::chrono::seconds(3);
    startAgent();
    startEntryWithEngine();
    m_store.failWith(503);
    m_context.run_for(std::chrono::milliseconds(500));
    REQUIRE(sendRequest(request("/x/1")).status == 200);
    tellAgent(2);
    m_context.run_for(m_settings.bounds.weightsApply);
    REQUIRE(sendRequest(request("/x/2")).status == 503);
    REQUIRE(m_first.receivedRequests().size() == 1);
}

// A version that agents have known for long must not be dated as if it had just been named.
TEST_CASE_METHOD(EdgeFixture, "entry_startsAndAgentHasLongKnownNewWeights_theyAreDueAsAfterARead")
{
    startAgent();
    m_agent->mailbox()->post(TargetVersionKnown {{ModelName("m"), 2}, Instant()});
    startEntryWithEngine();
    m_context.run_for(std::chrono::milliseconds(3300));
    REQUIRE(sendRequest(request("/x/1")).status == 503);
    REQUIRE(m_first.receivedRequests().empty());
}

TEST_CASE_METHOD(EdgeFixture, "entry_callerDisconnects_attemptIsAbortedWithinHalfASecond")
{
    startEntryWith("idempotent", 1, {&m_first});
    m_first.setBehaviour(ReplicaBehaviour::Hangs);
    asio::ip::tcp::socket caller(m_context);
    const auto endpoint = toOutcome([&] { return parseEndpoint(m_settings.frontAddress); });
    caller.connect(std::get<asio::ip::tcp::endpoint>(endpoint));
    const std::string text =
            "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nKey: key\r\n"
            "Content-Length: 0\r\n\r\n";
    caller.send(asio::buffer(text));
    REQUIRE(waitUntil([this] { return m_first.runs() == 1; }));
    caller.close();
    const Instant begin = monotonicNow();
    REQUIRE(waitUntil([this] {
        return httpGet(Address("127.0.0.1:" + std::to_string(m_settings.lastPort)), "/metrics")
                       .body.find("outcome=\"caller-gone\"")
                != std::string::npos;
    }));
    REQUIRE(monotonicNow() - begin < std::chrono::milliseconds(500));
}

TEST_CASE_METHOD(EdgeFixture, "entry_stoppedDuringARequest_completesItFirst")
{
    startEntryWith("streaming", 1, {&m_first});
    m_first.setBehaviour(ReplicaBehaviour::Streams);
    bool isStopped = false;
    asio::co_spawn(m_context, m_edge->shutDown(),
                   [&isStopped](const std::exception_ptr &) { isStopped = true; });
    m_context.run_for(std::chrono::milliseconds(50));
    REQUIRE(httpGet(m_settings.readyAddress, "/-/readiness").status == 503);
    const CallerResponse received = sendRequest(request("/x/1"));
    REQUIRE(received.isComplete);
    REQUIRE(received.head.header("Connection") == "close");
    REQUIRE(waitUntil([&] { return isStopped; }));
}

// A request in progress at the end of the grace period must not be cut without an answer.
TEST_CASE_METHOD(EdgeFixture, "entry_requestInProgressAtTheEndOfTheGrace_getsAFinalAnswer")
{
    const std::string kind = GENERATE(as<std::string>(), "idempotent", "non_idempotent");
    CAPTURE(kind);
    m_settings.bounds.grace = std::chrono::seconds(4);
    startEntryWith(kind, 2, {&m_first, &m_second});
    m_first.setBehaviour(ReplicaBehaviour::Hangs);
    m_second.setBehaviour(ReplicaBehaviour::Hangs);
    const Instant stoppedBy = monotonicNow() + m_settings.bounds.grace;
    beginShutDown();
    m_context.run_for(std::chrono::milliseconds(2000));
    const CallerResponse received = sendUntilStopped("4\r\nbody\r\n0\r\n\r\n", Duration());
    REQUIRE(monotonicNow() < stoppedBy);
    REQUIRE(received.status == 504);
    REQUIRE(received.isComplete);
}

// A request that is complete only after the entry stopped accepting must not be cut either.
TEST_CASE_METHOD(EdgeFixture, "entry_uploadEndsLateInTheGrace_isNotPassedOn")
{
    m_settings.bounds.grace = std::chrono::seconds(4);
    startEntryWith("non_idempotent", 2, {&m_first});
    m_first.setBehaviour(ReplicaBehaviour::Hangs);
    beginShutDown();
    m_context.run_for(std::chrono::milliseconds(2000));
    const CallerResponse received =
            sendUntilStopped("4\r\nbody\r\n0\r\n\r\n", std::chrono::milliseconds(1000));
    REQUIRE(received.status == 503);
    REQUIRE(received.isComplete);
    REQUIRE(received.head.header("Retry-After"));
    REQUIRE(m_first.receivedRequests().empty());
}

TEST_CASE_METHOD(EdgeFixture, "entry_idempotentRequestMeetsEndlessBytes_isRetriedOnAnotherBackend")
{
    const EndlessBytes bytes =
            GENERATE(EndlessBytes {"", "x"}, EndlessBytes {sealedHead, "A: b\r\n"},
                     EndlessBytes {sealedHead, "A: b\r\n", dripPause},
                     EndlessBytes {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
                     EndlessBytes {longHead, "x"}, EndlessBytes {slowHead, "x", dripPause},
                     EndlessBytes {chunkedHead, "x"}, EndlessBytes {chunkedHead, "4\r\nxxxx\r\n"},
                     EndlessBytes {chunkedHead, "1\r\nx\r\n", dripPause},
                     EndlessBytes {chunkedHead + "5;a=", "b"},
                     EndlessBytes {chunkedHead + "0\r\n", "A: b\r\n"});
    CAPTURE(bytes.opening, bytes.repeated, bytes.pause.count());
    startEntryWithEndless("idempotent", 2, bytes, {&m_second});
    const Instant begin = monotonicNow();
    const CallerResponse received = sendToEndless();
    REQUIRE(monotonicNow() - begin < callerPatience);
    REQUIRE(received.status == 200);
    REQUIRE(received.isComplete);
    REQUIRE(received.body == "answer of i-2");
    REQUIRE(isEveryConnectionClosed());
    REQUIRE(m_endless->mostBytesSent() < maxBytesTaken);
}

TEST_CASE_METHOD(EdgeFixture,
                 "entry_nonIdempotentRequestMeetsEndlessBytes_runsOnceWithUnknownOutcome")
{
    const EndlessBytes bytes = GENERATE(
            EndlessBytes {"", "x"}, EndlessBytes {sealedHead, "A: b\r\n"},
            EndlessBytes {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}, EndlessBytes {longHead, "x"},
            EndlessBytes {chunkedHead, "x"}, EndlessBytes {chunkedHead + "5;a=", "b"});
    CAPTURE(bytes.opening, bytes.repeated);
    startEntryWithEndless("non_idempotent", 2, bytes, {});
    const CallerResponse received = sendRequest(request("/x/1"));
    REQUIRE(received.status == 502);
    REQUIRE(received.isComplete);
    REQUIRE(m_endless->requests() == 1);
    REQUIRE(isEveryConnectionClosed());
    REQUIRE(m_endless->mostBytesSent() < maxBytesTaken);
}

TEST_CASE_METHOD(EdgeFixture,
                 "entry_nonIdempotentResponseDripsIn_failsAtDeadlineWithUnknownOutcome")
{
    const EndlessBytes bytes = GENERATE(EndlessBytes {sealedHead, "A: b\r\n", dripPause},
                                        EndlessBytes {slowHead, "x", dripPause},
                                        EndlessBytes {chunkedHead, "1\r\nx\r\n", dripPause});
    CAPTURE(bytes.opening, bytes.repeated);
    startEntryWithEndless("non_idempotent", 2, bytes, {});
    const Instant begin = monotonicNow();
    const CallerResponse received = sendRequest(request("/x/1"));
    REQUIRE(received.status == 504);
    REQUIRE(monotonicNow() - begin < callerPatience + std::chrono::milliseconds(500));
    REQUIRE(m_endless->requests() == 1);
    REQUIRE(isEveryConnectionClosed());
}

TEST_CASE_METHOD(EdgeFixture, "entry_rejectionWithEndlessBody_isReportedAtOnce")
{
    const std::string head = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: ";
    const EndlessBytes bytes = GENERATE_COPY(EndlessBytes {head + "1000000000000\r\n\r\n", "x"},
                                             EndlessBytes {head + "1000\r\n\r\n", "x", dripPause});
    CAPTURE(bytes.opening, bytes.pause.count());
    startEntryWithEndless("non_idempotent", 1, bytes, {});
    const Instant begin = monotonicNow();
    const CallerResponse received = sendRequest(request("/x/1"));
    REQUIRE(monotonicNow() - begin < std::chrono::seconds(1));
    REQUIRE(received.status == 503);
    REQUIRE(received.head.header("Retry-After"));
    REQUIRE(isEveryConnectionClosed());
    REQUIRE(m_endless->mostBytesSent() < maxBytesTaken);
}

TEST_CASE_METHOD(EdgeFixture, "entry_endlessBytesAfterTheResponse_relaysTheResponseAlone")
{
    const std::string head = sealedHead + "Content-Length: 4\r\n\r\nbody";
    startEntryWithEndless("non_idempotent", 1, {head, "x"}, {});
    const CallerResponse received = sendRequest(request("/x/1"));
    REQUIRE(received.status == 200);
    REQUIRE(received.isComplete);
    REQUIRE(received.body == "body");
    REQUIRE(isEveryConnectionClosed());
}

// The response may still follow on the connection, where it would be taken for another request's.
TEST_CASE_METHOD(EdgeFixture, "entry_responseBelongsToAnotherRequest_connectionIsNotReused")
{
    startEntryWithEndless("idempotent", 2,
                          {"HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nServer-Seal: s\r\n"
                           "Content-Length: 0\r\n\r\n",
                           ""},
                          {&m_second});
    REQUIRE(sendToEndless().body == "answer of i-2");
    m_context.run_for(std::chrono::milliseconds(100));
    REQUIRE(m_endless->closedConnections() == m_endless->requests());
}

TEST_CASE_METHOD(EdgeFixture, "entry_streamEventWithoutEnd_resumesOnAnotherBackend")
{
    const EndlessBytes bytes =
            GENERATE(EndlessBytes {streamHead, "5\r\ndata:\r\n"},
                     EndlessBytes {streamHead, "1\r\nx\r\n", dripPause},
                     EndlessBytes {streamHead + "5;a=", "b"}, EndlessBytes {streamHead, "x"});
    CAPTURE(bytes.opening, bytes.repeated, bytes.pause.count());
    startEntryWithEndless("streaming", 2, bytes, {&m_second});
    m_second.setBehaviour(ReplicaBehaviour::Streams);
    const Instant begin = monotonicNow();
    const CallerResponse received = sendToEndless();
    REQUIRE(monotonicNow() - begin < callerPatience);
    REQUIRE(received.isComplete);
    REQUIRE(received.body
            == "id: 1\ndata: i-1\n\nid: 2\ndata: i-2\n\nid: 3\ndata: i-2\n\nid: 4\ndata: i-2\n\n");
    REQUIRE(isEveryConnectionClosed());
    REQUIRE(m_endless->mostBytesSent() < maxBytesTaken);
}

TEST_CASE_METHOD(EdgeFixture, "entry_streamEventWithoutEndOnEveryBackend_isVisiblyIncomplete")
{
    const EndlessBytes bytes = GENERATE(EndlessBytes {streamHead, "5\r\ndata:\r\n"},
                                        EndlessBytes {streamHead, "1\r\nx\r\n", dripPause});
    CAPTURE(bytes.repeated);
    startEntryWithEndless("streaming", 2, bytes, {});
    const Instant begin = monotonicNow();
    const CallerResponse received = sendRequest(request("/x/1"));
    REQUIRE(monotonicNow() - begin < callerPatience + std::chrono::milliseconds(500));
    REQUIRE(received.status == 200);
    REQUIRE_FALSE(received.isComplete);
    REQUIRE(received.body == "id: 1\ndata: i-1\n\n");
    REQUIRE(isEveryConnectionClosed());
    REQUIRE(m_endless->mostBytesSent() < maxBytesTaken);
}

} // namespace
} // namespace greengageseam
