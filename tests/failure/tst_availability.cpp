/**
 * Failure tests of what backend servers say of themselves in their answers: that they leave, and
 * that they want no requests for some time.
 * labels: platform
 */
#include "scriptedfleet.h"

namespace greengageseam {
namespace {

const std::string leavingField = "Server-Leaving: 1\r\n";
const std::string sealed = "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\n";
const std::string rest = "Content-Length: 5\r\n\r\nwhole";
const std::string whole = sealed + rest;
const std::string wholeAndLeaving = sealed + leavingField + rest;

std::string refusal(const std::string &fields)
{
    return "HTTP/1.1 503 Full\r\nAttempt-Id: ATTEMPT\r\nNot-Executed: 1\r\n" + fields
            + "Content-Length: 0\r\n\r\n";
}

std::string pauseOf(const std::string &seconds)
{
    return refusal("Retry-After: " + seconds + "\r\n");
}

class AvailabilityFixture : public ScriptedFleet
{
protected:
    std::size_t requests() const { return m_script->requests.size(); }
    /** @returns the id of the server that received the n-th request, counted from 0 */
    std::string receiver(std::size_t n) const
    {
        return fieldOf(m_script->requests.at(n), "Expected-Instance");
    }
    /** Sends requests, all of which the other server must receive. */
    void requireThatOnlyTheOtherIsUsed()
    {
        const std::string held = receiver(0);
        for (int n = 0; n < 12; ++n) {
            REQUIRE(sendRequest("r" + std::to_string(n)).status == 200);
            REQUIRE(receiver(requests() - 1) != held);
        }
    }
};

TEST_CASE_METHOD(AvailabilityFixture, "availability_serverSaysThatItLeaves_getsNoFurtherRequest")
{
    const std::string answer =
            GENERATE_COPY(as<std::string>(), wholeAndLeaving, refusal(leavingField));
    const std::string kind = GENERATE(as<std::string>(), "idempotent", "non_idempotent");
    startFleet(kind, {{answer}, {whole}}, false);
    sendRequest("one");
    runFor(std::chrono::milliseconds(200));
    REQUIRE(sendRequest("two").status == 503);
    REQUIRE(requests() == 1);
}

TEST_CASE_METHOD(AvailabilityFixture, "availability_streamingServerSaysThatItLeaves_isLeftAtOnce")
{
    const std::string stream = sealed + leavingField
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    startFleet("streaming", {{stream}, {whole}}, false, false);
    std::optional<CallerResponse> first;
    asio::co_spawn(
            m_context,
            exchange(m_context.get_executor(), m_settings.frontAddress, requestText("one"), first),
            asio::detached);
    REQUIRE(waitUntil([this] { return requests() == 1; }));
    runFor(std::chrono::milliseconds(100));
    REQUIRE(sendRequest("two").status == 503);
    REQUIRE(requests() == 1);
}

TEST_CASE_METHOD(AvailabilityFixture, "availability_leavingServer_isLeftOutWhateverTheListSays")
{
    startFleet("idempotent", {{wholeAndLeaving}, {whole}}, false);
    REQUIRE(sendRequest("one").status == 200);
    list("i-1", m_first.address(), 1, "draining");
    runFor(std::chrono::milliseconds(200));
    list("i-1", m_first.address());
    runFor(std::chrono::milliseconds(200));
    REQUIRE(sendRequest("two").status == 503);
    m_store.put("keyed.servers", "i-1", std::nullopt);
    runFor(std::chrono::milliseconds(200));
    list("i-1", m_first.address());
    runFor(std::chrono::milliseconds(200));
    REQUIRE(sendRequest("three").status == 503);
    REQUIRE(requests() == 1);
}

TEST_CASE_METHOD(AvailabilityFixture, "availability_newIncarnation_isNotHeldBack")
{
    const std::string answer = GENERATE_COPY(refusal(leavingField), pauseOf("30"));
    const std::string id = GENERATE(as<std::string>(), "i-1", "i-2");
    startFleet("idempotent", {{answer}, {whole}}, false);
    sendRequest("one");
    list(id, m_first.address(), 2);
    runFor(std::chrono::milliseconds(200));
    REQUIRE(sendRequest("two").status == 200);
}

// A request that waits for a slot must not get the one that the leaving server sets free.
TEST_CASE_METHOD(AvailabilityFixture,
                 "availability_serverLeavesAsARequestWaits_waitingOneIsNotSent")
{
    const Duration delay = std::chrono::milliseconds(70);
    startFleet("idempotent",
               {{wholeAndLeaving, AfterAnswer::Keeps, "", delay},
                {whole, AfterAnswer::Keeps, "", delay}},
               false);
    list("i-1", m_first.address(), 2, "ready", 1);
    runFor(std::chrono::milliseconds(200));
    std::array<std::optional<CallerResponse>, 3> responses;
    for (std::size_t n = 0; n < responses.size(); ++n) {
        asio::co_spawn(m_context,
                       exchange(m_context.get_executor(), m_settings.frontAddress,
                                requestText("r" + std::to_string(n)), responses.at(n)),
                       asio::detached);
    }
    REQUIRE(waitUntil([&] {
        return std::all_of(responses.begin(), responses.end(),
                           [](const auto &it) { return it.has_value(); });
    }));
    REQUIRE(requests() == 2);
}

TEST_CASE_METHOD(AvailabilityFixture, "availability_refusedByAHeldServer_isRepeatedAtTheOther")
{
    const std::string answer = GENERATE_COPY(refusal(leavingField), pauseOf("5.5"));
    startFleet("non_idempotent", {{answer}, {whole}});
    REQUIRE(sendRequest("one").status == 200);
    requireThatOnlyTheOtherIsUsed();
}

TEST_CASE_METHOD(AvailabilityFixture, "availability_serverAsksForAPause_getsNothingUntilItsEnd")
{
    startFleet("idempotent", {{pauseOf("1.2")}, {whole}}, false);
    const Instant begin = monotonicNow();
    REQUIRE(sendRequest("one").status == 503);
    const CallerResponse early = sendRequest("two");
    REQUIRE(early.status == 503);
    const double advised = std::stod(std::string(early.head.header("Retry-After").value_or("0")));
    REQUIRE(advised > 0.6);
    REQUIRE(requests() == 1);
    REQUIRE(waitUntil([this] { return sendRequest("more").status == 200; }));
    REQUIRE(monotonicNow() - begin > std::chrono::milliseconds(1200));
    REQUIRE(monotonicNow() - begin < std::chrono::milliseconds(1900));
}

TEST_CASE_METHOD(AvailabilityFixture, "availability_pauseIsNoTime_isIgnored")
{
    const std::string seconds = GENERATE(as<std::string>(), "-3", "soon", "inf", "nan", "", "3s",
                                         "Wed, 21 Oct 2026 07:28:00 GMT");
    CAPTURE(seconds);
    startFleet("idempotent", {{pauseOf(seconds)}, {whole}}, false);
    REQUIRE(sendRequest("one").status == 503);
    runFor(std::chrono::milliseconds(200));
    REQUIRE(sendRequest("two").status == 200);
}

// Only a 503 asks for a pause; other failures may carry the field for the caller.
TEST_CASE_METHOD(AvailabilityFixture, "availability_retryAfterOfAnotherStatus_isNoPause")
{
    startFleet("idempotent",
               {{"HTTP/1.1 404 No\r\nAttempt-Id: ATTEMPT\r\nRetry-After: 9\r\n"
                 "Content-Length: 0\r\n\r\n"},
                {whole}},
               false);
    REQUIRE(sendRequest("one").status == 404);
    REQUIRE(sendRequest("two").status == 200);
}

} // namespace
} // namespace greengageseam
