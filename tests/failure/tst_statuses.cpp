/**
 * Failure tests of responses whose status is none that HTTP knows, such as 000. They must never
 * reach a caller, on any path that reads the status of a response.
 * labels: failure platform
 */
#include "core/common/hashing.h"
#include "fleet.h"
#include "net/httpclient.h"
#include "net/keepaliveclient.h"
#include "scriptedfleet.h"

#include <thread>

namespace greengageseam {
namespace {

const std::string sealed = "Attempt-Id: ATTEMPT\r\nServer-Seal: s\r\n";
const std::string whole = "HTTP/1.1 200 OK\r\n" + sealed + "Content-Length: 5\r\n\r\nwhole";

std::string statusLine(const std::string &status)
{
    return "HTTP/1.1 " + status + " Trouble\r\n";
}

/** A response with a status and a body. */
std::string response(const std::string &status, const std::string &body)
{
    return statusLine(status) + sealed + "Content-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
}

/** @returns one after the other of the statuses that no response may have */
std::string invalidStatus()
{
    return GENERATE(as<std::string>(), "000", "001", "099", "101", "600", "999");
}

// The body may look like a response; it must not be taken for the one that follows.
TEST_CASE_METHOD(ScriptedFleet, "statuses_invalidAndBodyLooksLikeAResponse_isNotRelayed")
{
    const std::string status = invalidStatus();
    const std::string kind = GENERATE(as<std::string>(), "non_idempotent", "streaming");
    CAPTURE(status, kind);
    startFleet(kind, {{response(status, whole)}}, true, false);
    const CallerResponse answer = sendRequest("one");
    REQUIRE(answer.status == 502);
    REQUIRE(answer.body.find("whole") == std::string::npos);
    REQUIRE(m_script->requests.size() == 1);
}

TEST_CASE_METHOD(ScriptedFleet, "statuses_invalidForAnIdempotentRequest_anotherServerAnswersInTime")
{
    const std::string status = invalidStatus();
    const std::string body = GENERATE(as<std::string>(), "", "whole");
    CAPTURE(status, body);
    startFleet("idempotent", {{response(status, body)}, {whole}});
    const Instant sentAt = monotonicNow();
    const CallerResponse answer = sendRequest("one");
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body == "whole");
    REQUIRE(m_script->requests.size() == 2);
    REQUIRE(monotonicNow() - sentAt < std::chrono::milliseconds(400));
}

// What follows on the connection must not be taken for the response to the next request.
TEST_CASE_METHOD(ScriptedFleet, "statuses_invalidOnAKeptConnection_connectionIsNotUsedAgain")
{
    const std::string status = invalidStatus();
    CAPTURE(status);
    startFleet("idempotent", {{whole}, {response(status, "")}, {whole}}, false);
    REQUIRE(sendRequest("one").status == 200);
    REQUIRE(sendRequest("two").status == 502);
    REQUIRE(sendRequest("three").status == 200);
    REQUIRE(m_first.connections() == 2);
}

/** Reads responses of a scripted server without an entry. */
class StatusFixture
{
protected:
    StatusFixture()
        : m_script(std::make_shared<AnswerScript>()), m_server(m_context.get_executor(), m_script)
    { }

    using Call = std::function<Awaitable<Outcome<HttpResponse>>()>;

    Outcome<HttpResponse> run(const std::string &bytes, const Call &call)
    {
        m_script->answers = {{bytes}};
        std::optional<Outcome<HttpResponse>> response;
        asio::co_spawn(
                m_context, [&]() -> Awaitable<void> { response = co_await call(); },
                asio::detached);
        const Instant end = monotonicNow() + std::chrono::seconds(5);
        while (!response && monotonicNow() < end) {
            m_context.run_for(std::chrono::milliseconds(10));
        }
        REQUIRE(response);
        return *response;
    }

    Outcome<HttpResponse> callOnNewConnection(const std::string &bytes)
    {
        return run(bytes, [this]() -> Awaitable<Outcome<HttpResponse>> {
            HttpRequest request {"GET", "/x", {}, {}};
            co_return co_await callHttp(m_context.get_executor(), m_server.address(),
                                        std::move(request), std::chrono::seconds(1), 1000);
        });
    }

    Outcome<HttpResponse> callOnKeptConnection(const std::string &bytes)
    {
        const auto client = std::make_shared<KeepAliveClient>(
                m_context.get_executor(), m_server.address(), KeepAliveClientOptions());
        return run(bytes, [client]() -> Awaitable<Outcome<HttpResponse>> {
            HttpRequest request {"GET", "/x", {}, {}};
            co_return co_await client->call(std::move(request), false);
        });
    }

    asio::io_context m_context;
    std::shared_ptr<AnswerScript> m_script;
    ScriptedStandin m_server;
};

TEST_CASE_METHOD(StatusFixture, "call_statusIsInvalid_fails")
{
    const std::string status = invalidStatus();
    const std::string body = GENERATE(as<std::string>(), "", "whole");
    CAPTURE(status, body);
    REQUIRE(failureOf(callOnNewConnection(response(status, body))) != nullptr);
    REQUIRE(failureOf(callOnKeptConnection(response(status, body))) != nullptr);
}

TEST_CASE_METHOD(StatusFixture, "call_statusIsUnusualButValid_isReturned")
{
    const std::string status = GENERATE(as<std::string>(), "200", "299", "418", "599");
    const Outcome<HttpResponse> fresh = callOnNewConnection(response(status, "whole"));
    REQUIRE(std::to_string(std::get<HttpResponse>(fresh).status) == status);
    const Outcome<HttpResponse> kept = callOnKeptConnection(response(status, "whole"));
    REQUIRE(std::to_string(std::get<HttpResponse>(kept).status) == status);
}

// An interim head is no response; it was taken for one with an empty body.
TEST_CASE_METHOD(StatusFixture, "call_interimHeadBeforeResponse_isSkipped")
{
    const std::string bytes = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + whole;
    const Outcome<HttpResponse> fresh = callOnNewConnection(bytes);
    REQUIRE(std::get<HttpResponse>(fresh).status == 200);
    REQUIRE(std::get<HttpResponse>(fresh).body == "whole");
    const Outcome<HttpResponse> kept = callOnKeptConnection(bytes);
    REQUIRE(std::get<HttpResponse>(kept).body == "whole");
}

/** An entry and an agent of the product's own interface, before a scripted service. */
class ServiceStatusFixture
{
protected:
    ServiceStatusFixture()
        : m_script(std::make_shared<AnswerScript>()), m_server(m_context.get_executor(), m_script),
          m_thread([this] { runServer(); })
    {
        m_fleet.startPlatform();
        m_fleet.startService("service");
        m_fleet.startEntry("entry", "fyn");
        m_fleet.startAgent("agent", "fyn", "service",
                           {"--service=stitching", "--backend=" + m_server.address().text()});
        REQUIRE(waitUntil([this] { return m_fleet.isReady("entry"); }));
        REQUIRE(m_fleet.accept("entry",
                               {"account/caps/key=" + digestOf("caps-key").text(),
                                "service/stitching/non-idempotent=POST /commits"})
                == 200);
    }

    ~ServiceStatusFixture()
    {
        m_context.stop();
        m_thread.join();
    }

    /** Sets what the service answers, sends a request, and returns its status; 0 for none. */
    int statusOfRequest(const std::string &bytes)
    {
        asio::post(m_context, [this, bytes] { m_script->answers = {{bytes}}; });
        const auto called = m_fleet.call("entry", "/services/stitching/status", "q", "caps-key");
        const auto *response = std::get_if<HttpResponse>(&called);
        return response == nullptr ? 0 : response->status;
    }

private:
    void runServer()
    {
        const auto work = asio::make_work_guard(m_context);
        m_context.run();
    }

    asio::io_context m_context;
    std::shared_ptr<AnswerScript> m_script;
    ScriptedStandin m_server;
    std::thread m_thread;
    Fleet m_fleet;
};

TEST_CASE_METHOD(ServiceStatusFixture, "statuses_invalidFromAServiceWithAgent_callerGetsAFailure")
{
    REQUIRE(waitUntil([this] { return statusOfRequest(response("200", "whole")) == 200; }));
    for (const std::string status : {"000", "099", "101", "600", "999"}) {
        CAPTURE(status);
        const int received = statusOfRequest(response(status, "whole"));
        REQUIRE((received == 502 || received == 504));
    }
}

} // namespace
} // namespace greengageseam
