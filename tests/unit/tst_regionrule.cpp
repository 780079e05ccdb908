/**
 * Tests of the rule that says in which regions a request may run.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

class RegionRuleFixture
{
protected:
    static FleetConfig config(AllowedRegions ofRoute, AllowedRegions ofAccount)
    {
        Route route;
        route.name = RouteName("r");
        route.host = "h";
        route.pathPrefix = "/x/";
        route.allowedRegions = std::move(ofRoute);
        FleetAccount account;
        account.name = AccountName("ann");
        account.keys = {"key"};
        account.allowedRegions = std::move(ofAccount);
        FleetConfig config;
        config.routes = {route};
        config.accounts = {account};
        return config;
    }

    RegionRule ruleOf(const AllowedRegions &ofRoute, const AllowedRegions &ofAccount)
    {
        m_table = std::make_shared<const RouteTable>(config(ofRoute, ofAccount));
        m_match = std::get<RouteMatch>(m_table->find("h", "/x/1", "key"));
        return regionRule(m_match);
    }

    RouteTablePtr m_table;
    RouteMatch m_match;
    RegionName m_north {"north"};
    RegionName m_south {"south"};
    RegionName m_unknown;
};

TEST_CASE_METHOD(RegionRuleFixture, "regionRule_noRestriction_allowsUnknownRegionsToo")
{
    const RegionRule rule = ruleOf({}, {});
    REQUIRE_FALSE(rule.isRestricted());
    REQUIRE(rule.allows(m_north));
    REQUIRE(rule.allows(m_unknown));
}

TEST_CASE_METHOD(RegionRuleFixture, "regionRule_eitherIsRestricted_allowsNoOtherRegion")
{
    const bool isRoute = GENERATE(true, false);
    const RegionRule rule = isRoute ? ruleOf({m_north}, {}) : ruleOf({}, {m_north});
    REQUIRE(rule.isRestricted());
    REQUIRE(rule.allows(m_north));
    REQUIRE_FALSE(rule.allows(m_south));
    REQUIRE_FALSE(rule.allows(m_unknown));
}

TEST_CASE_METHOD(RegionRuleFixture, "regionRule_emptyNameInAList_doesNotAllowUnknownRegions")
{
    REQUIRE_FALSE(ruleOf({m_unknown}, {}).allows(m_unknown));
}

TEST_CASE_METHOD(RegionRuleFixture, "regionRule_bothAreRestricted_allowsOnlyWhatBothAllow")
{
    const RegionRule rule = ruleOf({m_north, RegionName("east")}, {m_south, m_north});
    REQUIRE(rule == RegionRule().restrictedTo({m_north}));
}

TEST_CASE_METHOD(RegionRuleFixture, "regionRule_listsDoNotMeet_allowsNoRegion")
{
    const RegionRule rule = ruleOf({m_north}, {m_south});
    REQUIRE(rule.isRestricted());
    REQUIRE_FALSE(rule.allows(m_north));
    REQUIRE_FALSE(rule.allows(m_south));
}

TEST_CASE_METHOD(RegionRuleFixture, "currentMatch_configurationChanged_bindsByTheNewOne")
{
    ruleOf({m_north}, {});
    const RouteTable next(config({m_south}, {m_south, m_north}));
    const RegionRule rule = regionRule(currentMatch(next, m_match));
    REQUIRE(rule == RegionRule().restrictedTo({m_south}));
}

TEST_CASE_METHOD(RegionRuleFixture, "currentMatch_routeMovedUnderItsName_isFoundByTheName")
{
    ruleOf({m_north}, {});
    FleetConfig moved = config({m_south}, {});
    moved.routes.front().pathPrefix = "/moved/";
    const RouteTable next(moved);
    REQUIRE(currentMatch(next, m_match).route == &next.config().routes.front());
}

TEST_CASE_METHOD(RegionRuleFixture, "currentMatch_routeOrAccountIsGone_keepsWhatItWasAdmittedWith")
{
    ruleOf({m_north}, {m_north, m_south});
    const RouteTable empty {FleetConfig {}};
    REQUIRE(currentMatch(empty, m_match) == m_match);
}

TEST_CASE_METHOD(RegionRuleFixture, "restrictsRegions_anyList_isFound")
{
    REQUIRE_FALSE(restrictsRegions(config({}, {})));
    REQUIRE(restrictsRegions(config({m_north}, {})));
    REQUIRE(restrictsRegions(config({}, {m_north})));
}

} // namespace
} // namespace greengageseam
