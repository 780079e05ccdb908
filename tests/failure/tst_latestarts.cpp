/**
 * Failure tests of requests that would begin late on older weights: the entry heard of newer ones
 * late, the backend server has fallen silent, or the entry is held up before it sends the request.
 * labels: platform
 */
#include "scriptedfleet.h"
#include "sidecar/loadreporter.h"

#include <thread>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

constexpr auto weightsBound = std::chrono::seconds(5);
/** Longer than a load report is valid. */
constexpr auto silence = milliseconds(1200);
constexpr auto reportInterval = milliseconds(100);

/** Runs an entry, and the reporter of an agent beside an engine that runs version 1 of "m". */
class LateStartsFixture : protected ScriptedFleet
{
protected:
    LateStartsFixture()
    {
        m_settings.ip = "127.0.0.2";
        m_settings.bounds.weightsApply = weightsBound;
        m_script->answers = {{"HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\n"
                              "Content-Length: 2\r\n\r\nok"}};
        LoadReporterHooks hooks;
        hooks.onEntriesChanged = [](const std::vector<EntryLocation> &) { };
        hooks.onTargetVersion = [](const TargetVersion &) { };
        m_agent = std::make_shared<LoadReporter>(m_context.get_executor(), m_settings.zone,
                                                 ServiceName("pool"), hooks, m_log);
    }

    void startAgent()
    {
        REQUIRE(m_agent->start("127.0.0.1", static_cast<std::uint16_t>(m_settings.firstPort + 1)));
    }

    /** Starts an entry with an engine at an address, which the list has on version 1. */
    void startEntryWithEngineAt(const Address &address)
    {
        m_store.put("keyed.op", "config",
                    R"({"version":1,"routes":[{"name":"r","host":"a.example","pathPrefix":"/x/",)"
                    R"("routeKind":"idempotent","timeoutMs":3000,"targetLatencyMs":400,)"
                    R"("service":"p","maxAttempts":1,"anonymous":true}],)"
                    R"("services":[{"name":"p","engine":{"slots":8,"step_ms":7,)"
                    R"("usual":{"prompt":9,"answer":9},"models":[{"name":"m"}]}}]})");
        m_store.put("keyed.servers", "i-1",
                    R"({"service":"p","address":")" + address.text()
                            + R"(","zone":"a","slots":8,"state":"ready","born":1,)"
                              R"("models":[{"name":"m","version":1}]})");
        startEntry();
    }

    /** The agent reports the engine's weights for some time. */
    void reportFor(std::uint64_t version, Duration time)
    {
        LoadReport report;
        report.backend = m_first.address();
        report.startedAtMs = 1;
        report.weightsVersion = version;
        for (Duration past {}; past < time; past += reportInterval) {
            m_agent->mailbox()->post(report);
            runFor(reportInterval);
        }
    }

    void announce(std::uint64_t version)
    {
        m_store.put("keyed.op", "version/m",
                    R"({"model":"m","version":)" + std::to_string(version) + "}");
    }

    std::shared_ptr<LoadReporter> m_agent;
};

// A server whose machine stands still begins what was sent to it when the machine wakes.
TEST_CASE_METHOD(LateStartsFixture, "entry_serverOnOlderWeightsFellSilent_getsNoFurtherRequests")
{
    startAgent();
    startEntryWithEngineAt(m_first.address());
    reportFor(1, milliseconds(500));
    announce(2);
    reportFor(1, milliseconds(300));
    REQUIRE(sendRequest("1").status == 200);
    runFor(silence);
    REQUIRE(sendRequest("2").status == 503);
    REQUIRE(m_script->requests.size() == 1);
    reportFor(1, milliseconds(200));
    REQUIRE(sendRequest("3").status == 200);
}

TEST_CASE_METHOD(LateStartsFixture, "entry_serverOnNewestWeightsFellSilent_goesOnGettingRequests")
{
    startAgent();
    startEntryWithEngineAt(m_first.address());
    reportFor(1, milliseconds(500));
    runFor(silence);
    REQUIRE(sendRequest("1").status == 200);
}

// An entry whose reads fail while others read must not keep the date at which it heard itself.
TEST_CASE_METHOD(LateStartsFixture, "entry_readsVersionLateAndAgentHasKnownIt_requiresItByTheAgent")
{
    startEntryWithEngineAt(m_first.address());
    runFor(milliseconds(300));
    m_store.failWith(503);
    runFor(milliseconds(1000));
    announce(2);
    const Instant announcedAt = monotonicNow();
    runFor(milliseconds(1500));
    m_store.failWith(200);
    runFor(milliseconds(1000));
    REQUIRE(sendRequest("0").status == 200);
    m_agent->mailbox()->post(TargetVersionKnown {{ModelName("m"), 2}, announcedAt});
    startAgent();
    runFor(weightsBound - milliseconds(700) - (monotonicNow() - announcedAt));
    REQUIRE(sendRequest("1").status == 503);
    REQUIRE(m_script->requests.size() == 1);
}

// An entry that cannot read for some time must not think that nobody could announce a version.
TEST_CASE_METHOD(LateStartsFixture, "entry_readsFailAsVersionIsAnnounced_requiresItByTheViewBefore")
{
    startEntryWithEngineAt(m_first.address());
    // An entry that has just started takes no version for much older than itself.
    runFor(milliseconds(3000));
    m_store.failWith(503);
    runFor(milliseconds(500));
    const Instant announcedAt = monotonicNow();
    runFor(milliseconds(2000));
    m_agent->mailbox()->post(TargetVersionKnown {{ModelName("m"), 2}, monotonicNow()});
    startAgent();
    runFor(weightsBound - milliseconds(700) - (monotonicNow() - announcedAt));
    REQUIRE(sendRequest("1").status == 503);
    REQUIRE(m_script->requests.empty());
}

// A request that waits at a server must be cut off by what its entry learns meanwhile.
TEST_CASE_METHOD(LateStartsFixture, "entry_learnsOfOldVersionWhileRequestWaits_cutsTheRequestOff")
{
    startAgent();
    startEntryWithEngineAt(m_first.address());
    // An entry that has just started takes no version for much older than itself.
    reportFor(1, milliseconds(3000));
    m_script->answers.front().delay = weightsBound;
    std::optional<CallerResponse> received;
    asio::co_spawn(
            m_context,
            exchange(m_context.get_executor(), m_settings.frontAddress, requestText("1"), received),
            asio::detached);
    REQUIRE(waitUntil([&] { return m_script->requests.size() == 1; }));
    const Instant sentAt = monotonicNow();
    m_agent->mailbox()->post(
            TargetVersionKnown {{ModelName("m"), 2}, sentAt - weightsBound + milliseconds(700)});
    REQUIRE(waitUntil([&] { return received.has_value(); }));
    REQUIRE(received->status == 504);
    REQUIRE(monotonicNow() - sentAt < milliseconds(1500));
}

// An entry that is held up between the choice of a server and the send must not send it late.
TEST_CASE_METHOD(LateStartsFixture, "entry_heldUpUntilOlderWeightsAreOutdated_sendsNothing")
{
    asio::ip::tcp::acceptor acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0});
    acceptor.non_blocking(true);
    startEntryWithEngineAt(addressOf(acceptor.local_endpoint()));
    announce(2);
    runFor(milliseconds(3000));
    std::optional<CallerResponse> received;
    asio::co_spawn(
            m_context,
            exchange(m_context.get_executor(), m_settings.frontAddress, requestText("1"), received),
            asio::detached);
    asio::ip::tcp::socket socket(m_context);
    boost::system::error_code ec = asio::error::would_block;
    const Instant end = monotonicNow() + std::chrono::seconds(1);
    while (ec == asio::error::would_block && monotonicNow() < end) {
        m_context.run_one();
        acceptor.accept(socket, ec);
    }
    REQUIRE_FALSE(ec);
    std::this_thread::sleep_for(milliseconds(1800));
    REQUIRE(waitUntil([&] { return received.has_value(); }));
    REQUIRE(received->status == 503);
    const CallerResponse metrics = send(Address("127.0.0.2:" + std::to_string(m_settings.lastPort)),
                                        "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(metrics.body.find("end=\"choice-expired\"") != std::string::npos);
    socket.non_blocking(true);
    std::array<char, 16> buf {};
    REQUIRE(socket.read_some(asio::buffer(buf), ec) == 0);
}

} // namespace
} // namespace greengageseam
