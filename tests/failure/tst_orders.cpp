/**
 * Orders to engines with real processes: agents that freeze, are killed and are replaced, and
 * engines that restart. The tests guard against orders of a superseded agent that take effect.
 * labels: failure promise-1
 */
#include "fleet.h"

#include "core/common/hashing.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

/** One engine and its agent. A second agent process can take over the same slot. */
class SlotFixture
{
protected:
    void start(const StringList &engineKind)
    {
        m_fleet.startPlatform();
        m_fleet.startEngine("engine", engineKind);
        m_fleet.startEntry("entry", "fyn");
        m_fleet.startAgent("agent", "fyn", "engine");
        REQUIRE(waitUntil([&] { return m_fleet.isReady("entry"); }));
        m_first = publishVersion("v1", 'a');
        REQUIRE(waitUntil([&] { return isServing(m_first); }));
    }

    /** Publishes a version and configures one replica of it in the zone. @returns its manifest */
    Digest publishVersion(const std::string &version, char fill) const
    {
        const Digest manifest = m_fleet.publish(std::string(100'000, fill), 65'536);
        const std::string row = "model/drafts/" + version;
        REQUIRE(m_fleet.accept("entry",
                               {row + "/manifest=" + manifest.text(), row + "/weight/zone/fyn=1",
                                row + "/replicas/fyn=1"})
                == 200);
        return manifest;
    }

    boost::json::object state() const
    {
        const auto answer =
                callOnce(m_fleet.addresses("engine").http, HttpRequest {"GET", "/state", {}, {}});
        return boost::json::parse(std::get<HttpResponse>(answer).body).as_object();
    }

    bool isServing(const Digest &manifest) const
    {
        const boost::json::object now = state();
        for (const boost::json::value &served : now.at("serving").as_array()) {
            if (served.as_string() == manifest.text()) {
                return true;
            }
        }
        return false;
    }

    std::vector<std::uint64_t> fences() const
    {
        std::vector<std::uint64_t> numbers;
        const boost::json::object counts = m_fleet.counts("engine");
        for (const boost::json::value &fence : counts.at("fencesTaken").as_array()) {
            numbers.push_back(fence.to_number<std::uint64_t>());
        }
        return numbers;
    }

    /**
     * Freezes the agent past its lease, lets a successor take over, and resumes the agent. Checks
     * that the agent notices that it is superseded and that none of its orders takes effect.
     */
    void replaceFrozenHolder()
    {
        m_fleet.freeze("agent");
        m_fleet.startAgent("successor", "fyn", "engine", {"--instance=agent"});
        const Digest second = publishVersion("v2", 'b');
        REQUIRE(waitUntil([&] { return isServing(second); }));
        m_fleet.thaw("agent");
        REQUIRE(waitUntil([&] {
            return m_fleet.logOf("agent").find("agent.superseded") != std::string::npos;
        }));
        const std::vector<std::uint64_t> all = fences();
        REQUIRE(std::is_sorted(all.begin(), all.end()));
        REQUIRE(all.back() > all.front());
        REQUIRE(isServing(second));
    }

    Fleet m_fleet;
    Digest m_first;
};

TEST_CASE_METHOD(SlotFixture, "orders_holderFrozenPastLeaseEngineIgnoresNumbers_noneTakesEffect")
{
    start({"--ignores-fence", "--slots=2"});
    replaceFrozenHolder();
}

TEST_CASE_METHOD(SlotFixture, "orders_holderFrozenPastLeaseEngineChecksNumbers_noneTakesEffect")
{
    start({"--slots=2"});
    replaceFrozenHolder();
}

TEST_CASE_METHOD(SlotFixture, "orders_engineRestarts_versionIsLoadedAgain")
{
    start({});
    m_fleet.setFaults("engine", {{"restart", true}});
    REQUIRE(waitUntil([&] { return isServing(m_first); }));
}

TEST_CASE_METHOD(SlotFixture, "orders_agentKilledAndReplaced_successorHasHigherNumber")
{
    start({"--ignores-fence", "--slots=2"});
    m_fleet.kill("agent");
    m_fleet.restart("agent");
    const Digest second = publishVersion("v2", 'b');
    REQUIRE(waitUntil([&] { return isServing(second); }));
    const std::vector<std::uint64_t> all = fences();
    REQUIRE(all.back() > all.front());
}

TEST_CASE_METHOD(SlotFixture, "orders_logOutage_currentHolderContinues")
{
    start({});
    m_fleet.setFaults("platform", {{"outage", true}}, "log");
    m_fleet.setFaults("engine", {{"restart", true}});
    REQUIRE(waitUntil([&] { return isServing(m_first); }));
}

} // namespace
} // namespace greengageseam
