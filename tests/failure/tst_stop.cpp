/**
 * Failure tests of a planned stop of the server for callers.
 * labels: failure
 */
#include "edge/callerserver.h"
#include "freeport.h"
#include "net/clock.h"
#include "platform/callheaders.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <unistd.h>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

/** Runs the server in the thread of the test, which decides when its tasks get the processor. */
class CallerServerFixture
{
protected:
    CallerServerFixture() : m_log(LogLevel::Error, {}), m_address(freeAddress())
    {
        const RequestContext context {m_context.get_executor(),
                                      makeMailbox<DispatchCommand>(m_context.get_executor(), 64),
                                      makeMailbox<QuarantineCommand>(m_context.get_executor(), 64),
                                      makeCallCodec(),
                                      std::make_shared<Metrics>(),
                                      m_log};
        m_server = std::make_shared<CallerServer>(context, 100);
        REQUIRE(m_server->listen(m_address));
        m_server->start();
        m_context.poll();
    }

    static Address freeAddress()
    {
        std::uint16_t port = 0;
        ::close(bindFreePort(port));
        return Address("127.0.0.1:" + std::to_string(port));
    }

    /** Connects and sends a request, while the server's tasks do not run. */
    asio::ip::tcp::socket sendRequest()
    {
        const auto endpoint = toOutcome([&] { return parseEndpoint(m_address); });
        asio::ip::tcp::socket caller(m_callers);
        caller.connect(std::get<asio::ip::tcp::endpoint>(endpoint));
        const std::string request = "GET /a/ HTTP/1.1\r\nHost: a\r\nAttempt-Id: 1\r\n\r\n";
        asio::write(caller, asio::buffer(request));
        return caller;
    }

    /** @returns what a caller receives until its connection ends */
    std::string receive(asio::ip::tcp::socket &caller)
    {
        m_context.restart();
        m_context.run_for(milliseconds(300));
        std::string text;
        boost::system::error_code ec;
        asio::read(caller, asio::dynamic_buffer(text), ec);
        return text;
    }

    asio::io_context m_context;
    asio::io_context m_callers;
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

} // namespace
} // namespace greengageseam
