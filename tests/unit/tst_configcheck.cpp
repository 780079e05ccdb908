/**
 * Tests of the check of a configuration, and of the comparison of two.
 */
#include "core/fleet/configcheck.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

class ConfigCheckFixture
{
protected:
    ConfigCheckFixture()
    {
        Route route;
        route.host = "a.example";
        route.pathPrefix = "/x/";
        route.kind = RouteKind::Idempotent;
        route.timeout = std::chrono::milliseconds(900);
        route.latencyObjective = std::chrono::milliseconds(300);
        route.targets = {{ServiceName("p"), 1}};
        m_config.routes = {route};
        m_config.services[ServiceName("p")].name = ServiceName("p");
        FleetAccount account;
        account.name = AccountName("ann");
        account.keys = {"key"};
        m_config.accounts = {account};
        m_other = m_config;
    }

    Route &route() { return m_config.routes.front(); }
    FleetAccount &account() { return m_config.accounts->front(); }

    /** @returns the findings of one severity as `place: text` */
    std::vector<std::string> findings(FindingSeverity severity) const
    {
        std::vector<std::string> texts;
        for (const ConfigFinding &finding : checkConfig(m_config)) {
            if (finding.severity == severity) {
                texts.push_back(finding.place + ": " + finding.text);
            }
        }
        return texts;
    }

    /** Requires one error, and nothing else, whose text contains a part. */
    void requireError(const std::string &part) const { requireOnly(FindingSeverity::Error, part); }
    void requireWarning(const std::string &part) const
    {
        requireOnly(FindingSeverity::Warning, part);
    }

    void requireOnly(FindingSeverity severity, const std::string &part) const
    {
        const std::vector<std::string> texts = findings(severity);
        REQUIRE(checkConfig(m_config).size() == 1);
        REQUIRE(texts.size() == 1);
        INFO(texts.front());
        REQUIRE(texts.front().find(part) != std::string::npos);
    }

    /** Requires that the configuration differs from the one of the constructor just so. */
    void requireDifferences(const std::vector<ConfigDifference> &expected) const
    {
        REQUIRE(compareConfigs(m_other, m_config) == expected);
    }

    FleetConfig m_config;
    FleetConfig m_other;
};

TEST_CASE_METHOD(ConfigCheckFixture, "checkConfig_soundConfiguration_findsNothing")
{
    REQUIRE(checkConfig(m_config).empty());
}

TEST_CASE_METHOD(ConfigCheckFixture, "checkConfig_routeMatchesTheSameAsAnEarlierOne_isWarnedOf")
{
    m_config.routes.push_back(route());
    requireWarning("route 2 (a.example/x/): never matches, because route 1 (a.example/x/)");
}

// Host and prefix that only look the same when they are joined match different requests.
TEST_CASE_METHOD(ConfigCheckFixture, "checkConfig_longerPrefixOrOtherHost_isNoDuplicate")
{
    Route other = route();
    other.pathPrefix = "/x/y/";
    m_config.routes.push_back(other);
    other.host = "b.example";
    m_config.routes.push_back(other);
    REQUIRE(checkConfig(m_config).empty());
}

TEST_CASE_METHOD(ConfigCheckFixture, "checkConfig_hostWithPortOrRelativePrefix_neverMatches")
{
    const bool hasPort = GENERATE(true, false);
    (hasPort ? route().host : route().pathPrefix) = hasPort ? "a.example:80" : "x/";
    requireWarning("never matches");
}

TEST_CASE_METHOD(ConfigCheckFixture, "checkConfig_unknownService_isAnError")
{
    route().targets.push_back({ServiceName("q"), 1});
    requireError("the service q, which does not exist");
}

TEST_CASE_METHOD(ConfigCheckFixture, "checkConfig_weightsSumToNothing_isAnError")
{
    route().targets.front().weight = 0;
    requireError("traffic weights");
}

TEST_CASE_METHOD(ConfigCheckFixture, "checkConfig_timeoutBelowObjective_isWarnedOf")
{
    route().timeout = std::chrono::milliseconds(200);
    requireWarning("timeout of 200 ms, which is below its latency objective of 300 ms");
}

TEST_CASE_METHOD(ConfigCheckFixture, "checkConfig_attemptsOfRequestsThatRunOnce_areWarnedOf")
{
    route().kind = RouteKind::NonIdempotent;
    route().maxAttempts = 2;
    requireWarning("allows 2 attempts");
}

TEST_CASE_METHOD(ConfigCheckFixture, "checkConfig_regionsDoNotMeet_isWarnedOf")
{
    route().allowedRegions = {RegionName("north")};
    account().allowedRegions = {RegionName("south")};
    requireWarning("rejects all requests of client account ann");
    route().isAnonymous = true;
    REQUIRE(checkConfig(m_config).empty());
}

TEST_CASE_METHOD(ConfigCheckFixture, "checkConfig_duplicatedKey_isFoundWithoutNamingIt")
{
    FleetAccount other = account();
    other.name = AccountName("bob");
    m_config.accounts->push_back(other);
    requireError("client account bob: has an API key that client account ann has, too");
    m_config.accounts->pop_back();
    account().keys = {"key", "key"};
    requireWarning("client account ann: has an API key twice");
}

TEST_CASE_METHOD(ConfigCheckFixture, "checkConfig_accountStandsTwiceOrHasNoKey_isFound")
{
    FleetAccount other = account();
    other.keys.clear();
    m_config.accounts->push_back(other);
    REQUIRE(findings(FindingSeverity::Error).size() == 1);
    REQUIRE(findings(FindingSeverity::Warning).size() == 1);
}

TEST_CASE_METHOD(ConfigCheckFixture, "compareConfigs_sameMeaning_hasNoDifference")
{
    route().name = RouteName("renamed");
    route().targets.front().weight = 7;
    m_config.version = 9;
    requireDifferences({});
}

TEST_CASE_METHOD(ConfigCheckFixture, "compareConfigs_changedRoute_isToldByItsEffect")
{
    route().kind = RouteKind::NonIdempotent;
    route().timeout = std::chrono::milliseconds(800);
    route().allowedRegions = {RegionName("north")};
    route().targets.push_back({ServiceName("q"), 3});
    requireDifferences({{"route a.example/x/", "requests now run at most once"},
                        {"route a.example/x/", "timeout: 900 ms -> 800 ms"},
                        {"route a.example/x/", "allowed regions: anywhere -> north"},
                        {"route a.example/x/", "services: p 100 % -> p 25 %, q 75 %"}});
}

TEST_CASE_METHOD(ConfigCheckFixture, "compareConfigs_addedAndRemoved_areTold")
{
    m_config.routes.front().pathPrefix = "/y/";
    m_config.services.clear();
    account().keys = {"new", "newer"};
    requireDifferences({{"route a.example/x/",
                         "removed: its requests go to a shorter prefix, or are rejected"},
                        {"route a.example/y/", "added"},
                        {"client account ann", "API keys added: 2"},
                        {"client account ann", "API keys removed, which are rejected: 1"},
                        {"service p", "removed"}});
}

TEST_CASE_METHOD(ConfigCheckFixture, "compareConfigs_accountsAndLimits_areTold")
{
    m_config.limits.maxBodyBytes = 10;
    m_config.accounts.reset();
    requireDifferences({{"client accounts", "no API key is needed any more"},
                        {"limits", "bytes of a body: 4194304 -> 10"}});
}

} // namespace
} // namespace greengageseam
