/**
 * Guards against servers that send bytes without end: a call must fail in time, hold little memory,
 * and reset the connection.
 * labels: platform
 */
#include "endlessstandin.h"
#include "net/clock.h"
#include "net/httpclient.h"
#include "net/httpconnection.h"
#include "net/log.h"
#include "platform/enginecalls.h"
#include "platform/keyedstore.h"
#include "scriptedfleet.h"
#include "sidecar/replicaprobe.h"
#include "testcaller.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>

namespace greengageseam {
namespace {

/** Longer than any call below may take. */
constexpr auto conditionTimeout = std::chrono::seconds(8);
constexpr auto headTimeout = std::chrono::milliseconds(500);
constexpr auto dripPause = std::chrono::milliseconds(50);
constexpr auto storeTimeout = std::chrono::milliseconds(200);
/** A report of a backend server is far smaller than this, and so is a page of the store. */
constexpr std::size_t maxBytesSent = 12ULL * 1024 * 1024;
/** Bytes that a connection may take in before it has found that they are no head or chunk. */
constexpr std::size_t maxFramingBytesSent = 2ULL * 1024 * 1024;
constexpr auto callTimeout = std::chrono::milliseconds(300);
constexpr std::size_t maxCallBytes = 1024ULL * 1024;
/** Time within which a body whose reads have a deadline of callTimeout must have ended. */
constexpr auto maxBodyTime = std::chrono::seconds(3);
/** Time within which a stream must have ended whose request has 2.5 s. */
constexpr auto maxStreamTime = std::chrono::milliseconds(4500);
/** Bytes that the sockets of a caller and of a backend server hold together. */
constexpr std::size_t maxSocketBytes = 32ULL * 1024 * 1024;
constexpr auto unreadTime = std::chrono::milliseconds(1000);
/** More pages than a topic has. */
constexpr std::size_t maxPagesRead = 2000;
constexpr std::size_t maxSnapshotBytesRead = 64ULL * 1024 * 1024;

const std::string okLine = "HTTP/1.1 200 OK\r\n";
const std::string chunkedHead = okLine + "Transfer-Encoding: chunked\r\n\r\n";
const std::string chunk = "400\r\n" + std::string(0x400, 'x') + "\r\n";
const std::string longHead = okLine + "Content-Length: 1000000000000\r\n\r\n";
const std::string slowHead = okLine + "Content-Length: 100000\r\n\r\n";
const std::string eventsHead = okLine
        + "Attempt-Id: ATTEMPT\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n";
const std::string eventChunk = "9\r\ndata: x\n\n\r\n";

/** @returns a page of a topic after which the store has another one, with its head */
std::string storePage(std::size_t valueBytes)
{
    const std::string page = R"({"items":[{"key":"k","value":")" + std::string(valueBytes, 'A')
            + R"("}],"end":1,"hasMore":true})";
    return okLine + "Connection: close\r\nContent-Length: " + std::to_string(page.size())
            + "\r\n\r\n" + page;
}

/** Runs the calls of this process against a server that sends bytes without end. */
class EndlessBytesFixture
{
protected:
    EndlessBytesFixture() : m_server(m_context.get_executor(), {}) { }

    /** Runs the tasks until a condition holds. @returns false if it does not hold in time */
    bool waitUntil(const std::function<bool()> &condition)
    {
        return runUntil(m_context, condition, conditionTimeout);
    }

    /** Awaits a result. It is empty if there is none in time, or before the task is given up. */
    template <typename T>
    std::optional<T> resultOf(
            std::function<Awaitable<T>()> task,
            const std::function<bool()> &isGivenUp = [] { return false; })
    {
        const auto result = std::make_shared<std::optional<T>>();
        asio::co_spawn(
                m_context,
                [task = std::move(task), result]() -> Awaitable<void> {
                    T value = co_await task();
                    result->emplace(std::move(value));
                },
                asio::detached);
        waitUntil([&] { return result->has_value() || isGivenUp(); });
        return *result;
    }

    /** Connects and sends a request. */
    Awaitable<HttpConnectionPtr> sendRequest(std::string method)
    {
        const auto endpoint = toOutcome([this] { return parseEndpoint(m_server.address()); });
        const auto connection = std::make_shared<HttpConnection>(m_context.get_executor());
        co_await connection->connect(std::get<asio::ip::tcp::endpoint>(endpoint), headTimeout);
        std::string text = method + " / HTTP/1.1\r\nHost: a\r\n\r\n";
        co_await connection->send(std::move(text), headTimeout);
        co_return connection;
    }

    /** Sends a request and reads the head of the response; then drops the connection. */
    Awaitable<HttpReadResult<HttpResponseHead>> readHead()
    {
        std::string method = "GET";
        const HttpConnectionPtr connection = co_await sendRequest(std::move(method));
        co_return co_await connection->readHead(false, headTimeout);
    }

    /** Sends a request for a head alone, and reads the response with its body. */
    Awaitable<HttpReadResult<std::string>> readBodyAfterHead()
    {
        std::string method = "HEAD";
        const HttpConnectionPtr connection = co_await sendRequest(std::move(method));
        co_await connection->readHead(true, headTimeout);
        co_return co_await connection->readBody(1, headTimeout);
    }

    std::optional<HttpReadResult<HttpResponseHead>> headOf(EndlessBytes bytes)
    {
        m_server.setBytes(std::move(bytes));
        return resultOf<HttpReadResult<HttpResponseHead>>([this] { return readHead(); });
    }

    std::optional<Outcome<ReplicaReport>> reportOf(EndlessBytes bytes)
    {
        m_server.setBytes(std::move(bytes));
        return resultOf<Outcome<ReplicaReport>>(
                makeReplicaHooks(m_context.get_executor(), m_server.address()).readReport);
    }

    std::optional<Outcome<KeyedSnapshot>> snapshotOf(EndlessBytes bytes)
    {
        m_server.setBytes(std::move(bytes));
        const KeyedStore store(m_context.get_executor(), m_server.address(), storeTimeout);
        return resultOf<Outcome<KeyedSnapshot>>(store.topicReader("keyed.op").snapshot);
    }

    std::optional<Outcome<HttpResponse>> callOf(EndlessBytes bytes)
    {
        m_server.setBytes(std::move(bytes));
        return resultOf<Outcome<HttpResponse>>([this] {
            return callHttp(m_context.get_executor(), m_server.address(), {"GET", "/", {}, {}},
                            callTimeout, maxCallBytes);
        });
    }

    /** Reads a body with a deadline for all of it. @returns whether it ended as a failure */
    Awaitable<bool> readCallUntilDeadline()
    {
        HttpCall call(m_context.get_executor());
        const HttpRequest request {"GET", "/", {}, {}};
        co_await call.start(m_server.address(), request, callTimeout);
        const Instant end = monotonicNow() + callTimeout;
        while (true) {
            const Duration left = std::max<Duration>(end - monotonicNow(), Duration::zero());
            const Outcome<HttpBodyPart> part = co_await call.readBodyPart(left);
            if (failureOf(part) != nullptr) {
                co_return true;
            }
            if (std::get<HttpBodyPart>(part).isLast) {
                co_return false;
            }
        }
    }

    /** Reads a body with a deadline for all of it, and lets other tasks run after each part. */
    Awaitable<HttpIoStatus> readConnectionUntilDeadline()
    {
        std::string method = "GET";
        const HttpConnectionPtr connection = co_await sendRequest(std::move(method));
        co_await connection->readHead(false, headTimeout);
        const Instant end = monotonicNow() + callTimeout;
        while (true) {
            const HttpReadResult<std::string> part =
                    co_await connection->readBodyPart(end - monotonicNow());
            if (part.ioStatus != HttpIoStatus::Done || part.value.empty()) {
                co_return part.ioStatus;
            }
            co_await asio::post(m_context, asTuple);
        }
    }

    /** Makes a call that must fail because the body of its response is too long. */
    template <typename T>
    void requireSizeLimit(std::function<Awaitable<Outcome<T>>()> call)
    {
        m_server.setBytes({chunkedHead, chunk});
        const auto result = resultOf<Outcome<T>>(std::move(call));
        REQUIRE(result);
        REQUIRE(failureOf(*result) != nullptr);
        REQUIRE(isEveryConnectionClosed());
        REQUIRE(m_server.mostBytesSent() < maxBytesSent);
    }

    bool isEveryConnectionClosed()
    {
        return waitUntil([this] { return m_server.closedConnections() == m_server.requests(); });
    }

    asio::io_context m_context;
    EndlessStandin m_server;
};

TEST_CASE_METHOD(EndlessBytesFixture, "connection_endlessBytesInsteadOfHead_areMalformed")
{
    const EndlessBytes bytes =
            GENERATE(EndlessBytes {"", "x"}, EndlessBytes {"HTTP/1.1 200 ", "x"},
                     EndlessBytes {okLine, "A: b\r\n"}, EndlessBytes {okLine + "A: ", "b"});
    CAPTURE(bytes.opening, bytes.repeated);
    const auto head = headOf(bytes);
    REQUIRE(head);
    REQUIRE(head->ioStatus == HttpIoStatus::Malformed);
    REQUIRE(isEveryConnectionClosed());
    REQUIRE(m_server.mostBytesSent() < maxFramingBytesSent);
}

TEST_CASE_METHOD(EndlessBytesFixture, "connection_headDripsIn_timesOut")
{
    const auto head = headOf({okLine, "A: b\r\n", dripPause});
    REQUIRE(head);
    REQUIRE(head->ioStatus == HttpIoStatus::TimedOut);
    REQUIRE(isEveryConnectionClosed());
}

TEST_CASE_METHOD(EndlessBytesFixture, "connection_endlessInterimHeads_areMalformed")
{
    const auto head = headOf({"", "HTTP/1.1 103 Early Hints\r\n\r\n"});
    REQUIRE(head);
    REQUIRE(head->ioStatus == HttpIoStatus::Malformed);
    REQUIRE(isEveryConnectionClosed());
    REQUIRE(m_server.mostBytesSent() < maxFramingBytesSent);
}

TEST_CASE_METHOD(EndlessBytesFixture, "connection_interimHeadsDripIn_timeOut")
{
    const auto head =
            headOf({"", "HTTP/1.1 102 Processing\r\n\r\n", std::chrono::milliseconds(200)});
    REQUIRE(head);
    REQUIRE(head->ioStatus == HttpIoStatus::TimedOut);
    REQUIRE(isEveryConnectionClosed());
}

TEST_CASE_METHOD(EndlessBytesFixture, "connection_interimHeadBeforeResponse_isSkipped")
{
    const auto head = headOf(
            {"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + okLine + "Content-Length: 0\r\n\r\n",
             ""});
    REQUIRE(head);
    REQUIRE(head->ioStatus == HttpIoStatus::Done);
    REQUIRE(head->value.status == 200);
    REQUIRE_FALSE(head->value.header("A"));
}

TEST_CASE_METHOD(EndlessBytesFixture, "connection_headOfLargeBodyRequested_bodyIsEmpty")
{
    m_server.setBytes({longHead, ""});
    const auto body = resultOf<HttpReadResult<std::string>>([this] { return readBodyAfterHead(); });
    REQUIRE(body);
    REQUIRE(body->ioStatus == HttpIoStatus::Done);
    REQUIRE(body->value.empty());
}

TEST_CASE_METHOD(EndlessBytesFixture, "report_endlessChunkFraming_failsWithLittleMemory")
{
    const EndlessBytes bytes =
            GENERATE(EndlessBytes {chunkedHead, "x"}, EndlessBytes {chunkedHead + "5;a=", "b"},
                     EndlessBytes {chunkedHead + "0\r\n", "A: b\r\n"},
                     EndlessBytes {chunkedHead + "2\r\n{}\r\n0\r\nA: ", "b"});
    CAPTURE(bytes.opening, bytes.repeated);
    const auto report = reportOf(bytes);
    REQUIRE(report);
    REQUIRE(failureOf(*report) != nullptr);
    REQUIRE(isEveryConnectionClosed());
    REQUIRE(m_server.mostBytesSent() < maxFramingBytesSent);
}

TEST_CASE_METHOD(EndlessBytesFixture, "report_endlessBody_failsAtTheSizeLimit")
{
    const EndlessBytes bytes =
            GENERATE(EndlessBytes {longHead, "x"}, EndlessBytes {chunkedHead, chunk},
                     EndlessBytes {okLine + "\r\n", "x"});
    CAPTURE(bytes.opening, bytes.repeated);
    const auto report = reportOf(bytes);
    REQUIRE(report);
    REQUIRE(failureOf(*report) != nullptr);
    REQUIRE(failureOf(*report)->kind == ErrorKind::OutcomeUnknown);
    REQUIRE(isEveryConnectionClosed());
    REQUIRE(m_server.mostBytesSent() < maxBytesSent);
}

TEST_CASE_METHOD(EndlessBytesFixture, "report_bodyDripsIn_failsInTime")
{
    const EndlessBytes bytes = GENERATE(EndlessBytes {slowHead, "x", dripPause},
                                        EndlessBytes {chunkedHead, "1\r\nx\r\n", dripPause},
                                        EndlessBytes {chunkedHead + "5;a=", "b", dripPause},
                                        EndlessBytes {okLine + "\r\n", "x", dripPause});
    CAPTURE(bytes.opening, bytes.repeated);
    const auto report = reportOf(bytes);
    REQUIRE(report);
    REQUIRE(failureOf(*report) != nullptr);
    REQUIRE(isEveryConnectionClosed());
}

TEST_CASE_METHOD(EndlessBytesFixture, "report_bytesAfterTheResponse_closeTheConnection")
{
    const ReplicaHooks hooks = makeReplicaHooks(m_context.get_executor(), m_server.address());
    m_server.setBytes({okLine + "Content-Length: 13\r\n\r\n{\"models\":[]}", "x"});
    for (std::size_t n = 1; n <= 2; ++n) {
        const auto report = resultOf<Outcome<ReplicaReport>>(hooks.readReport);
        REQUIRE(report);
        REQUIRE(failureOf(*report) == nullptr);
        REQUIRE(m_server.requests() == n);
    }
    REQUIRE(waitUntil([this] { return m_server.closedConnections() >= 1; }));
}

TEST_CASE_METHOD(EndlessBytesFixture, "snapshot_endlessBody_failsAtTheSizeLimit")
{
    const auto snapshot = snapshotOf({longHead, "x"});
    REQUIRE(snapshot);
    REQUIRE(failureOf(*snapshot) != nullptr);
    REQUIRE(failureOf(*snapshot)->kind == ErrorKind::PlatformUnavailable);
    REQUIRE(isEveryConnectionClosed());
    REQUIRE(m_server.mostBytesSent() < maxBytesSent);
}

TEST_CASE_METHOD(EndlessBytesFixture, "snapshot_bodyDripsIn_failsInTime")
{
    const auto snapshot = snapshotOf({slowHead, "x", dripPause});
    REQUIRE(snapshot);
    REQUIRE(failureOf(*snapshot) != nullptr);
    REQUIRE(failureOf(*snapshot)->kind == ErrorKind::PlatformUnavailable);
    REQUIRE(isEveryConnectionClosed());
}

TEST_CASE_METHOD(EndlessBytesFixture, "probe_reportDripsIn_isLostAndComesBack")
{
    std::vector<bool> polls;
    const auto probe = std::make_shared<ReplicaProbe>(
            m_context.get_executor(),
            makeReplicaHooks(m_context.get_executor(), m_server.address()),
            std::chrono::milliseconds(100),
            [&polls](const std::optional<ReplicaReport> &report) {
                polls.push_back(report.has_value());
            },
            Log(LogLevel::Error, {}));
    m_server.setBytes({slowHead, "x", dripPause});
    probe->start();
    REQUIRE(waitUntil([&] { return polls.size() >= 2; }));
    REQUIRE(polls == std::vector<bool> {false, false});
    m_server.setBytes({okLine + "Content-Length: 13\r\n\r\n{\"models\":[]}", ""});
    REQUIRE(waitUntil([&] { return polls.back(); }));
}

// The buffer of a call grew with a chunk header or trailer that did not end.
TEST_CASE_METHOD(EndlessBytesFixture, "call_endlessHeadOrFraming_failsWithLittleMemory")
{
    const EndlessBytes bytes =
            GENERATE(EndlessBytes {"", "x"}, EndlessBytes {okLine, "A: b\r\n"},
                     EndlessBytes {chunkedHead, "x"}, EndlessBytes {chunkedHead + "5;a=", "b"},
                     EndlessBytes {chunkedHead + "0\r\n", "A: b\r\n"},
                     EndlessBytes {chunkedHead + "0\r\nA: ", "b"});
    CAPTURE(bytes.opening, bytes.repeated);
    const auto response = callOf(bytes);
    REQUIRE(response);
    REQUIRE(failureOf(*response) != nullptr);
    REQUIRE(isEveryConnectionClosed());
    REQUIRE(m_server.mostBytesSent() < maxFramingBytesSent);
}

TEST_CASE_METHOD(EndlessBytesFixture, "call_endlessBody_failsAtTheSizeLimit")
{
    const EndlessBytes bytes =
            GENERATE(EndlessBytes {longHead, "x"}, EndlessBytes {chunkedHead, chunk},
                     EndlessBytes {okLine + "\r\n", "x"});
    CAPTURE(bytes.opening, bytes.repeated);
    const auto response = callOf(bytes);
    REQUIRE(response);
    REQUIRE(failureOf(*response) != nullptr);
    REQUIRE(failureOf(*response)->kind == ErrorKind::TooLarge);
    REQUIRE(isEveryConnectionClosed());
    REQUIRE(m_server.mostBytesSent() < maxBytesSent);
}

// Each part that arrived gave the rest of a body its whole timeout again.
TEST_CASE_METHOD(EndlessBytesFixture, "call_bodyDripsIn_failsInTime")
{
    const EndlessBytes bytes = GENERATE(EndlessBytes {slowHead, "x", dripPause},
                                        EndlessBytes {chunkedHead, "1\r\nx\r\n", dripPause},
                                        EndlessBytes {okLine + "\r\n", "x", dripPause});
    CAPTURE(bytes.opening, bytes.repeated);
    const auto response = callOf(bytes);
    REQUIRE(response);
    REQUIRE(failureOf(*response) != nullptr);
    REQUIRE(isEveryConnectionClosed());
}

// A read whose bytes were ready succeeded however long its deadline had passed.
TEST_CASE_METHOD(EndlessBytesFixture, "call_endlessBodyReadUntilItsDeadline_fails")
{
    m_server.setBytes({chunkedHead, chunk});
    const Instant begin = monotonicNow();
    const auto isFailed = resultOf<bool>([this] { return readCallUntilDeadline(); });
    REQUIRE(isFailed == true);
    REQUIRE(monotonicNow() - begin < maxBodyTime);
    REQUIRE(isEveryConnectionClosed());
}

// A read that timed out while its bytes were ready was reported as a lost connection.
TEST_CASE_METHOD(EndlessBytesFixture, "connection_endlessBodyReadUntilItsDeadline_timesOut")
{
    m_server.setBytes({chunkedHead, chunk});
    const Instant begin = monotonicNow();
    const auto status = resultOf<HttpIoStatus>([this] { return readConnectionUntilDeadline(); });
    REQUIRE(status);
    REQUIRE(*status == HttpIoStatus::TimedOut);
    REQUIRE(monotonicNow() - begin < maxBodyTime);
    REQUIRE(isEveryConnectionClosed());
}

// The pages of a snapshot were collected for as long as the store announced another one.
TEST_CASE_METHOD(EndlessBytesFixture, "snapshot_pagesWithoutEnd_failsWithLittleMemory")
{
    const std::size_t valueBytes = GENERATE(1024 * 1024, 4);
    CAPTURE(valueBytes);
    const std::string page = storePage(valueBytes);
    m_server.setBytes({page, ""});
    const KeyedStore store(m_context.get_executor(), m_server.address(), storeTimeout);
    const auto snapshot =
            resultOf<Outcome<KeyedSnapshot>>(store.topicReader("keyed.op").snapshot, [this, &page] {
                return m_server.requests() > maxPagesRead
                        || m_server.requests() * page.size() > maxSnapshotBytesRead;
            });
    REQUIRE(snapshot);
    REQUIRE(failureOf(*snapshot) != nullptr);
    REQUIRE(failureOf(*snapshot)->kind == ErrorKind::PlatformUnavailable);
    REQUIRE(isEveryConnectionClosed());
}

TEST_CASE_METHOD(EndlessBytesFixture, "tail_endlessBody_failsAtTheSizeLimit")
{
    const KeyedStore store(m_context.get_executor(), m_server.address(), storeTimeout);
    const TopicReader reader = store.topicReader("keyed.op");
    requireSizeLimit<KeyedBatch>([reader] { return reader.tail({}, Duration::zero()); });
}

TEST_CASE_METHOD(EndlessBytesFixture, "origin_endlessListOrPiece_failsAtTheSizeLimit")
{
    const WeightOriginHooks hooks = makeOriginHooks(m_context.get_executor(), m_server.address());
    requireSizeLimit<PieceList>([hooks] { return hooks.readPieceList(ModelName("m"), 1); });
    requireSizeLimit<std::string>([hooks] { return hooks.readPiece(ModelName("m"), 1, 0); });
}

TEST_CASE_METHOD(EndlessBytesFixture, "replica_endlessAnswerToAnOrderOrPiece_failsAtTheSizeLimit")
{
    const ReplicaHooks hooks = makeReplicaHooks(m_context.get_executor(), m_server.address());
    requireSizeLimit<OrderResult>(
            [hooks] { return hooks.sendOrder(LoadOrder {ModelName("m"), 1, false}); });
    requireSizeLimit<std::string>([hooks] { return hooks.readStaged(ModelName("m"), 0); });
    requireSizeLimit<std::monostate>([hooks] {
        return hooks.stagePiece(ModelName("m"), 0, std::make_shared<const std::string>("piece"));
    });
}

/** Runs an entry before a server that sends events without end, and a caller with a request. */
class EndlessEventsFixture : public ScriptedFleet
{
protected:
    EndlessEventsFixture()
        : m_server(m_context.get_executor(), {eventsHead, eventChunk}), m_caller(m_context)
    {
        configure("streaming", 1);
        list("i-1", m_server.address());
        startEntry();
    }

    /** Connects and sends a request. */
    Awaitable<void> sendCallersRequest()
    {
        const auto endpoint = toOutcome([this] { return parseEndpoint(m_settings.frontAddress); });
        co_await m_caller.async_connect(std::get<asio::ip::tcp::endpoint>(endpoint), asTuple);
        const std::string text = requestText("a-1");
        co_await asio::async_write(m_caller, asio::buffer(text), asTuple);
    }

    /** Sends a request, then reads and drops the response until the connection ends. */
    Awaitable<void> sendAndRead()
    {
        co_await sendCallersRequest();
        std::array<char, 64 * 1024> buf {};
        boost::system::error_code ec;
        while (!ec) {
            auto [error, n] = co_await m_caller.async_read_some(asio::buffer(buf), asTuple);
            ec = error;
        }
        m_isEnded = true;
    }

    bool isEveryConnectionClosed()
    {
        return waitUntil([this] {
            return m_server.requests() > 0 && m_server.closedConnections() == m_server.requests();
        });
    }

    EndlessStandin m_server;
    asio::ip::tcp::socket m_caller;
    bool m_isEnded = false;
};

TEST_CASE_METHOD(EndlessEventsFixture, "stream_endlessEvents_endsAtTheDeadline")
{
    const Instant begin = monotonicNow();
    asio::co_spawn(m_context, sendAndRead(), asio::detached);
    REQUIRE(isEveryConnectionClosed());
    REQUIRE(monotonicNow() - begin < maxStreamTime);
    REQUIRE(waitUntil([this] { return m_isEnded; }));
}

TEST_CASE_METHOD(EndlessEventsFixture, "stream_callerDoesNotRead_holdsTheServerBack")
{
    asio::co_spawn(m_context, sendCallersRequest(), asio::detached);
    REQUIRE(waitUntil([this] { return m_server.mostBytesSent() > 0; }));
    runFor(unreadTime);
    REQUIRE(m_server.mostBytesSent() < maxSocketBytes);
    m_caller.close();
    REQUIRE(isEveryConnectionClosed());
}

} // namespace
} // namespace greengageseam
