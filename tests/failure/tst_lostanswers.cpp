/**
 * Failure tests of answers that an entry process must not lose: servers fall silent within streams,
 * and the process is stopped or paused while answers are in progress.
 * labels: platform
 */
#include "edgeprocess.h"
#include "fleetstandin.h"
#include "net/clock.h"
#include "streamstandin.h"
#include "testcaller.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

constexpr auto conditionTimeout = std::chrono::seconds(15);
/** Longer than any answer may take. */
constexpr auto callerTimeout = std::chrono::seconds(10);
constexpr auto forever = std::chrono::hours(1);
/** Time in which the entry has read what the store and the list have told. */
constexpr auto applyTime = milliseconds(1000);
/** Id of the first event after the pause of a server. */
constexpr std::uint64_t pausedEvent = 9;

/** What a caller has received on one connection so far. */
struct Conversation
{
    std::vector<CallerResponse> answers;
    bool isDone = false;
};

using ConversationPtr = std::shared_ptr<Conversation>;

/** Sends the requests one after another, up to an answer after which the connection ends. */
Awaitable<void> converse(asio::any_io_executor executor, Address address,
                         std::vector<DelayedText> requests, ConversationPtr conversation)
{
    const auto connection = std::make_shared<HttpConnection>(executor);
    const auto endpoint = toOutcome([&] { return parseEndpoint(address); });
    co_await connection->connect(std::get<asio::ip::tcp::endpoint>(endpoint), callerTimeout);
    bool isOpen = true;
    for (std::size_t n = 0; n < requests.size() && isOpen; ++n) {
        Timer timer(executor, requests[n].delay);
        co_await timer.async_wait(asTuple);
        conversation->answers.emplace_back();
        std::string text = requests[n].text;
        co_await connection->send(std::move(text), callerTimeout);
        HttpReadResult<HttpResponseHead> head = co_await connection->readHead(false, callerTimeout);
        CallerResponse &answer = conversation->answers.back();
        answer.status = head.value.status;
        answer.head = head.value;
        isOpen = head.ioStatus == HttpIoStatus::Done;
        while (isOpen && !answer.isComplete) {
            HttpReadResult<std::string> part = co_await connection->readBodyPart(callerTimeout);
            answer.body += part.value;
            isOpen = part.ioStatus == HttpIoStatus::Done;
            answer.isComplete = isOpen && part.value.empty();
        }
        isOpen = isOpen && head.value.isKeepAlive;
    }
    conversation->isDone = true;
}

/** @returns the ids of the events, in which consecutive ones are joined, as in "1-8,10-10" */
std::string idsOf(const std::string &body)
{
    std::vector<std::pair<std::uint64_t, std::uint64_t>> ranges;
    for (std::size_t at = body.find("id: "); at != std::string::npos;
         at = body.find("id: ", at + 1)) {
        const std::uint64_t id = std::stoull(body.substr(at + 4));
        if (ranges.empty() || id != ranges.back().second + 1) {
            ranges.emplace_back(id, id);
        }
        ranges.back().second = id;
    }
    std::string text;
    for (const auto &[first, last] : ranges) {
        text += (text.empty() ? "" : ",") + std::to_string(first) + "-" + std::to_string(last);
    }
    return text;
}

/** @returns the status, whether the answer is whole, and its events */
std::string summaryOf(const CallerResponse &answer)
{
    return std::to_string(answer.status) + (answer.isComplete ? " whole " : " broken ")
            + idsOf(answer.body);
}

bool announcesClose(const CallerResponse &answer)
{
    return answer.head.header("Connection") == "close";
}

const std::string wholeStream = "200 whole 1-24";

/** Runs an entry process against a stand-in store and two servers i-1 and i-2. */
class LostAnswersFixture
{
protected:
    LostAnswersFixture()
        : m_log(LogLevel::Error, {}), m_store(m_context.get_executor(), m_log),
          m_sends(std::make_shared<SendLog>()),
          m_first(m_context.get_executor(), m_sends, scriptHook(), m_log),
          m_second(m_context.get_executor(), m_sends, scriptHook(), m_log)
    {
        m_store.put("keyed.op", "config",
                    R"({"version":1,"routes":[{"name":"r","host":"a.example","pathPrefix":"/x/",)"
                    R"("routeKind":"streaming","timeoutMs":8000,"targetLatencyMs":400,)"
                    R"("service":"p","maxAttempts":2,"streamResume":true}],)"
                    R"("services":[{"name":"p"}],)"
                    R"("tenants":[{"name":"ann","apiKeys":["key"]}]})");
    }

    /** The n-th send of a request gets the n-th script; the last one is repeated. */
    ChooseScript scriptHook()
    {
        return [this](const std::string &requestId, std::size_t earlierSends) {
            const auto it = m_scripts.find(requestId);
            const std::vector<StreamScript> &scripts = it == m_scripts.end() ? m_usual : it->second;
            return scripts[std::min(earlierSends, scripts.size() - 1)];
        };
    }

    /** @returns a stream whose server pauses in the middle of it */
    static StreamScript pausing(Duration pause)
    {
        StreamScript script;
        script.pausesBefore = pausedEvent;
        script.pause = pause;
        return script;
    }

    void list(const std::string &id, const StreamStandin &server, int slots = 1000)
    {
        m_store.put("keyed.servers", id,
                    R"({"service":"p","address":")" + server.address().text()
                            + R"(","zone":"a","slots":)" + std::to_string(slots)
                            + R"(,"state":"ready","born":1})");
    }

    void startEntry(const std::string &settings = {})
    {
        m_entry.emplace(m_context, m_store.address(), settings);
        REQUIRE(waitUntil([this] { return isReady(); }));
    }

    /** Starts an entry whose service has both servers. */
    void startFleet(std::vector<StreamScript> scripts, const std::string &settings = {})
    {
        m_usual = std::move(scripts);
        list("i-1", m_first);
        list("i-2", m_second);
        startEntry(settings);
    }

    /** Starts an entry that has filled i-2 with streams, and then lists i-1. */
    void startFleetWithSecondFull()
    {
        StreamScript busy;
        busy.events = 90;
        m_scripts = {{"busy-1", {busy}}, {"busy-2", {busy}}};
        list("i-2", m_second, 1);
        startEntry();
        m_busy = {call("busy-1"), call("busy-2")};
        REQUIRE(waitUntil([this] { return m_second.requests() == m_busy.size(); }));
        list("i-1", m_first);
        runFor(applyTime);
    }

    bool isReady()
    {
        std::optional<CallerResponse> received;
        const std::string text = "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
        asio::co_spawn(m_context,
                       exchange(m_context.get_executor(), m_entry->readyAddress(), text, received),
                       asio::detached);
        return waitUntil([&] { return received.has_value(); }) && received->status == 200;
    }

    /** Runs the tasks until a condition holds. @returns false if it does not hold in time */
    bool waitUntil(const std::function<bool()> &condition)
    {
        return runUntil(m_context, condition, conditionTimeout);
    }

    void runFor(Duration time) { m_context.run_for(time); }

    static DelayedText request(const std::string &id, Duration delay = {})
    {
        return {"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                        + "\r\nKey: key\r\nRemaining-Time-Ms: 6000\r\nContent-Length: "
                          "4\r\n\r\nbody",
                delay};
    }

    /** Begins to send requests on a new connection. */
    ConversationPtr begin(std::vector<DelayedText> requests)
    {
        auto conversation = std::make_shared<Conversation>();
        asio::co_spawn(m_context,
                       converse(m_context.get_executor(), m_entry->frontAddress(),
                                std::move(requests), conversation),
                       asio::detached);
        return conversation;
    }

    ConversationPtr call(const std::string &id) { return begin({request(id)}); }

    /** Waits for the end of a conversation that consists of one stream. */
    void requireWhole(const ConversationPtr &conversation)
    {
        REQUIRE(waitUntil([&] { return conversation->isDone; }));
        INFO(m_entry->logLines("\"request."));
        REQUIRE(summaryOf(conversation->answers.front()) == wholeStream);
    }

    /** Sends one request and requires that its stream arrives whole. */
    void requireWholeStream() { requireWhole(call("s-1")); }

    /** Requires that each answer is whole, and that only the last one ends the connection. */
    static void requireAnswersUpToClose(const Conversation &conversation)
    {
        for (const CallerResponse &answer : conversation.answers) {
            const bool isRefusal = summaryOf(answer) == "503 whole " && announcesClose(answer);
            CAPTURE(summaryOf(answer), announcesClose(answer));
            REQUIRE((isRefusal || summaryOf(answer) == wholeStream));
        }
        REQUIRE(announcesClose(conversation.answers.back()));
    }

    /** Requires that the process ends by itself once its callers have gone. */
    void requireExit()
    {
        REQUIRE(waitUntil([this] { return m_entry->exitCode() != -1; }));
        REQUIRE(m_entry->exitCode() == 0);
    }

    asio::io_context m_context;
    Log m_log;
    StoreStandin m_store;
    std::shared_ptr<SendLog> m_sends;
    /** Scripts of the requests that are not in m_scripts. Invariant: not empty. */
    std::vector<StreamScript> m_usual {StreamScript()};
    std::map<std::string, std::vector<StreamScript>> m_scripts;
    StreamStandin m_first;
    StreamStandin m_second;
    std::optional<EdgeProcess> m_entry;
    std::vector<ConversationPtr> m_busy;
};

// The stream was given up after 1.5 s of silence, although no other server could go on with it.
TEST_CASE_METHOD(LostAnswersFixture,
                 "stream_serverIsSilentAndOtherIsFull_isWholeOnceTheServerGoesOn")
{
    startFleetWithSecondFull();
    m_usual = {pausing(milliseconds(2000))};
    requireWholeStream();
    REQUIRE(m_sends->countOf("s-1") == 1);
    for (const ConversationPtr &busy : m_busy) {
        REQUIRE(waitUntil([&] { return busy->isDone; }));
        REQUIRE(summaryOf(busy->answers.front()) == "200 whole 1-90");
    }
}

// The stream was given up although the other server had not taken it over.
TEST_CASE_METHOD(LostAnswersFixture,
                 "stream_serverIsSilentAndOtherRejects_isWholeOnceTheServerGoesOn")
{
    StreamScript rejecting;
    rejecting.isRejected = true;
    startFleet({pausing(milliseconds(2000)), rejecting});
    requireWholeStream();
}

// The stream was given up although the retry budget allowed no other server.
TEST_CASE_METHOD(LostAnswersFixture,
                 "stream_serverIsSilentAndRetryBudgetIsUsedUp_isWholeOnceTheServerGoesOn")
{
    startFleet({pausing(milliseconds(2000))}, "bounds.retrySlack=0\nbounds.retryBudgetRatio=0\n");
    requireWholeStream();
    REQUIRE(m_sends->countOf("s-1") == 1);
}

// The first server had been given up, so that the stream hung on a server that was silent as well.
TEST_CASE_METHOD(LostAnswersFixture,
                 "stream_serverIsSilentAndReplacementIsSilentToo_isWholeOnceOneGoesOn")
{
    StreamScript silent = pausing(forever);
    silent.headDelay = GENERATE(Duration(), Duration(forever));
    CAPTURE(silent.headDelay.count());
    startFleet({pausing(milliseconds(2500)), silent});
    requireWholeStream();
}

// Waiting for the silent server must not keep the stream from another one, nor hold both for long.
TEST_CASE_METHOD(LostAnswersFixture,
                 "stream_serverIsSilentForGood_isResumedAndSilentServerIsReleased")
{
    startFleet({pausing(forever), StreamScript()});
    requireWholeStream();
    REQUIRE(m_sends->countOf("s-1") == 2);
    const ReceivedSend &silent = m_sends->sends[0];
    const ReceivedSend &replacement = m_sends->sends[1];
    REQUIRE(waitUntil([&] { return silent.closedAt.has_value(); }));
    REQUIRE(*silent.closedAt - *replacement.firstEventAt < milliseconds(500));
}

// The replacement must carry on alone once the silent server has broken off.
TEST_CASE_METHOD(LostAnswersFixture,
                 "stream_silentServerBreaksOffBeforeReplacementSends_isWholeFromReplacement")
{
    StreamScript breaking = pausing(milliseconds(2000));
    breaking.breaksBefore = pausedEvent;
    startFleet({breaking, pausing(milliseconds(1000))});
    requireWholeStream();
}

// Two servers that send the same events at the same time must not be mixed.
TEST_CASE_METHOD(LostAnswersFixture, "stream_silentServerGoesOnAsReplacementIsAsked_eventsComeOnce")
{
    const auto pause = milliseconds(GENERATE(1480, 1500, 1520, 1550, 1560));
    CAPTURE(pause.count());
    startFleet({pausing(pause), StreamScript()});
    requireWholeStream();
}

// The connection was closed after an answer that had not announced it, with the next request on it.
TEST_CASE_METHOD(LostAnswersFixture,
                 "stop_streamInProgressAtSigterm_nextRequestOnItsConnectionIsAnswered")
{
    StreamScript script;
    // The longer one ends after the entry has stopped to serve further requests.
    script.interval = milliseconds(GENERATE(50, 150));
    CAPTURE(script.interval.count());
    startFleet({script});
    const ConversationPtr caller =
            begin({request("s-1"), request("s-2"), request("s-3"), request("s-4")});
    REQUIRE(waitUntil([&] { return !caller->answers.empty() && caller->answers[0].status != 0; }));
    m_entry->signal(SIGTERM);
    REQUIRE(waitUntil([&] { return caller->isDone; }));
    INFO(m_entry->logLines("\"request."));
    REQUIRE(summaryOf(caller->answers.front()) == wholeStream);
    requireAnswersUpToClose(*caller);
    requireExit();
}

// A connection that was idle at the signal must not be closed under the caller's next request.
TEST_CASE_METHOD(LostAnswersFixture,
                 "stop_idleConnectionAtSigterm_nextRequestIsAnsweredAndClosesIt")
{
    startFleet({StreamScript()});
    const ConversationPtr caller = begin({request("s-1"), request("s-2", milliseconds(1000))});
    REQUIRE(waitUntil([&] { return !caller->answers.empty() && caller->answers[0].isComplete; }));
    REQUIRE_FALSE(announcesClose(caller->answers[0]));
    m_entry->signal(SIGTERM);
    REQUIRE(waitUntil([&] { return caller->isDone; }));
    REQUIRE(caller->answers.size() == 2);
    requireAnswersUpToClose(*caller);
    requireExit();
}

// The kernel reset the connection of a caller that had not read for three seconds.
TEST_CASE_METHOD(LostAnswersFixture, "caller_doesNotReadForSeconds_getsTheWholeStreamLater")
{
    StreamScript script;
    script.eventBytes = 4096;
    startFleet({script});
    const auto endpoint = toOutcome([this] { return parseEndpoint(m_entry->frontAddress()); });
    asio::ip::tcp::socket caller(m_context, asio::ip::tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size(4096));
    caller.connect(std::get<asio::ip::tcp::endpoint>(endpoint));
    asio::write(caller, asio::buffer(request("s-1").text));
    runFor(milliseconds(5000));
    std::string answer;
    boost::system::error_code ec;
    asio::async_read_until(caller, asio::dynamic_buffer(answer), "0\r\n\r\n",
                           [&ec](const boost::system::error_code &end, std::size_t) { ec = end; });
    REQUIRE(waitUntil([&] { return ec || answer.ends_with("0\r\n\r\n"); }));
    INFO(m_entry->logLines("\"request."));
    CAPTURE(answer.size(), idsOf(answer));
    REQUIRE_FALSE(ec);
    REQUIRE(idsOf(answer) == "1-24");
}

// Timers that ran out while the process stood still were taken for the silence of the servers.
TEST_CASE_METHOD(LostAnswersFixture, "pause_entryStandsStillWhileServersSend_streamsGoOn")
{
    constexpr std::size_t streams = 200;
    StreamScript script;
    script.events = 40;
    script.interval = milliseconds(100);
    startFleet({script});
    std::vector<ConversationPtr> callers;
    for (std::size_t n = 0; n < streams; ++n) {
        callers.push_back(call("s-" + std::to_string(n)));
    }
    REQUIRE(waitUntil([&] {
        return std::all_of(callers.begin(), callers.end(), [](const ConversationPtr &caller) {
            return !caller->answers.empty() && caller->answers[0].status == 200;
        });
    }));
    m_entry->signal(SIGSTOP);
    runFor(milliseconds(2200));
    m_entry->signal(SIGCONT);
    REQUIRE(waitUntil([&] {
        return std::all_of(callers.begin(), callers.end(),
                           [](const ConversationPtr &caller) { return caller->isDone; });
    }));
    const auto broken =
            std::count_if(callers.begin(), callers.end(), [](const ConversationPtr &caller) {
                return summaryOf(caller->answers.front()) != "200 whole 1-40";
            });
    const std::string silent = m_entry->logLines(R"("end":"silent")");
    INFO("sends ended as silent: " << std::count(silent.begin(), silent.end(), '\n'));
    CAPTURE(summaryOf(callers.front()->answers.front()));
    CHECK(broken == 0);
    CHECK(m_sends->resentRequests() == 0);
    CHECK(m_sends->sends.size() == streams);
}

} // namespace
} // namespace greengageseam
