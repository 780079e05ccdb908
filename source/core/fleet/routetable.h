/**
 * Index of a configuration: finds the route and the client account of a request.
 */
#pragma once

#include "core/common/errors.h"
#include "core/fleet/fleetconfig.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace greengageseam {

/** Where a request goes, and for whom. Valid as long as the table. */
struct RouteMatch
{
    const Route *route = nullptr;
    /** Null on an anonymous route, and where callers need no key. */
    const FleetAccount *account = nullptr;

    bool operator==(const RouteMatch &) const = default;
};

/** A configuration with its indexes; never changed once built. */
class RouteTable
{
public:
    explicit RouteTable(FleetConfig config);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    const FleetConfig &config() const { return m_config; }

    /**
     * @param host value of the Host field, whatever its case, with or without a port
     * @param target path with query
     * @param key the caller's key; empty without one
     * @returns where the request goes, NotFound or Unauthenticated
     */
    Outcome<RouteMatch> find(std::string_view host, std::string_view target,
                             std::string_view key) const;

    /** @returns the service, or null */
    const Service *service(const ServiceName &name) const;

private:
    FleetConfig m_config;
    /** Positions of a host's routes, those with the longest prefix first. */
    std::unordered_map<std::string, std::vector<std::size_t>> m_byHost;
    std::unordered_map<std::string, std::size_t> m_byKey;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/**
 * Chooses one of a route's services by weight.
 * @param random a number with all 64 bits random
 */
const ServiceName &chooseService(const Route &route, std::uint64_t random);

/** @returns whether everything that is sent to a service may go on at another backend server */
bool canFailOver(const FleetConfig &config, const ServiceName &service);

} // namespace greengageseam
