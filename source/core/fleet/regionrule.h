/**
 * Decides in which regions a request may run, by what its route and its client account allow.
 */
#pragma once

#include "core/fleet/routetable.h"

#include <optional>

namespace greengageseam {

/** The regions that a request may use; immutable. */
class RegionRule
{
public:
    /** Allows every region. */
    RegionRule() = default;

    /**
     * @param regions the only regions that are still allowed; empty for no further restriction
     * @returns a copy that allows what both this rule and the list allow, which may be no region
     */
    RegionRule restrictedTo(const AllowedRegions &regions) const;

    /** @returns whether some region is not allowed */
    bool isRestricted() const { return m_regions.has_value(); }
    /**
     * @param region an empty name if it is unknown, which is allowed only without a restriction
     * @returns whether a request may run in a region
     */
    bool allows(const RegionName &region) const;

    auto operator<=>(const RegionRule &) const = default;

private:
    /** Empty if every region is allowed. */
    std::optional<AllowedRegions> m_regions;
};

/** @returns the rule of a route and a client account. @param match its account may be null */
RegionRule regionRule(const RouteMatch &match);

/**
 * Finds the route and the client account that now take the place of those that a request was
 * admitted with.
 *
 * @param table the configuration in force
 * @param admitted must have a route
 * @returns those of the table; what it no longer has is taken from @p admitted
 */
RouteMatch currentMatch(const RouteTable &table, const RouteMatch &admitted);

/** @returns whether any route or client account restricts requests to regions */
bool restrictsRegions(const FleetConfig &config);

} // namespace greengageseam
