/**
 * Guards against callers that make a process of the first interface exceed its memory or its file
 * descriptors.
 *
 * Each test sends a crowd of such callers to an entry or an agent with lowered limits. The checks
 * do not depend on the speed of the machine: both processes live, their peak memory and their open
 * sockets stay below the limits, and an ordinary request is answered.
 * labels: failure
 */
#include "crowd.h"
#include "fleet.h"
#include "net/clock.h"
#include "protocol/framecodec.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

constexpr std::size_t maxMemoryKb = 64UL * 1024;
constexpr std::size_t maxDescriptors = 600;
/** Descriptors of the limit that are reserved for files. */
constexpr std::size_t fileDescriptors = 200;
/** Limit of a request's body. */
constexpr std::size_t maxBodyBytes = 1024UL * 1024;
constexpr std::size_t answeredBodyBytes = 900UL * 1000;
constexpr std::size_t requestsOfSilentReader = 4;
constexpr int slowAnswerMs = 3000;
constexpr auto settleTime = std::chrono::seconds(2);
constexpr auto pollInterval = std::chrono::milliseconds(50);
const std::string target = "/services/desk/notes";

std::string headOf(const std::string &framing)
{
    return "POST " + target + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer caps-key\r\n" + framing
            + "\r\n";
}

/** An entry and an agent with low limits, and a service that echoes the body of a request. */
class DaemonLimitsFixture
{
protected:
    DaemonLimitsFixture()
        : m_fleet({"GREENGAGESEAM_MEMORY_LIMIT=" + std::to_string(maxMemoryKb * 1024),
                   "GREENGAGESEAM_DESCRIPTOR_LIMIT=" + std::to_string(maxDescriptors)})
    {
        m_fleet.startPlatform();
        m_fleet.startService("service");
        m_fleet.startEntry("entry", "fyn");
        m_fleet.startAgent("agent", "fyn", "service", {"--service=desk"});
        REQUIRE(waitUntil([this] { return m_fleet.isReady("entry"); }));
        REQUIRE(m_fleet.accept("entry",
                               {"service/desk/non-idempotent=POST /commits",
                                "account/caps/key=" + digestOf("caps-key").text()})
                == 200);
        REQUIRE(waitUntil([this] { return statusOf("body") == 200; }));
    }

    int statusOf(const std::string &body) const
    {
        const auto answer = m_fleet.call("entry", target, body, "caps-key");
        const auto *response = std::get_if<HttpResponse>(&answer);
        return response == nullptr ? 0 : response->status;
    }

    Address httpAddress(const std::string &name) const { return m_fleet.addresses(name).http; }

    Address peerAddress(const std::string &name) const
    {
        return m_fleet.addresses(name).peerOrAdmin;
    }

    /** Sends what a crowd has to send, and keeps its connections open. */
    void runCrowd(std::size_t callers, const Address &address, const CallerScript &script)
    {
        m_crowd.add(callers, address, script);
        const Instant end = monotonicNow() + crowdTime;
        while (!m_crowd.isDone() && monotonicNow() < end) {
            m_context.run_for(pollInterval);
            countSockets();
        }
        // What was sent may still be on its way to the process.
        m_context.run_for(settleTime);
        countSockets();
    }

    void countSockets()
    {
        for (const char *name : {"entry", "agent"}) {
            m_mostSockets = std::max(m_mostSockets, openSockets(m_fleet.idOf(name)));
        }
    }

    /** Requires that the processes serve while the crowd is connected, and have kept their limits.
     */
    void requireWithinLimits()
    {
        CHECK(statusOf("body") == 200);
        countSockets();
        CHECK(m_mostSockets <= maxDescriptors - fileDescriptors);
        for (const char *name : {"entry", "agent"}) {
            CAPTURE(name);
            CHECK(m_fleet.waitForExit(name, Duration::zero()) == -1);
            CHECK(m_fleet.isReady(name));
            CHECK(peakMemoryKb(m_fleet.idOf(name)) <= maxMemoryKb);
        }
    }

    Fleet m_fleet;
    asio::io_context m_context;
    CallerCrowd m_crowd {m_context};
    std::size_t m_mostSockets = 0;
};

TEST_CASE_METHOD(DaemonLimitsFixture, "daemon_largestBodyWithoutLoad_isServed")
{
    REQUIRE(statusOf(std::string(maxBodyBytes, 'b')) == 200);
    requireWithinLimits();
}

// Nothing of such a message has a length of its own that could be refused.
TEST_CASE_METHOD(DaemonLimitsFixture, "daemon_messagesWithoutEnd_keepsItsLimits")
{
    const std::string process = GENERATE(as<std::string>(), "entry", "agent");
    const std::string chunk = "400\r\n" + std::string(1024, 'b') + "\r\n";
    const CallerScript script = GENERATE_COPY(
            CallerScript {headOf(chunkedField) + "4\r\nbody\r\n0\r\n", pieceOf("A: b\r\n"),
                          maxBytesOfCaller},
            CallerScript {headOf(chunkedField) + "4;a=", pieceOf("b"), maxBytesOfCaller},
            CallerScript {headOf(chunkedField), pieceOf(chunk), maxBytesOfCaller});
    CAPTURE(process, script.opening);
    runCrowd(fewCallers, httpAddress(process), script);
    requireWithinLimits();
}

TEST_CASE_METHOD(DaemonLimitsFixture, "daemon_bodiesAnnouncedOverTheLimit_keepsItsLimits")
{
    runCrowd(fewCallers, httpAddress("entry"),
             {headOf(lengthField(maxBytesOfCaller)), pieceOf("b"), maxBytesOfCaller});
    requireWithinLimits();
}

// Each body is within the limit of a request, but all of them are not within that of the process.
TEST_CASE_METHOD(DaemonLimitsFixture, "entry_manyBodiesStopShortOfTheirEnd_keepsItsLimits")
{
    runCrowd(manyCallers, httpAddress("entry"),
             {headOf(lengthField(maxBodyBytes)), pieceOf("b"), maxBodyBytes - missingBytes});
    requireWithinLimits();
}

TEST_CASE_METHOD(DaemonLimitsFixture, "agent_manyBodiesStopShortOfTheirEnd_keepsItsLimits")
{
    runCrowd(manyCallers, httpAddress("agent"),
             {headOf(lengthField(maxBodyBytes)), pieceOf("b"), maxBodyBytes - missingBytes});
    requireWithinLimits();
}

TEST_CASE_METHOD(DaemonLimitsFixture, "entry_manyLargeBodiesAtOnce_keepsItsLimits")
{
    m_fleet.setFaults("service", {{"delayMs", slowAnswerMs}});
    runCrowd(manyCallers, httpAddress("entry"),
             {headOf(lengthField(maxBodyBytes)), pieceOf("b"), maxBodyBytes});
    m_fleet.setFaults("service", {{"delayMs", 0}});
    requireWithinLimits();
}

TEST_CASE_METHOD(DaemonLimitsFixture, "entry_answersAreNotRead_keepsItsLimits")
{
    std::string requests;
    for (std::size_t n = 0; n < requestsOfSilentReader; ++n) {
        requests += headOf(lengthField(answeredBodyBytes)) + std::string(answeredBodyBytes, 'b');
    }
    runCrowd(manyCallers, httpAddress("entry"), {requests, "", 0});
    requireWithinLimits();
}

TEST_CASE_METHOD(DaemonLimitsFixture, "daemon_manyIdleConnections_keepsItsLimits")
{
    const std::string process = GENERATE(as<std::string>(), "entry", "agent");
    CAPTURE(process);
    runCrowd(idleCallers, httpAddress(process), {});
    requireWithinLimits();
}

// Whoever reaches the port for links has not proved to be a process of the system.
TEST_CASE_METHOD(DaemonLimitsFixture, "daemon_largeFramesBeforeTheProof_keepsItsLimits")
{
    const std::string process = GENERATE(as<std::string>(), "entry", "agent");
    CAPTURE(process);
    runCrowd(manyCallers, peerAddress(process),
             {frameHeader(maxFrameBytes), pieceOf("b"), maxFrameBytes - missingBytes});
    requireWithinLimits();
}

} // namespace
} // namespace greengageseam
