/**
 * Weight transfers between real processes while the origin or peers fail.
 * labels: failure promise-1
 */
#include "fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

constexpr std::size_t chunkBytes = 65'536;
constexpr std::size_t weightBytes = 48 * chunkBytes;
const std::vector<std::string> allAgents {"agent0", "agent1", "agent2"};

/** Three agents in one zone on slow links, and a version to roll out to all of them. */
class WeightsFixture
{
protected:
    WeightsFixture()
    {
        m_fleet.startPlatform({"--origin-rate=1500000"});
        m_fleet.startEntry("entry", "fyn");
        for (std::size_t n = 0; n < allAgents.size(); ++n) {
            m_fleet.startEngine(engineOf(allAgents[n]));
            m_fleet.startAgent(allAgents[n], "fyn", engineOf(allAgents[n]),
                               {"--link-rate=1000000"});
        }
        REQUIRE(waitUntil([&] { return m_fleet.isReady("entry"); }));
        std::string bytes(weightBytes, '\0');
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            bytes[i] = static_cast<char>(i / chunkBytes);
        }
        m_manifest = m_fleet.publish(bytes, chunkBytes);
    }

    ~WeightsFixture()
    {
        for (const std::string &agent : allAgents) {
            const auto failed = m_fleet.counts(engineOf(agent)).at("loadsFailed");
            CHECK(failed.to_number<int>() == 0);
        }
    }

    static std::string engineOf(const std::string &agent) { return "engine-of-" + agent; }

    void rollOut()
    {
        REQUIRE(m_fleet.accept("entry",
                               {"model/drafts/v1/manifest=" + m_manifest.text(),
                                "model/drafts/v1/weight/zone/fyn=1",
                                "model/drafts/v1/replicas/fyn=3"})
                == 200);
    }

    std::string get(const Address &address, const std::string &target) const
    {
        const auto answer = callOnce(address, {"GET", target, {}, {}});
        const auto *response = std::get_if<HttpResponse>(&answer);
        return response == nullptr ? "" : response->body;
    }

    bool serves(const std::string &agent) const
    {
        const std::string state = get(m_fleet.addresses(engineOf(agent)).http, "/state");
        const std::size_t at = state.find(m_manifest.text());
        return at != std::string::npos && at < state.find("\"loading\"");
    }

    bool allServe(const std::vector<std::string> &agents) const
    {
        return std::all_of(agents.begin(), agents.end(),
                           [this](const std::string &agent) { return serves(agent); });
    }

    /** @returns whether an agent has fetched some of the version's chunks */
    bool hasStarted(const std::string &agent) const
    {
        const std::string metrics = get(m_fleet.addresses(agent).http, "/metrics");
        return metrics.find("weight_bytes_total{") != std::string::npos;
    }

    bool countsMetric(const std::string &agent, const std::string &metric) const
    {
        const std::string metrics = get(m_fleet.addresses(agent).http, "/metrics");
        return metrics.find("\ngreengageseam_" + metric) != std::string::npos;
    }

    Fleet m_fleet;
    Digest m_manifest;
};

TEST_CASE_METHOD(WeightsFixture, "weights_corruptChunksFromOrigin_areRefetchedAndNeverLoaded")
{
    m_fleet.setFaults("platform", {{"corruptChunks", 3}}, "store");
    rollOut();
    REQUIRE(waitUntil([&] { return allServe(allAgents); }));
}

TEST_CASE_METHOD(WeightsFixture, "weights_peerKilledWhileServing_othersComplete")
{
    rollOut();
    REQUIRE(waitUntil([&] { return countsMetric("agent1", "weight_bytes_served_total"); }));
    m_fleet.kill("agent1");
    REQUIRE(waitUntil([&] { return allServe({"agent0", "agent2"}); }));
}

TEST_CASE_METHOD(WeightsFixture, "weights_peerFrozenDuringTransfer_isSkipped")
{
    rollOut();
    REQUIRE(waitUntil([&] { return hasStarted("agent2"); }));
    m_fleet.freeze("agent2");
    REQUIRE(waitUntil([&] { return allServe({"agent0", "agent1"}); }));
    m_fleet.thaw("agent2");
    REQUIRE(waitUntil([&] { return serves("agent2"); }));
}

TEST_CASE_METHOD(WeightsFixture, "weights_agentReplacedDuringTransfer_completesFromItsPeers")
{
    rollOut();
    REQUIRE(waitUntil([&] { return hasStarted("agent0"); }));
    m_fleet.kill("agent0");
    REQUIRE(waitUntil([&] { return allServe({"agent1", "agent2"}); }));
    m_fleet.setFaults("platform", {{"outage", true}}, "store");
    m_fleet.restart("agent0");
    REQUIRE(waitUntil([&] { return serves("agent0"); }));
}

TEST_CASE_METHOD(WeightsFixture, "weights_originDownBeforeFirstCopy_waitsAndCompletes")
{
    m_fleet.setFaults("platform", {{"outage", true}}, "store");
    rollOut();
    REQUIRE(waitUntil(
            [&] { return m_fleet.logOf("agent0").find("manifest-failed") != std::string::npos; }));
    REQUIRE_FALSE(serves("agent0"));
    m_fleet.setFaults("platform", {{"outage", false}}, "store");
    REQUIRE(waitUntil([&] { return allServe(allAgents); }));
}

TEST_CASE_METHOD(WeightsFixture, "weights_versionWithdrawnDuringTransfer_isNeverLoaded")
{
    rollOut();
    REQUIRE(waitUntil([&] { return hasStarted("agent0"); }));
    REQUIRE(m_fleet.accept("entry", {"model/drafts/v1/replicas/fyn=0"}) == 200);
    REQUIRE(waitUntil([&] {
        const std::string metrics = get(m_fleet.addresses("agent0").http, "/metrics");
        return metrics.find("greengageseam_weights_held_bytes 0") != std::string::npos;
    }));
    REQUIRE_FALSE(serves("agent0"));
}

TEST_CASE_METHOD(WeightsFixture, "weights_versionLargerThanMemory_isRefusedAndReported")
{
    m_fleet.kill("agent0");
    m_fleet.restart("agent0", {"--weight-memory=1000000"});
    rollOut();
    REQUIRE(waitUntil([&] { return allServe({"agent1", "agent2"}); }));
    REQUIRE(waitUntil([&] { return countsMetric("agent0", "weights_refused 1"); }));
    REQUIRE_FALSE(serves("agent0"));
}

} // namespace
} // namespace greengageseam
