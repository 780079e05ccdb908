/**
 * Tests rate limits and outlier ejection with real processes: changing an account must not refill
 * an exhausted token bucket, and an ejected engine must be used again after it has recovered.
 * labels: failure
 */
#include "core/common/hashing.h"
#include "fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

/** One entry and two engines that serve a version of a model to one client account. */
class LimitsFixture
{
protected:
    LimitsFixture()
    {
        m_fleet.startPlatform();
        m_fleet.startEntry("entry", "fyn");
        for (const char *number : {"1", "2"}) {
            m_fleet.startEngine(std::string("engine") + number);
            m_fleet.startAgent(std::string("agent") + number, "fyn",
                               std::string("engine") + number);
        }
        REQUIRE(waitUntil([&] { return m_fleet.isReady("entry"); }));
        const Digest manifest = m_fleet.publish(std::string(100'000, 'w'), 65'536);
        REQUIRE(accept("model/drafts/v1/manifest=" + manifest.text()));
        REQUIRE(accept("model/drafts/v1/weight/zone/fyn=1"));
        REQUIRE(accept("model/drafts/v1/replicas/fyn=2"));
        REQUIRE(accept("account/caps/key=" + digestOf("caps-key").text()));
        REQUIRE(waitUntil([&] { return status() == 200 && runs("engine1") && runs("engine2"); }));
    }

    bool accept(const std::string &edit) { return m_fleet.accept("entry", {edit}) == 200; }

    int status(const std::string &tokens = "1")
    {
        const std::string body =
                R"({"model":"drafts","prompt":"herons","max_tokens":)" + tokens + "}";
        const auto answer = m_fleet.call("entry", "/v1/completions", body, "caps-key");
        const auto *response = std::get_if<HttpResponse>(&answer);
        return response == nullptr ? 0 : response->status;
    }

    std::size_t runs(const std::string &engine)
    {
        return m_fleet.counts(engine).at("runs").as_object().size();
    }

    Fleet m_fleet;
};

TEST_CASE_METHOD(LimitsFixture, "limits_tableChangedWhileTokensAreExhausted_stayExhausted")
{
    REQUIRE(accept("account/caps/tokens-per-second=1"));
    REQUIRE(waitUntil([&] { return status("100") == 429; }));
    REQUIRE(accept("account/caps/priority=2"));
    REQUIRE(status() == 429);
    REQUIRE(accept("account/caps/tokens-per-second=2"));
    REQUIRE(status() == 429);
}

TEST_CASE_METHOD(LimitsFixture, "ejection_engineThatBreaksOff_isLeftOutAndComesBack")
{
    m_fleet.setFaults("engine1", {{"outage", true}});
    const auto isEjected = [&] {
        return m_fleet.logOf("entry").find("backend.ejected") != std::string::npos;
    };
    REQUIRE(waitUntil([&] {
        REQUIRE(status() == 200);
        return isEjected();
    }));
    const std::size_t before = runs("engine1");
    m_fleet.setFaults("engine1", {{"outage", false}});
    REQUIRE(waitUntil([&] { return status() == 200 && runs("engine1") > before; }));
}

} // namespace
} // namespace greengageseam
