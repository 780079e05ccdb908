/**
 * Tests membership with real processes: draining, a platform list that is stale or wrong, and cold
 * starts of entries. Guards against requests to draining or failed agents, and against agents that
 * stay unused because of an outdated mark in the list.
 * labels: failure promise-5
 */
#include "fleet.h"

#include "core/common/hashing.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

/** Two entries that are peers, and two agents, each in front of a plain service. */
class ZoneFixture
{
protected:
    ZoneFixture()
    {
        m_fleet.startPlatform();
        m_fleet.startEntry("entry1", "fyn");
        m_fleet.startEntry("entry2", "fyn", {"--peers=" + peerAddress("entry1")});
        for (const std::string n : {"1", "2"}) {
            m_fleet.startService("service" + n);
            m_fleet.startAgent("agent" + n, "fyn", "service" + n, {"--service=desk"});
        }
        REQUIRE(waitUntil([&] { return m_fleet.isReady("entry1") && m_fleet.isReady("entry2"); }));
        REQUIRE(m_fleet.accept("entry1",
                               {"account/caps/key=" + digestOf("caps-key").text(),
                                "service/desk/non-idempotent=POST /commits"})
                == 200);
        for (const std::string entry : {"entry1", "entry2"}) {
            REQUIRE(waitUntil(
                    [&] { return usableAgents(entry) == 2 && requestStatus(entry) == 200; }));
        }
    }

    std::string peerAddress(const std::string &name) const
    {
        return m_fleet.addresses(name).peerOrAdmin.text();
    }

    int requestStatus(const std::string &entry) const
    {
        const auto answer = m_fleet.call(entry, "/services/desk/orders/7", "", "caps-key");
        const auto *response = std::get_if<HttpResponse>(&answer);
        return response == nullptr ? 0 : response->status;
    }

    std::string phaseOf(const std::string &entry, const std::string &agent) const
    {
        const boost::json::object report = m_fleet.report(entry);
        const boost::json::value *agents = report.if_contains("agents");
        if (agents == nullptr) {
            return "";
        }
        for (const boost::json::value &listed : agents->as_array()) {
            if (listed.at("instance").as_string() == agent) {
                return std::string(listed.at("phase").as_string());
            }
        }
        return "";
    }

    int usableAgents(const std::string &entry) const
    {
        return (phaseOf(entry, "agent1") == "usable") + (phaseOf(entry, "agent2") == "usable");
    }

    void setListedState(const std::string &state) const
    {
        const std::string body =
                R"({"instances":[{"id":"agent1","zone":"fyn","state":")" + state + R"("}]})";
        const HttpRequest request {"PUT", "/instances", {}, body};
        REQUIRE(failureOf(callOnce(m_fleet.addresses("platform").http, request)) == nullptr);
    }

    std::uint64_t runsAt(const std::string &service) const
    {
        std::uint64_t n = 0;
        const boost::json::object counts = m_fleet.counts(service);
        for (const auto &run : counts.at("runs").as_object()) {
            n += run.value().to_number<std::uint64_t>();
        }
        return n;
    }

    Fleet m_fleet;
};

TEST_CASE_METHOD(ZoneFixture, "drain_orderedAtOneEntryWithStaleList_noNewRequestsAfterThreeSeconds")
{
    setListedState("live");
    const auto answer = m_fleet.admin("entry1", "POST", "/admin/v1/instances/agent1/drain");
    REQUIRE(std::get<HttpResponse>(answer).status == 200);
    for (const std::string entry : {"entry1", "entry2"}) {
        REQUIRE(waitUntil([&] { return phaseOf(entry, "agent1") == "draining"; },
                          std::chrono::seconds(3)));
    }
    const std::uint64_t before = runsAt("service1");
    for (int i = 0; i < 20; ++i) {
        REQUIRE(requestStatus(i % 2 == 0 ? "entry1" : "entry2") == 200);
    }
    REQUIRE(runsAt("service1") == before);
}

TEST_CASE_METHOD(ZoneFixture, "drain_processStoppingWithStaleList_bothEntriesSendNoNewRequests")
{
    setListedState("live");
    m_fleet.requestStop("agent1");
    for (const std::string entry : {"entry1", "entry2"}) {
        REQUIRE(waitUntil([&] { return phaseOf(entry, "agent1") == "draining"; },
                          std::chrono::seconds(3)));
    }
    const std::uint64_t before = runsAt("service1");
    for (int i = 0; i < 20; ++i) {
        REQUIRE(requestStatus(i % 2 == 0 ? "entry1" : "entry2") == 200);
    }
    REQUIRE(runsAt("service1") == before);
    REQUIRE(m_fleet.waitForExit("agent1") == 0);
}

TEST_CASE_METHOD(ZoneFixture, "list_marksLeavingWronglyThenReverts_agentIsUsedAgain")
{
    setListedState("leaving");
    REQUIRE(waitUntil([&] { return phaseOf("entry2", "agent1") == "draining"; }));
    setListedState("live");
    REQUIRE(waitUntil([&] { return usableAgents("entry1") == 2 && usableAgents("entry2") == 2; }));
}

TEST_CASE_METHOD(ZoneFixture, "list_staleMarkOfPredecessor_successorIsUsed")
{
    setListedState("leaving");
    REQUIRE(waitUntil([&] { return phaseOf("entry1", "agent1") == "draining"; }));
    m_fleet.kill("agent1");
    m_fleet.restart("agent1");
    REQUIRE(waitUntil([&] { return usableAgents("entry1") == 2 && usableAgents("entry2") == 2; }));
}

TEST_CASE_METHOD(ZoneFixture, "list_showsFrozenAgentLive_bothEntriesReportItSilent")
{
    setListedState("live");
    m_fleet.freeze("agent1");
    for (const std::string entry : {"entry1", "entry2"}) {
        REQUIRE(waitUntil([&] { return phaseOf(entry, "agent1") == "silent"; }));
        REQUIRE(requestStatus(entry) == 200);
    }
    m_fleet.thaw("agent1");
    REQUIRE(waitUntil([&] { return usableAgents("entry1") == 2 && usableAgents("entry2") == 2; }));
}

TEST_CASE_METHOD(ZoneFixture, "entry_coldStart_servesWithinSeconds")
{
    m_fleet.kill("entry2");
    m_fleet.restart("entry2");
    REQUIRE(waitUntil([&] { return usableAgents("entry2") == 2 && requestStatus("entry2") == 200; },
                      std::chrono::seconds(6)));
}

} // namespace
} // namespace greengageseam
