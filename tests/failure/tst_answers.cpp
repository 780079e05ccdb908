/**
 * Failure tests of faulty answers: refusals that answer another request, streams that go on with
 * something else, and answers that end too early.
 * labels: platform
 */
#include "net/httpclient.h"
#include "scriptedfleet.h"

namespace greengageseam {
namespace {

const std::string sealed = "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\n";
const std::string whole = sealed + "Content-Length: 5\r\n\r\nwhole";
const std::string streamHead = sealed + "Content-Type: text/event-stream\r\n";
const std::string chunkedStream = streamHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string lastChunk = "0\r\n\r\n";

std::string refusal(const std::string &attemptField, int status = 503)
{
    return "HTTP/1.1 " + std::to_string(status) + " Full\r\n" + attemptField
            + "Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

std::string chunk(const std::string &bytes)
{
    std::array<char, 16> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

/** @returns a stream of events first to last that ends as complete */
std::string streamOf(int first, int last)
{
    std::string text = chunkedStream;
    for (int id = first; id <= last; ++id) {
        text += chunk(event(id));
    }
    return text + lastChunk;
}

/** Two events and half of a third, after which the connection is reset. */
const ScriptedAnswer brokenStream {
        chunkedStream + chunk(event(1) + event(2)) + chunk("id: 3\ndata: ha"), AfterAnswer::Resets};
const std::string fourEvents = event(1) + event(2) + event(3) + event(4);

// A refusal that names no attempt may be one that was written for an earlier request.
TEST_CASE_METHOD(ScriptedFleet, "answers_refusalWithoutAttemptIdOnKeptConnection_isNotBelieved")
{
    const std::string kind = GENERATE(as<std::string>(), "idempotent", "streaming");
    CAPTURE(kind);
    const std::string first = kind == "streaming" ? streamOf(1, 1) : whole;
    startFleet(kind, {{first}, {refusal("")}}, false);
    REQUIRE(sendRequest("one").status == 200);
    const CallerResponse second = sendRequest("two");
    REQUIRE(m_first.connections() == 1);
    REQUIRE(m_script->requests.size() == 2);
    REQUIRE((second.status == 502 || second.status == 504));
}

TEST_CASE_METHOD(ScriptedFleet, "answers_failureWithoutAttemptIdOnKeptConnection_isNotRelayed")
{
    const std::string late =
            GENERATE(as<std::string>(), "HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\nlate",
                     "HTTP/1.1 404 No\r\nContent-Length: 4\r\n\r\nlate",
                     "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\nlate");
    CAPTURE(late);
    startFleet("idempotent", {{whole}, {late}}, false);
    REQUIRE(sendRequest("one").status == 200);
    const CallerResponse second = sendRequest("two");
    REQUIRE(m_script->requests.size() == 2);
    REQUIRE((second.status == 502 || second.status == 504));
    REQUIRE(second.body.find("late") == std::string::npos);
}

TEST_CASE_METHOD(ScriptedFleet, "answers_earlierRefusalWithItsAttemptId_isNotBelieved")
{
    const std::string kind = GENERATE(as<std::string>(), "idempotent", "streaming");
    startFleet(kind, {{refusal("Attempt-Id: ATTEMPT\r\n")}, {refusal("Attempt-Id: one\r\n")}},
               false);
    REQUIRE(sendRequest("one").status == 503);
    runFor(std::chrono::milliseconds(200));
    const CallerResponse second = sendRequest("two");
    REQUIRE(m_first.connections() == 1);
    REQUIRE((second.status == 502 || second.status == 504));
}

TEST_CASE_METHOD(ScriptedFleet, "answers_refusalRepeatedInOneSegmentOrWhileIdle_isDiscarded")
{
    const std::string once = refusal("Attempt-Id: ATTEMPT\r\n");
    const ScriptedAnswer repeated = GENERATE_COPY(
            ScriptedAnswer {once + once, AfterAnswer::Keeps, ""},
            ScriptedAnswer {once, AfterAnswer::Keeps, once},
            ScriptedAnswer {once + once.substr(0, 30), AfterAnswer::Keeps, once.substr(30)});
    startFleet("idempotent", {repeated, {whole}}, false);
    REQUIRE(sendRequest("one").status == 503);
    runFor(std::chrono::milliseconds(200));
    REQUIRE(sendRequest("two").body == "whole");
    REQUIRE(m_first.connections() == 2);
}

TEST_CASE_METHOD(ScriptedFleet, "answers_nonIdempotentAfterRefusal_neverUsesAKeptConnection")
{
    const bool isStream = GENERATE(true, false);
    startFleet(isStream ? "streaming" : "non_idempotent",
               {{refusal("Attempt-Id: ATTEMPT\r\n")}, {isStream ? streamOf(1, 1) : whole}}, false,
               false);
    REQUIRE(sendRequest("one").status == 503);
    runFor(std::chrono::milliseconds(200));
    REQUIRE(sendRequest("two").status == 200);
    REQUIRE(m_first.connections() == 2);
}

TEST_CASE_METHOD(ScriptedFleet, "answers_refusalOfAnotherAttempt_nonIdempotentRunsOnce")
{
    startFleet("non_idempotent", {{refusal("Attempt-Id: another\r\n")}, {whole}});
    REQUIRE(sendRequest("one").status == 502);
    REQUIRE(m_script->requests.size() == 1);
}

// A refusal counts from the end of its head, and only with the head of this request's answer.
TEST_CASE_METHOD(ScriptedFleet, "answers_refusalCutAtAnyPlace_isBelievedOnlyWithItsWholeHead")
{
    const std::string text = refusal("Attempt-Id: ATTEMPT\r\n");
    const std::size_t headEnd = text.find("\r\n\r\n") + 4;
    startFleet("non_idempotent", {{""}}, false);
    const AfterAnswer after = GENERATE(AfterAnswer::Closes, AfterAnswer::Resets);
    for (std::size_t n = 1; n <= text.size(); n += n + 6 < headEnd ? 7 : 1) {
        CAPTURE(n, headEnd, static_cast<int>(after));
        m_script->answers = {{text.substr(0, n), after}};
        restartServer();
        // Until the entry uses the restarted server, it refuses without a send, which is true.
        const std::size_t received = m_script->requests.size();
        CallerResponse response;
        REQUIRE(waitUntil([&] {
            response = sendRequest("one");
            return m_script->requests.size() > received;
        }));
        const bool isPromise = response.status == 503;
        REQUIRE(isPromise == (n >= headEnd));
    }
}

// The statuses that promise "not executed" must not be passed on without that promise.
TEST_CASE_METHOD(ScriptedFleet,
                 "answers_refusalStatusThatDoesNotSayNotExecuted_isNoPromiseToTheCaller")
{
    const std::string status = GENERATE(as<std::string>(), "408", "429", "503");
    CAPTURE(status);
    startFleet(
            "non_idempotent",
            {{"HTTP/1.1 " + status
              + " No\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\nContent-Length: 3\r\n\r\nran"}});
    const CallerResponse response = sendRequest("one");
    REQUIRE(response.status == 502);
    REQUIRE_FALSE(response.head.header("Server-Seal"));
    REQUIRE(m_script->requests.size() == 1);
}

TEST_CASE_METHOD(ScriptedFleet, "answers_streamBreaksAndNextServerFails_isVisiblyIncomplete")
{
    const std::string head = "HTTP/1.1 500 No\r\nAttempt-Id: ATTEMPT\r\n";
    const std::string body = "Content-Length: 5\r\n\r\nerror";
    const std::string next = GENERATE_COPY(
            head + body, head + "Server-Seal: s\r\n" + body,
            head
                    + "Server-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: "
                      "24\r\n\r\nid: 3\ndata: error-text\n\n",
            refusal("Attempt-Id: ATTEMPT\r\n"), refusal("Attempt-Id: ATTEMPT\r\n", 421),
            "HTTP/1.1 404 No\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\n" + body,
            "HTTP/1.1 429 No\r\nAttempt-Id: ATTEMPT\r\n" + body, sealed + body,
            sealed + "Content-Length: 0\r\n\r\n", std::string("id: 3\ndata: error\n\n"),
            chunkedStream + chunk(event(4) + event(5)) + lastChunk,
            chunkedStream + chunk("data: error\n\n") + lastChunk,
            chunkedStream + chunk("event: error\ndata: {}\n\n" + event(3)) + lastChunk);
    CAPTURE(next);
    startFleet("streaming", {brokenStream, {next}});
    const CallerResponse response = sendRequest("one");
    REQUIRE(response.status == 200);
    REQUIRE_FALSE(response.isComplete);
    REQUIRE(response.body == event(1) + event(2));
    REQUIRE(m_script->requests.size() == 2);
}

TEST_CASE_METHOD(ScriptedFleet, "answers_resumedStreamEndsWithItsConnectionAtOnce_isIncomplete")
{
    const AfterAnswer after = GENERATE(AfterAnswer::Closes, AfterAnswer::Resets);
    startFleet("streaming", {brokenStream, {streamHead + "\r\n", after}});
    const CallerResponse response = sendRequest("one");
    REQUIRE_FALSE(response.isComplete);
    REQUIRE(response.body == event(1) + event(2));
}

TEST_CASE_METHOD(ScriptedFleet, "answers_streamWithoutIdsBreaks_isNotContinuedByAnotherRun")
{
    const std::string pair = "data: a\n\ndata: b\n\n";
    startFleet("streaming",
               {{chunkedStream + chunk(pair), AfterAnswer::Resets},
                {chunkedStream + chunk(pair) + lastChunk}});
    const CallerResponse response = sendRequest("one");
    REQUIRE_FALSE(response.isComplete);
    REQUIRE(response.body == pair);
    REQUIRE(m_script->requests.size() == 1);
}

// What was read with a skipped id must be neither lost nor counted as delivered.
TEST_CASE_METHOD(ScriptedFleet, "answers_streamSkipsAnId_resumesAfterTheLastEventInOrder")
{
    const std::string order = GENERATE(event(2) + event(4), event(2) + event(1));
    startFleet("streaming",
               {{chunkedStream + chunk(event(1)) + chunk(order) + lastChunk}, {streamOf(3, 4)}});
    const CallerResponse response = sendRequest("one");
    REQUIRE(response.isComplete);
    REQUIRE(response.body == fourEvents);
    REQUIRE(fieldOf(m_script->requests.back(), "Last-Event-Id") == "2");
}

TEST_CASE_METHOD(ScriptedFleet, "answers_streamThatRepeatsItsBeginning_resumesInOrder")
{
    startFleet("streaming", {brokenStream, {streamOf(1, 4)}});
    const CallerResponse response = sendRequest("one");
    REQUIRE(response.isComplete);
    REQUIRE(response.body == fourEvents);
}

TEST_CASE_METHOD(ScriptedFleet, "answers_headCutAtAnyPlace_isNeverASuccess")
{
    const std::string framing = GENERATE(as<std::string>(), "Content-Length: 5\r\n",
                                         "Transfer-Encoding: chunked\r\n", "");
    const AfterAnswer after = GENERATE(AfterAnswer::Closes, AfterAnswer::Resets);
    const std::string head = sealed + framing + "\r\n";
    startFleet("idempotent", {{""}}, false);
    for (std::size_t n = 12; n < head.size(); n += n + 5 < head.size() ? 11 : 1) {
        CAPTURE(framing, n, static_cast<int>(after));
        m_script->answers = {{head.substr(0, n), after}, {whole}};
        m_script->requests.clear();
        restartServer();
        const CallerResponse response = sendRequest("one");
        REQUIRE((response.status == 502 || response.status == 504));
        REQUIRE(m_script->requests.size() == 1);
    }
}

TEST_CASE_METHOD(ScriptedFleet, "answers_bodyCutInsideItsFraming_isNeverASuccess")
{
    const std::string text = GENERATE(sealed + "Content-Length: 5\r\n\r\nwho",
                                      sealed + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
                                      sealed + "Transfer-Encoding: chunked\r\n\r\n5\r\nwh");
    const AfterAnswer after = GENERATE(AfterAnswer::Closes, AfterAnswer::Resets);
    startFleet("non_idempotent", {{text, after}}, false);
    REQUIRE(sendRequest("one").status == 502);
}

TEST_CASE_METHOD(ScriptedFleet, "answers_unframedAnswer_isCompleteWhenClosedAndBrokenWhenReset")
{
    const bool isReset = GENERATE(false, true);
    startFleet("non_idempotent",
               {{sealed + "\r\nwhole", isReset ? AfterAnswer::Resets : AfterAnswer::Closes}},
               false);
    const CallerResponse response = sendRequest("one");
    REQUIRE(response.status == (isReset ? 502 : 200));
    REQUIRE((response.body == "whole") == !isReset);
}

// The failed write of a long body takes the reset away from the read, which then sees an end.
TEST_CASE_METHOD(ScriptedFleet, "answers_unframedAnswerResetDuringALongBody_isNotComplete")
{
    startFleet("non_idempotent", {{sealed + "\r\nwho", AfterAnswer::Resets}}, false);
    const CallerResponse response =
            send(m_settings.frontAddress, requestText("one", std::string(4'000'000, 'b')));
    REQUIRE(response.status == 502);
}

TEST_CASE_METHOD(ScriptedFleet, "answers_unframedStream_isCompleteOnlyWhenClosedAfterAWholeEvent")
{
    const bool isReset = GENERATE(false, true);
    const bool isInsideEvent = GENERATE(false, true);
    CAPTURE(isReset, isInsideEvent);
    const std::string rest = isInsideEvent ? "id: 3\ndata: x\n" : "";
    startFleet("streaming",
               {{streamHead + "\r\n" + event(1) + event(2) + rest,
                 isReset ? AfterAnswer::Resets : AfterAnswer::Closes}},
               true, false);
    const CallerResponse response = sendRequest("one");
    REQUIRE(response.body == event(1) + event(2));
    REQUIRE(response.isComplete == (!isReset && !isInsideEvent));
}

// HTTP/1.0 has no end marker: only a reset shows that the stream is incomplete.
TEST_CASE_METHOD(ScriptedFleet, "answers_streamBreaksForAnHttp10Caller_isVisiblyIncomplete")
{
    startFleet("streaming", {brokenStream}, false);
    const CallerResponse response =
            send(m_settings.frontAddress, requestText("one", "body", "1.0"));
    REQUIRE_FALSE(response.isComplete);
}

/** Reads answers of a scripted server as an agent does. */
class BackendCallFixture
{
protected:
    BackendCallFixture()
        : m_script(std::make_shared<AnswerScript>()), m_server(m_context.get_executor(), m_script)
    { }

    Outcome<HttpResponse> call(ScriptedAnswer answer)
    {
        m_script->answers = {std::move(answer)};
        std::optional<Outcome<HttpResponse>> response;
        asio::co_spawn(
                m_context,
                [&]() -> Awaitable<void> {
                    HttpRequest request {"POST", "/x", {}, "body"};
                    response = co_await callHttp(m_context.get_executor(), m_server.address(),
                                                 std::move(request), std::chrono::seconds(2), 1000);
                },
                asio::detached);
        const Instant end = monotonicNow() + std::chrono::seconds(5);
        while (!response && monotonicNow() < end) {
            m_context.run_for(std::chrono::milliseconds(10));
        }
        REQUIRE(response);
        return *response;
    }

    asio::io_context m_context;
    std::shared_ptr<AnswerScript> m_script;
    ScriptedStandin m_server;
};

TEST_CASE_METHOD(BackendCallFixture, "call_answerCutAtAnyPlace_isAFailure")
{
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    const AfterAnswer after = GENERATE(AfterAnswer::Closes, AfterAnswer::Resets);
    for (std::size_t n = 0; n < text.size(); ++n) {
        CAPTURE(n);
        const Outcome<HttpResponse> response = call({text.substr(0, n), after});
        REQUIRE(failureOf(response) != nullptr);
    }
}

TEST_CASE_METHOD(BackendCallFixture, "call_unframedAnswer_isCompleteWhenClosedAndBrokenWhenReset")
{
    const std::string text = "HTTP/1.1 200 OK\r\n\r\nwhole";
    const Outcome<HttpResponse> closed = call({text, AfterAnswer::Closes});
    REQUIRE(failureOf(closed) == nullptr);
    REQUIRE(std::get<HttpResponse>(closed).body == "whole");
    const Outcome<HttpResponse> reset = call({text, AfterAnswer::Resets});
    REQUIRE(failureOf(reset) != nullptr);
}

TEST_CASE_METHOD(BackendCallFixture, "call_unframedStreamEndsInsideAnEvent_isBroken")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    const std::string rest = GENERATE(as<std::string>(), "", "data: a\n\ndata: b", "data: a\n",
                                      "data: a\r\n\r\ndata: b\r\n");
    CAPTURE(rest);
    const Outcome<HttpResponse> cut = call({head + rest, AfterAnswer::Closes});
    REQUIRE(failureOf(cut) != nullptr);
}

TEST_CASE_METHOD(BackendCallFixture, "call_unframedStreamEndsAfterAnEvent_isComplete")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    const std::string rest = GENERATE(as<std::string>(), "data: a\n\n", "data: a\r\n\r\n");
    const Outcome<HttpResponse> closed = call({head + rest, AfterAnswer::Closes});
    REQUIRE(failureOf(closed) == nullptr);
    REQUIRE(std::get<HttpResponse>(closed).body == rest);
}

} // namespace
} // namespace greengageseam
