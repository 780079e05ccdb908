/**
 * Failure tests of hedges beside attempts that are late, but not silent: a server answers far later
 * than usual while another one could answer at once.
 * labels: platform
 */
#include "scriptedfleet.h"

#include <sstream>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

const std::string sealed = "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\n";
const std::string whole = sealed + "Content-Length: 5\r\n\r\nwhole";
const std::string stream = sealed
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
          "f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n";
/** Enough for the entry to know how long answers usually take, and to have saved up a hedge. */
constexpr std::size_t usualAnswers = 30;
/** Shorter than the silence after which a request is hedged in any case. */
constexpr auto slowAnswer = milliseconds(800);

class HedgingFleetFixture : public ScriptedFleet
{
protected:
    /** Starts an entry to which the usual answers were given; the next one comes late. */
    void startWithLateAnswer(const std::string &kind, double ratio)
    {
        m_settings.hedgeRatio = ratio;
        const std::string answer = kind == "streaming" ? stream : whole;
        std::deque<ScriptedAnswer> answers(usualAnswers, ScriptedAnswer {answer});
        answers.push_back({answer, AfterAnswer::Keeps, {}, slowAnswer});
        answers.push_back({answer});
        startFleet(kind, std::move(answers));
        for (std::size_t n = 0; n < usualAnswers; ++n) {
            REQUIRE(sendRequest("usual-" + std::to_string(n)).status == 200);
        }
    }

    /** Sends the request that is answered late. @returns the time to its answer */
    Duration timeToAnswer()
    {
        const Instant sentAt = monotonicNow();
        const CallerResponse answer = sendRequest("late");
        REQUIRE(answer.status == 200);
        REQUIRE(answer.isComplete);
        return monotonicNow() - sentAt;
    }

    /** @returns the lines of the metrics about hedges */
    std::string hedgeMetrics()
    {
        const Address address(m_settings.ip + ":" + std::to_string(m_settings.lastPort));
        const std::string body = send(address, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").body;
        std::istringstream lines(body);
        std::string found;
        for (std::string line; std::getline(lines, line);) {
            found += line.find("_hedges_") == std::string::npos ? "" : line + "\n";
        }
        return found;
    }
};

TEST_CASE_METHOD(HedgingFleetFixture, "request_serverIsSlowAndRatioIsSet_isAnsweredByOther")
{
    const std::string kind = GENERATE(as<std::string>(), "idempotent", "streaming");
    CAPTURE(kind);
    startWithLateAnswer(kind, 0.2);
    REQUIRE(timeToAnswer() < slowAnswer / 2);
    REQUIRE(m_script->requests.size() == usualAnswers + 2);
    INFO(hedgeMetrics());
    REQUIRE(hedgeMetrics().find(R"(hedges_total{end="won"} 1)") != std::string::npos);
}

TEST_CASE_METHOD(HedgingFleetFixture, "request_serverIsSlowAndRatioIsZero_isAnsweredByFirst")
{
    const std::string kind = GENERATE(as<std::string>(), "idempotent", "streaming");
    CAPTURE(kind);
    startWithLateAnswer(kind, 0);
    REQUIRE(timeToAnswer() >= slowAnswer);
    REQUIRE(m_script->requests.size() == usualAnswers + 1);
    REQUIRE(hedgeMetrics().empty());
}

// A request that may not be repeated must not reach a second server, however late the first is.
TEST_CASE_METHOD(HedgingFleetFixture, "request_notIdempotentAndServerIsSlow_isSentOnce")
{
    startWithLateAnswer("nonidempotent", 0.2);
    REQUIRE(timeToAnswer() >= slowAnswer);
    REQUIRE(m_script->requests.size() == usualAnswers + 1);
}

// A stream that has begun goes on with its server until that is silent.
TEST_CASE_METHOD(HedgingFleetFixture, "stream_hasBegunAndServerIsSlow_isNotHedged")
{
    startWithLateAnswer("streaming", 0.2);
    const std::string head = stream.substr(0, stream.size() - 5);
    m_script->answers = {{head, AfterAnswer::Keeps, "0\r\n\r\n"}};
    const CallerResponse answer = sendRequest("begun");
    REQUIRE(answer.isComplete);
    REQUIRE(m_script->requests.size() == usualAnswers + 1);
}

} // namespace
} // namespace greengageseam
