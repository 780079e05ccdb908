/**
 * Guards against callers that make an entry process exceed its memory or its file descriptors.
 *
 * Each test sends a crowd of such callers to an entry with lowered limits. The checks do not depend
 * on the speed of the machine: the process lives, its peak memory and its open sockets stay below
 * the limits, it says that it is ready, and an ordinary request is answered.
 * labels: platform
 */
#include "crowd.h"
#include "edgeprocess.h"
#include "fleetstandin.h"
#include "net/clock.h"
#include "protocol/framecodec.h"
#include "scriptedstandin.h"
#include "testcaller.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

constexpr auto conditionTimeout = std::chrono::seconds(15);
/** Longer than a backend server may take in any test, and shorter than the route's timeout. */
constexpr auto slowAnswerDelay = std::chrono::seconds(3);
constexpr std::size_t maxMemoryMb = 64;
constexpr std::size_t maxDescriptors = 600;
/** Descriptors of the limit that are reserved for files. */
constexpr std::size_t fileDescriptors = 200;
constexpr std::size_t maxBodyBytes = 1024UL * 1024;
constexpr std::size_t answerBytes = 1000UL * 1000;
constexpr std::size_t requestsOfSilentReader = 4;
const std::string sealedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\n";
const std::string readinessRequest = "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n";

std::string headOf(const std::string &framing)
{
    return "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a-1\r\nKey: key\r\n"
           "Remaining-Time-Ms: 6000\r\n"
            + framing + "\r\n";
}

/** Runs an entry process with low limits against a stand-in store and a backend server. */
class CallerLimitsFixture
{
protected:
    explicit CallerLimitsFixture(std::size_t maxBody = maxBodyBytes)
        : m_log(LogLevel::Error, {}), m_store(m_context.get_executor(), m_log),
          m_script(std::make_shared<AnswerScript>()), m_server(m_context.get_executor(), m_script)
    {
        answerWith("done", Duration::zero());
        m_store.put("keyed.op", "config",
                    R"({"version":1,"routes":[{"name":"r","host":"a.example","pathPrefix":"/x/",)"
                    R"("routeKind":"idempotent","timeoutMs":6000,"targetLatencyMs":400,)"
                    R"("service":"p","maxAttempts":1}],"services":[{"name":"p"}],)"
                    R"("limits":{"maxHeaderBytes":16384,"headerTimeoutMs":3000,)"
                    R"("idleTimeoutMs":15000,"maxBodyBytes":)"
                            + std::to_string(maxBody)
                            + R"(},"tenants":[{"name":"ann","apiKeys":["key"]}]})");
        m_store.put("keyed.servers", "i-1",
                    R"({"service":"p","address":")" + m_server.address().text()
                            + R"(","zone":"a","slots":1000,"state":"ready","born":1})");
        m_entry.emplace(m_context, m_store.address(),
                        "limits.memoryMb=" + std::to_string(maxMemoryMb)
                                + "\nlimits.maxFds=" + std::to_string(maxDescriptors) + "\n");
        REQUIRE(waitUntil(
                [this] { return statusOf(m_entry->readyAddress(), readinessRequest) == 200; }));
    }

    void answerWith(const std::string &body, Duration delay)
    {
        ScriptedAnswer answer;
        answer.bytes = sealedHead + lengthField(body.size()) + "\r\n" + body;
        answer.delay = delay;
        m_script->answers = {answer};
    }

    /** Sends what a crowd has to send, and keeps its connections open. */
    void runCrowd(std::size_t callers, const Address &address, const CallerScript &script)
    {
        m_crowd.add(callers, address, script);
        const Instant end = monotonicNow() + crowdTime;
        while (!m_crowd.isDone() && monotonicNow() < end) {
            m_context.run_for(milliseconds(50));
            m_mostSockets = std::max(m_mostSockets, openSockets(m_entry->id()));
        }
    }

    void runCrowd(std::size_t callers, const CallerScript &script)
    {
        runCrowd(callers, m_entry->frontAddress(), script);
    }

    /** Requires that the entry serves while the crowd is connected, and has kept its limits. */
    void requireWithinLimits()
    {
        REQUIRE(m_entry->exitCode() == -1);
        CHECK(statusOf(m_entry->readyAddress(), readinessRequest) == 200);
        m_mostSockets = std::max(m_mostSockets, openSockets(m_entry->id()));
        answerWith("done", Duration::zero());
        CHECK(statusOf(m_entry->frontAddress(), headOf(lengthField(4)) + "body") == 200);
        m_mostSockets = std::max(m_mostSockets, openSockets(m_entry->id()));
        CHECK(peakMemoryKb(m_entry->id()) <= maxMemoryMb * 1024);
        CHECK(m_mostSockets <= maxDescriptors - fileDescriptors);
        REQUIRE(m_entry->exitCode() == -1);
    }

    /** Sends a request on a new connection. @returns the status; 0 without a response */
    int statusOf(const Address &address, const std::string &text)
    {
        return requestStatus(m_context, address, text, conditionTimeout);
    }

    /** Runs the tasks until a condition holds. @returns false if it does not hold in time */
    bool waitUntil(const std::function<bool()> &condition)
    {
        return runUntil(m_context, condition, conditionTimeout);
    }

    /** Sends requests on a new connection. @returns all that is received until it is closed */
    std::string answersTo(const std::string &text)
    {
        asio::ip::tcp::socket caller(m_context);
        const auto endpoint = toOutcome([&] { return parseEndpoint(m_entry->frontAddress()); });
        caller.connect(std::get<asio::ip::tcp::endpoint>(endpoint));
        caller.send(asio::buffer(text));
        std::string received;
        bool isClosed = false;
        asio::async_read(caller, asio::dynamic_buffer(received),
                         [&](const boost::system::error_code &, std::size_t) { isClosed = true; });
        waitUntil([&] { return isClosed; });
        boost::system::error_code ignored;
        caller.close(ignored);
        waitUntil([&] { return isClosed; });
        return received;
    }

    asio::io_context m_context;
    Log m_log;
    StoreStandin m_store;
    std::shared_ptr<AnswerScript> m_script;
    ScriptedStandin m_server;
    std::optional<EdgeProcess> m_entry;
    CallerCrowd m_crowd {m_context};
    std::size_t m_mostSockets = 0;
};

TEST_CASE_METHOD(CallerLimitsFixture, "entry_noCrowd_keepsItsLimits")
{
    requireWithinLimits();
}

TEST_CASE_METHOD(CallerLimitsFixture, "entry_largestBodyWithoutLoad_isServed")
{
    const std::string body(maxBodyBytes, 'b');
    REQUIRE(statusOf(m_entry->frontAddress(), headOf(lengthField(body.size())) + body) == 200);
    requireWithinLimits();
}

// Trailers are kept until the message is complete.
TEST_CASE_METHOD(CallerLimitsFixture, "entry_trailersWithoutEnd_keepsItsLimits")
{
    runCrowd(fewCallers,
             {headOf(chunkedField) + "4\r\nbody\r\n0\r\n", pieceOf("A: b\r\n"), maxBytesOfCaller});
    requireWithinLimits();
}

TEST_CASE_METHOD(CallerLimitsFixture, "entry_chunkExtensionsWithoutEnd_keepsItsLimits")
{
    runCrowd(fewCallers, {headOf(chunkedField) + "4;a=", pieceOf("b"), maxBytesOfCaller});
    requireWithinLimits();
}

TEST_CASE_METHOD(CallerLimitsFixture, "entry_headsWithoutEnd_keepsItsLimits")
{
    runCrowd(fewCallers, {"POST /x/1 HTTP/1.1\r\nA: ", pieceOf("b"), maxBytesOfCaller});
    requireWithinLimits();
}

TEST_CASE_METHOD(CallerLimitsFixture, "entry_bodiesAnnouncedOverTheLimit_keepsItsLimits")
{
    runCrowd(fewCallers, {headOf(lengthField(maxBytesOfCaller)), pieceOf("b"), maxBytesOfCaller});
    requireWithinLimits();
}

TEST_CASE_METHOD(CallerLimitsFixture, "entry_chunkedBodiesOverTheLimit_keepsItsLimits")
{
    runCrowd(fewCallers,
             {headOf(chunkedField), pieceOf("400\r\n" + std::string(1024, 'b') + "\r\n"),
              maxBytesOfCaller});
    requireWithinLimits();
}

// Each body is within the limit of a request, but all of them are not within that of the process.
TEST_CASE_METHOD(CallerLimitsFixture, "entry_manyBodiesStopShortOfTheirEnd_keepsItsLimits")
{
    runCrowd(manyCallers,
             {headOf(lengthField(maxBodyBytes)), pieceOf("b"), maxBodyBytes - missingBytes});
    requireWithinLimits();
}

TEST_CASE_METHOD(CallerLimitsFixture, "entry_manyLargeBodiesAtOnce_keepsItsLimits")
{
    answerWith("done", slowAnswerDelay);
    runCrowd(manyCallers, {headOf(lengthField(maxBodyBytes)), pieceOf("b"), maxBodyBytes});
    requireWithinLimits();
}

TEST_CASE_METHOD(CallerLimitsFixture, "entry_manyIdleConnections_keepsItsLimits")
{
    runCrowd(idleCallers, {});
    requireWithinLimits();
}

TEST_CASE_METHOD(CallerLimitsFixture, "entry_answersAreNotRead_keepsItsLimits")
{
    answerWith(std::string(answerBytes, 'a'), Duration::zero());
    std::string requests;
    for (std::size_t n = 0; n < requestsOfSilentReader; ++n) {
        requests += headOf(lengthField(4)) + "body";
    }
    runCrowd(manyCallers, {requests, "", 0});
    m_context.run_for(slowAnswerDelay);
    requireWithinLimits();
}

// Bodies behind a running request are part of no request that could be timed out or closed.
TEST_CASE_METHOD(CallerLimitsFixture, "entry_bodiesBehindRunningRequests_leaveRoomForOthers")
{
    answerWith("done", slowAnswerDelay);
    runCrowd(manyCallers,
             {headOf(lengthField(4)) + "body" + headOf(lengthField(maxBodyBytes)), pieceOf("b"),
              maxBodyBytes - missingBytes});
    answerWith("done", Duration::zero());
    const std::string body(maxBodyBytes / 2, 'b');
    CHECK(statusOf(m_entry->frontAddress(), headOf(lengthField(body.size())) + body) == 200);
    requireWithinLimits();
}

// The answer of a request that has run must not be lost because the next one is refused.
TEST_CASE_METHOD(CallerLimitsFixture, "entry_refusedRequestBehindARunningOne_bothAreAnswered")
{
    answerWith("done", milliseconds(500));
    const std::string received = answersTo(headOf(lengthField(4)) + "body"
                                           + headOf(lengthField(maxBodyBytes + 1)) + "body");
    CHECK(received.starts_with("HTTP/1.1 200 "));
    CHECK(received.find("HTTP/1.1 413 ") != std::string::npos);
}

/** An entry whose operator limits bodies in effect not at all. */
class UnlimitedBodyFixture : public CallerLimitsFixture
{
protected:
    UnlimitedBodyFixture() : CallerLimitsFixture(1'000'000'000'000'000) { }
};

TEST_CASE_METHOD(UnlimitedBodyFixture, "entry_chunkedBodyWithoutLimit_isServed")
{
    REQUIRE(statusOf(m_entry->frontAddress(), headOf(chunkedField) + "4\r\nbody\r\n0\r\n\r\n")
            == 200);
    REQUIRE(m_entry->exitCode() == -1);
}

TEST_CASE_METHOD(CallerLimitsFixture, "readinessPort_trailersWithoutEnd_keepsItsLimits")
{
    runCrowd(fewCallers, m_entry->readyAddress(),
             {headOf(chunkedField) + "4\r\nbody\r\n0\r\n", pieceOf("A: b\r\n"), maxBytesOfCaller});
    requireWithinLimits();
}

TEST_CASE_METHOD(CallerLimitsFixture, "metricsPort_trailersWithoutEnd_keepsItsLimits")
{
    runCrowd(fewCallers, m_entry->metricsAddress(),
             {headOf(chunkedField) + "4\r\nbody\r\n0\r\n", pieceOf("A: b\r\n"), maxBytesOfCaller});
    requireWithinLimits();
}

// Whoever reaches the port for links has not proved to be a process of the system.
TEST_CASE_METHOD(CallerLimitsFixture, "peerPort_largeFramesBeforeTheProof_keepsItsLimits")
{
    runCrowd(manyCallers, m_entry->peerAddress(),
             {frameHeader(maxFrameBytes), pieceOf("b"), maxFrameBytes - missingBytes});
    requireWithinLimits();
}

TEST_CASE_METHOD(CallerLimitsFixture, "peerPort_manySilentConnections_keepsItsLimits")
{
    runCrowd(idleCallers, m_entry->peerAddress(), {});
    requireWithinLimits();
}

} // namespace
} // namespace greengageseam
