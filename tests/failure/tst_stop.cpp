/**
 * Failure tests of a planned stop of the server for callers, and of the entry.
 * labels: failure
 */
#include "edge/callerserver.h"
#include "freeport.h"
#include "net/clock.h"
#include "platform/callheaders.h"
#include "scriptedfleet.h"
#include "testcaller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>
#include <unistd.h>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

/** Notice that the server gives idle connections. */
constexpr auto idleNotice = milliseconds(1500);
const std::string announcedClose = "Connection: close\r\n";
const std::string firstHead = "POST /a/ HTTP/1.1\r\nHost: a\r\nAttempt-Id: 1\r\n";
const std::string firstRequest = firstHead + "Content-Length: 0\r\n\r\n";
const std::string secondHead =
        "POST /a/ HTTP/1.1\r\nHost: a\r\nAttempt-Id: 2\r\nContent-Length: 4\r\n\r\n";

/** Runs the server in the thread of the test, which decides when its tasks get the processor. */
class CallerServerFixture
{
protected:
    CallerServerFixture()
        : m_dispatcher(makeMailbox<DispatchCommand>(m_context.get_executor(), 64)),
          m_log(LogLevel::Error, {}), m_address(freeAddress())
    {
        const RequestContext context {m_context.get_executor(),
                                      m_dispatcher,
                                      makeMailbox<QuarantineCommand>(m_context.get_executor(), 64),
                                      makeCallCodec(),
                                      std::make_shared<Metrics>(),
                                      m_log};
        const auto budget =
                std::make_shared<ProcessBudget>(BudgetLimits {}, context.metrics, m_log);
        m_server = std::make_shared<CallerServer>(context, budget, 100, idleNotice);
        REQUIRE(m_server->listen(m_address));
        m_server->start();
        asio::co_spawn(m_context, holdQueries(), asio::detached);
        m_context.poll();
    }

    /** Holds the requests that ask for their route until the test answers them. */
    Awaitable<void> holdQueries()
    {
        while (true) {
            const std::optional<DispatchCommand> command = co_await m_dispatcher->receive();
            if (!command) {
                co_return;
            }
            if (const auto *query = std::get_if<AdmissionQuery>(&*command)) {
                m_queries.push_back(*query);
            }
        }
    }

    static Address freeAddress()
    {
        std::uint16_t port = 0;
        ::close(bindFreePort(port));
        return Address("127.0.0.1:" + std::to_string(port));
    }

    asio::ip::tcp::socket connect()
    {
        const auto endpoint = toOutcome([&] { return parseEndpoint(m_address); });
        asio::ip::tcp::socket caller(m_callers);
        caller.connect(std::get<asio::ip::tcp::endpoint>(endpoint));
        return caller;
    }

    /** Connects and sends a request, while the server's tasks do not run. */
    asio::ip::tcp::socket sendRequest()
    {
        asio::ip::tcp::socket caller = connect();
        const std::string request = "GET /a/ HTTP/1.1\r\nHost: a\r\nAttempt-Id: 1\r\n\r\n";
        asio::write(caller, asio::buffer(request));
        return caller;
    }

    static void write(asio::ip::tcp::socket &caller, const std::string &text)
    {
        asio::write(caller, asio::buffer(text));
    }

    void runFor(milliseconds time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    /** Runs the server's tasks until a condition holds. @returns false if it does not in time */
    bool waitUntil(const std::function<bool()> &condition)
    {
        return runUntil(m_context, condition, std::chrono::seconds(10));
    }

    /** Waits for the n-th request that asks for its route, and lets it be answered with 404. */
    void rejectQuery(std::size_t n)
    {
        REQUIRE(waitUntil([&] { return m_queries.size() >= n; }));
        m_queries[n - 1].reply->post(Failure {ErrorKind::NotFound, {}});
    }

    /** Waits for n responses of a caller, none of which has ended its connection. */
    std::string receiveResponses(asio::ip::tcp::socket &caller, int n)
    {
        std::string text;
        REQUIRE(waitUntil([&] { return countOf(text += receiveNow(caller), "HTTP/1.1 ") >= n; }));
        return text;
    }

    /** @returns what has arrived at a caller */
    static std::string receiveNow(asio::ip::tcp::socket &caller)
    {
        std::string text(caller.available(), ' ');
        asio::read(caller, asio::buffer(text));
        return text;
    }

    static int countOf(const std::string &text, const std::string &part)
    {
        int n = 0;
        for (std::size_t at = text.find(part); at != std::string::npos;
             at = text.find(part, at + part.size())) {
            ++n;
        }
        return n;
    }

    /** @returns what a caller receives until its connection ends */
    std::string receive(asio::ip::tcp::socket &caller)
    {
        runFor(milliseconds(300));
        std::string text;
        boost::system::error_code ec;
        asio::read(caller, asio::dynamic_buffer(text), ec);
        return text;
    }

    asio::io_context m_context;
    asio::io_context m_callers;
    MailboxPtr<DispatchCommand> m_dispatcher;
    std::vector<AdmissionQuery> m_queries;
    Log m_log;
    Address m_address;
    std::shared_ptr<CallerServer> m_server;
};

// The kernel accepts connections for a busy process; closing its listener would reset them.
TEST_CASE_METHOD(CallerServerFixture, "stop_connectionsWaitToBeAccepted_eachRequestIsAnswered")
{
    std::vector<asio::ip::tcp::socket> callers;
    for (int i = 0; i < 5; ++i) {
        callers.push_back(sendRequest());
    }
    m_server->drain();
    m_server->stop();
    for (asio::ip::tcp::socket &caller : callers) {
        REQUIRE(receive(caller).starts_with("HTTP/1.1 503 "));
    }
}

TEST_CASE_METHOD(CallerServerFixture, "stop_done_refusesFurtherConnections")
{
    m_server->stop();
    const auto endpoint = toOutcome([&] { return parseEndpoint(m_address); });
    asio::ip::tcp::socket caller(m_callers);
    boost::system::error_code ec;
    caller.connect(std::get<asio::ip::tcp::endpoint>(endpoint), ec);
    REQUIRE(ec == asio::error::connection_refused);
}

// The end of a response made its connection idle, although the next request had arrived meanwhile.
TEST_CASE_METHOD(CallerServerFixture, "stop_requestArrivedDuringAResponse_isAnswered")
{
    asio::ip::tcp::socket caller = connect();
    write(caller, firstRequest + secondHead + "body");
    rejectQuery(1);
    REQUIRE(waitUntil([&] { return m_queries.size() == 2; }));
    m_server->stop();
    runFor(milliseconds(800));
    rejectQuery(2);
    REQUIRE(countOf(receive(caller), "HTTP/1.1 404 ") == 2);
}

TEST_CASE_METHOD(CallerServerFixture, "stop_bodyBeganDuringAResponse_itsRequestIsAnswered")
{
    asio::ip::tcp::socket caller = connect();
    write(caller, firstRequest + secondHead + "bo");
    REQUIRE(waitUntil([&] { return m_queries.size() == 1; }));
    runFor(milliseconds(20));
    rejectQuery(1);
    receiveResponses(caller, 1);
    m_server->stop();
    runFor(milliseconds(800));
    boost::system::error_code ec;
    asio::write(caller, asio::buffer("dy", 2), ec);
    REQUIRE(receive(caller).starts_with("HTTP/1.1 503 "));
}

TEST_CASE_METHOD(CallerServerFixture, "stop_responseIsWrittenAfterItsBeginning_announcesTheClose")
{
    asio::ip::tcp::socket caller = connect();
    write(caller, firstRequest);
    REQUIRE(waitUntil([&] { return m_queries.size() == 1; }));
    m_server->drain();
    rejectQuery(1);
    const std::string text = receive(caller);
    REQUIRE(text.starts_with("HTTP/1.1 404 "));
    REQUIRE(countOf(text, announcedClose) == 1);
}

// No response has told the caller that the connection closes, so it may send its next request.
TEST_CASE_METHOD(CallerServerFixture, "stop_requestOnAConnectionThatWasIdle_getsAStatus")
{
    asio::ip::tcp::socket caller = connect();
    write(caller, firstRequest);
    rejectQuery(1);
    REQUIRE(countOf(receiveResponses(caller, 1), announcedClose) == 0);
    m_server->stop();
    runFor(milliseconds(700));
    boost::system::error_code ec;
    asio::write(caller, asio::buffer(firstRequest), ec);
    const std::string text = receive(caller);
    REQUIRE(text.starts_with("HTTP/1.1 503 "));
    REQUIRE(countOf(text, announcedClose) == 1);
    REQUIRE(countOf(text, "Retry-After: ") == 1);
}

TEST_CASE_METHOD(CallerServerFixture, "stop_connectionStaysIdle_isClosedAfterTheNotice")
{
    asio::ip::tcp::socket caller = connect();
    REQUIRE(waitUntil([&] { return m_server->connections() == 1; }));
    const Instant begin = monotonicNow();
    m_server->stop();
    REQUIRE(waitUntil([&] { return m_server->connections() == 0; }));
    REQUIRE(monotonicNow() - begin >= idleNotice);
}

TEST_CASE_METHOD(CallerServerFixture, "stop_graceEnds_idleConnectionDoesNotHoldTheProcess")
{
    asio::ip::tcp::socket caller = connect();
    REQUIRE(waitUntil([&] { return m_server->connections() == 1; }));
    m_server->stop();
    m_server->expire();
    const Instant begin = monotonicNow();
    REQUIRE(waitUntil([&] { return m_server->connections() == 0; }));
    REQUIRE(monotonicNow() - begin < idleNotice);
}

// The process notices that the notice is over, and only then the request that arrived meanwhile.
TEST_CASE_METHOD(CallerServerFixture, "stop_requestCrossesTheEndOfTheNotice_getsAStatus")
{
    asio::ip::tcp::socket caller = connect();
    write(caller, firstRequest);
    rejectQuery(1);
    receiveResponses(caller, 1);
    m_server->stop();
    runFor(milliseconds(700));
    // The server's timer expires as well until the process runs again, and this one is earlier.
    Timer timer(m_context, monotonicNow() - idleNotice);
    timer.async_wait([&](const boost::system::error_code &) { write(caller, firstRequest); });
    std::this_thread::sleep_for(idleNotice);
    REQUIRE(receive(caller).starts_with("HTTP/1.1 503 "));
}

/** An entry on the platform whose backend server answers with streams, and one caller. */
class StreamStopFixture : public ScriptedFleet
{
protected:
    StreamStopFixture() : m_caller(m_context)
    {
        const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\n"
                                 "Content-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";
        const std::string first = "f\r\nid: 1\ndata: x\n\n\r\n";
        const std::string second = "f\r\nid: 2\ndata: x\n\n\r\n0\r\n\r\n";
        startFleet("streaming", {{head + first, AfterAnswer::Keeps, second}}, false);
        const auto endpoint = toOutcome([&] { return parseEndpoint(m_settings.frontAddress); });
        m_caller.connect(std::get<asio::ip::tcp::endpoint>(endpoint));
    }

    void beginStop()
    {
        asio::co_spawn(m_context, m_edge->shutDown(),
                       [this](const std::exception_ptr &) { m_isStopped = true; });
    }

    /** Sends a request, and waits until its response has begun. */
    void beginStream(const std::string &attemptId)
    {
        m_received.clear();
        boost::system::error_code ec;
        asio::write(m_caller, asio::buffer(requestText(attemptId)), ec);
        REQUIRE(waitUntil([this] { return hasReceived("id: 1\n"); }));
    }

    /** @returns whether a text is among what the caller has received since its last request */
    bool hasReceived(const std::string &text)
    {
        boost::system::error_code ec;
        std::string buf(m_caller.available(ec), ' ');
        buf.resize(asio::read(m_caller, asio::buffer(buf), ec));
        m_received += buf;
        return m_received.find(text) != std::string::npos;
    }

    asio::ip::tcp::socket m_caller;
    std::string m_received;
    bool m_isStopped = false;
};

// The head of a stream that began before SIGTERM cannot announce that its connection closes.
TEST_CASE_METHOD(StreamStopFixture, "stop_streamBeganBefore_nextRequestOnItsConnectionIsServed")
{
    beginStream("one");
    beginStop();
    REQUIRE(waitUntil([this] { return hasReceived("0\r\n\r\n"); }));
    REQUIRE_FALSE(hasReceived("Connection: close"));
    beginStream("two");
    REQUIRE(hasReceived("Connection: close"));
    REQUIRE(waitUntil([this] { return hasReceived("0\r\n\r\n"); }));
    REQUIRE(waitUntil([this] { return m_isStopped; }));
}

} // namespace
} // namespace greengageseam
