/**
 * Index over a configuration that matches a request to its route and its client account.
 */
#pragma once

#include "core/common/errors.h"
#include "core/fleet/fleetconfig.h"
#include "core/fleet/requestpriority.h"

#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>

namespace greengageseam {

/** Route and client account of a request. Valid as long as the table exists. */
struct RouteMatch
{
    const Route *route = nullptr;
    /** Null on an anonymous route, and if callers need no API key. */
    const FleetAccount *account = nullptr;

    bool operator==(const RouteMatch &) const = default;
};

/** A configuration with its indexes; immutable after construction. */
class RouteTable
{
public:
    explicit RouteTable(FleetConfig config);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    const FleetConfig &config() const { return m_config; }

    /**
     * Matches the host and the longest path prefix, then the API key.
     * @param host value of the Host header in any case, with or without a port
     * @param target request target: path with query
     * @param key API key of the caller; empty if there is none
     * @returns the match, or a failure of the kind NotFound or Unauthenticated
     */
    Outcome<RouteMatch> find(std::string_view host, std::string_view target,
                             std::string_view key) const;

    /** @returns the service with this name, or null */
    const Service *service(const ServiceName &name) const;
    /** @returns the client account with this name, or null */
    const FleetAccount *account(const AccountName &name) const;
    /**
     * @param route a route of an earlier configuration
     * @returns the route of its host and path prefix, otherwise the one of its name, or null
     */
    const Route *successorOf(const Route &route) const;

    /** @returns the priority of a request among all that the configuration allows for a service */
    RequestPriority priority(const RouteMatch &match, const ServiceName &service) const;

private:
    void collectPriorities();

    FleetConfig m_config;
    /** Indexes of the routes of each host, longest path prefix first. */
    std::unordered_map<std::string, std::vector<std::size_t>> m_byHost;
    std::unordered_map<std::string, std::size_t> m_byKey;
    /** Priorities that requests for each service may have. */
    std::map<ServiceName, std::set<std::uint32_t>> m_priorities;
    std::unordered_map<std::string, std::size_t> m_byAccountName;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/**
 * Chooses one of the services of a route, in proportion to their weights.
 * @param random 64 random bits
 */
const ServiceName &chooseService(const Route &route, std::uint64_t random);

/**
 * @returns whether every request to a service may be retried or resumed at another backend server,
 * so that a backend server of the service may be interrupted
 */
bool canFailOver(const FleetConfig &config, const ServiceName &service);

} // namespace greengageseam
