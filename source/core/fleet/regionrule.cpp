#include "core/fleet/regionrule.h"

#include <algorithm>

namespace greengageseam {

namespace {

bool contains(const AllowedRegions &regions, const RegionName &region)
{
    return std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

RegionRule RegionRule::restrictedTo(const AllowedRegions &regions) const
{
    RegionRule rule = *this;
    if (regions.empty()) {
        return rule;
    }
    if (!rule.m_regions) {
        rule.m_regions = regions;
        return rule;
    }
    std::erase_if(*rule.m_regions,
                  [&](const RegionName &region) { return !contains(regions, region); });
    return rule;
}

bool RegionRule::allows(const RegionName &region) const
{
    return !m_regions || (!region.isEmpty() && contains(*m_regions, region));
}

RegionRule regionRule(const RouteMatch &match)
{
    const RegionRule rule = RegionRule().restrictedTo(match.route->allowedRegions);
    return match.account == nullptr ? rule : rule.restrictedTo(match.account->allowedRegions);
}

RouteMatch currentMatch(const RouteTable &table, const RouteMatch &admitted)
{
    RouteMatch match = admitted;
    if (const Route *route = table.successorOf(*admitted.route)) {
        match.route = route;
    }
    const FleetAccount *account =
            admitted.account == nullptr ? nullptr : table.account(admitted.account->name);
    if (account != nullptr) {
        match.account = account;
    }
    return match;
}

bool restrictsRegions(const FleetConfig &config)
{
    const auto isRestricted = [](const auto &it) { return !it.allowedRegions.empty(); };
    return std::any_of(config.routes.begin(), config.routes.end(), isRestricted)
            || (config.accounts
                && std::any_of(config.accounts->begin(), config.accounts->end(), isRestricted));
}

} // namespace greengageseam
