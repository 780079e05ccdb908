/**
 * Tests of route matching, of the choice of a service by weight, and of failover eligibility.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

class RouteTableFixture
{
protected:
    static Route route(const std::string &name, const std::string &prefix)
    {
        Route route;
        route.name = RouteName(name);
        route.host = "a.example";
        route.pathPrefix = prefix;
        route.targets = {{ServiceName("pool"), 1}};
        return route;
    }

    RouteTableFixture()
    {
        m_config.routes = {route("short", "/x/"), route("long", "/x/y/")};
        m_config.accounts = {FleetAccount {AccountName("ann"), {"key-1"}, std::nullopt}};
    }

    std::string nameFor(const std::string &host, const std::string &target,
                        const std::string &key) const
    {
        const RouteTable table(m_config);
        const Outcome<RouteMatch> found = table.find(host, target, key);
        const Failure *failure = failureOf(found);
        return failure == nullptr ? std::get<RouteMatch>(found).route->name.text()
                                  : std::string(descriptorFor(failure->kind).name);
    }

    FleetConfig m_config;
};

TEST_CASE_METHOD(RouteTableFixture, "find_twoPrefixesMatch_choosesTheLonger")
{
    REQUIRE(nameFor("a.example", "/x/y/2", "key-1") == "long");
    REQUIRE(nameFor("a.example", "/x/z", "key-1") == "short");
}

TEST_CASE_METHOD(RouteTableFixture, "find_hostInCapitalsWithPort_matches")
{
    REQUIRE(nameFor("A.Example:8080", "/x/z", "key-1") == "short");
}

TEST_CASE_METHOD(RouteTableFixture, "find_slashOnlyInQuery_doesNotMatch")
{
    REQUIRE(nameFor("a.example", "/x?/y/", "key-1") == "not-found");
}

TEST_CASE_METHOD(RouteTableFixture, "find_unknownHostOrPath_isNotFound")
{
    REQUIRE(nameFor("b.example", "/x/z", "key-1") == "not-found");
    REQUIRE(nameFor("a.example", "/q/", "key-1") == "not-found");
}

TEST_CASE_METHOD(RouteTableFixture, "find_unknownKey_isUnauthenticated")
{
    REQUIRE(nameFor("a.example", "/x/z", "key-2") == "unauthenticated");
    REQUIRE(nameFor("a.example", "/x/z", "") == "unauthenticated");
}

TEST_CASE_METHOD(RouteTableFixture, "find_anonymousRoute_needsNoKey")
{
    m_config.routes[0].isAnonymous = true;
    REQUIRE(nameFor("a.example", "/x/z", "") == "short");
}

TEST_CASE_METHOD(RouteTableFixture, "chooseService_ninetyToTen_splitsByWeight")
{
    Route split = route("split", "/");
    split.targets = {{ServiceName("a"), 90}, {ServiceName("b"), 10}};
    constexpr std::uint64_t steps = 1000;
    constexpr std::uint64_t step = UINT64_MAX / steps;
    std::size_t first = 0;
    for (std::uint64_t n = 0; n < steps; ++n) {
        first += chooseService(split, n * step).text() == "a" ? 1 : 0;
    }
    REQUIRE(first == 900);
}

TEST_CASE_METHOD(RouteTableFixture, "canFailOver_allRoutesOfTheServiceAreRetryable_isTrue")
{
    for (Route &route : m_config.routes) {
        route.kind = RouteKind::Streaming;
        route.canResume = true;
        route.maxAttempts = 2;
    }
    Route other = route("other", "/o/");
    other.targets = {{ServiceName("desk"), 1}};
    m_config.routes.push_back(other);
    REQUIRE(canFailOver(m_config, ServiceName("pool")));
    REQUIRE_FALSE(canFailOver(m_config, ServiceName("desk")));
}

TEST_CASE_METHOD(RouteTableFixture, "canFailOver_oneStreamMayNotBeResumed_isFalse")
{
    m_config.routes.front().kind = RouteKind::Idempotent;
    m_config.routes.front().maxAttempts = 2;
    m_config.routes.back().kind = RouteKind::Streaming;
    REQUIRE_FALSE(canFailOver(m_config, ServiceName("pool")));
}

TEST_CASE_METHOD(RouteTableFixture, "priority_accountHasOne_goesBeforeThatOfTheRoute")
{
    m_config.routes.back().priority = 4;
    m_config.accounts->push_back({AccountName("bob"), {"key-2"}, 0});
    const RouteTable table(m_config);
    const auto ofAnn = std::get<RouteMatch>(table.find("a.example", "/x/y/2", "key-1"));
    const auto ofBob = std::get<RouteMatch>(table.find("a.example", "/x/y/2", "key-2"));
    REQUIRE(table.priority(ofAnn, ServiceName("pool")) == RequestPriority {4, 2, 3});
    REQUIRE(table.priority(ofBob, ServiceName("pool")) == RequestPriority {0, 0, 3});
}

TEST_CASE_METHOD(RouteTableFixture, "priority_othersAreOfAnotherService_isNotRanked")
{
    m_config.routes.back().priority = 4;
    m_config.routes.back().targets = {{ServiceName("other"), 1}};
    const RouteTable table(m_config);
    const auto match = std::get<RouteMatch>(table.find("a.example", "/x/y/2", "key-1"));
    REQUIRE(table.priority(match, ServiceName("other")) == RequestPriority {4, 0, 1});
    REQUIRE_FALSE(table.priority(match, ServiceName("other")).isRanked());
}

} // namespace
} // namespace greengageseam
