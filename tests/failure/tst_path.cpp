/**
 * End-to-end test with real processes: publish weights, accept a change, serve requests, shut down.
 * labels: failure promise-1 promise-6
 */
#include "fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

/** A fleet with one entry and one engine that serves one version. */
class PathFixture
{
protected:
    PathFixture()
    {
        m_fleet.startPlatform();
        m_fleet.startEngine("engine");
        m_fleet.startEntry("entry", "fyn");
        m_fleet.startAgent("agent", "fyn", "engine");
        REQUIRE(waitUntil([&] { return m_fleet.isReady("entry"); }));
        m_manifest = m_fleet.publish(std::string(300'000, 'w'), 65'536);
        REQUIRE(m_fleet.accept("entry",
                               {"model/drafts/v1/manifest=" + m_manifest.text(),
                                "model/drafts/v1/weight/zone/fyn=1",
                                "model/drafts/v1/replicas/fyn=1",
                                "account/caps/key=" + digestOf("caps-key").text()})
                == 200);
        REQUIRE(waitUntil([&] { return requestStatus() == 200; }));
    }

    int requestStatus()
    {
        const auto answer = m_fleet.call("entry", "/v1/completions", m_body, "caps-key");
        const auto *response = std::get_if<HttpResponse>(&answer);
        m_answer = response == nullptr ? "" : response->body;
        return response == nullptr ? 0 : response->status;
    }

    Fleet m_fleet;
    Digest m_manifest;
    std::string m_body = R"({"model":"drafts","prompt":"two herons","max_tokens":4})";
    std::string m_answer;
};

TEST_CASE_METHOD(PathFixture, "path_requestForServedModel_isAnsweredByPublishedVersion")
{
    REQUIRE(requestStatus() == 200);
    REQUIRE_THAT(m_answer, Catch::Contains(m_manifest.text()));
    REQUIRE_THAT(m_answer, Catch::Contains(digestOf(m_body).text()));
}

TEST_CASE_METHOD(PathFixture, "path_corruptChunkFromOrigin_isNeverLoaded")
{
    m_fleet.setFaults("platform", {{"corruptChunks", 3}}, "store");
    const Digest second = m_fleet.publish(std::string(300'000, 'x'), 65'536);
    REQUIRE(m_fleet.accept("entry",
                           {"model/drafts/v2/manifest=" + second.text(),
                            "model/drafts/v2/weight/zone/fyn=1", "model/drafts/v2/replicas/fyn=1",
                            "model/drafts/v1/weight/zone/fyn=0"})
            == 200);
    REQUIRE(waitUntil([&] {
        return requestStatus() == 200 && m_answer.find(second.text()) != std::string::npos;
    }));
    REQUIRE(m_fleet.counts("engine").at("loadsFailed").to_number<int>() == 0);
}

TEST_CASE_METHOD(PathFixture, "path_sigterm_allProcessesExitWithZero")
{
    for (const char *name : {"entry", "agent"}) {
        m_fleet.requestStop(name);
        REQUIRE(m_fleet.waitForExit(name) == 0);
    }
}

} // namespace
} // namespace greengageseam
