#include "core/fleet/routetable.h"

#include "core/fleet/upstreamoutcome.h"

#include <algorithm>

namespace greengageseam {

namespace {

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/** @returns the host in lower case without its port */
std::string normalizeHost(std::string_view host)
{
    const std::size_t colon = host.find(':');
    std::string text(host.substr(0, colon));
    std::transform(text.begin(), text.end(), text.begin(), lower);
    return text;
}

} // namespace

RouteTable::RouteTable(FleetConfig config) : m_config(std::move(config))
{
    for (std::size_t n = 0; n < m_config.routes.size(); ++n) {
        m_byHost[m_config.routes[n].host].push_back(n);
    }
    const auto isLonger = [this](std::size_t left, std::size_t right) {
        return m_config.routes[left].pathPrefix.size() > m_config.routes[right].pathPrefix.size();
    };
    for (auto &[host, positions] : m_byHost) {
        std::stable_sort(positions.begin(), positions.end(), isLonger);
    }
    collectPriorities();
    if (!m_config.accounts) {
        return;
    }
    for (std::size_t n = 0; n < m_config.accounts->size(); ++n) {
        for (const std::string &key : (*m_config.accounts)[n].keys) {
            m_byKey[key] = n;
        }
        m_byAccountName.emplace((*m_config.accounts)[n].name.text(), n);
    }
}

Outcome<RouteMatch> RouteTable::find(std::string_view host, std::string_view target,
                                     std::string_view key) const
{
    const std::string_view path = target.substr(0, target.find('?'));
    const auto routes = m_byHost.find(normalizeHost(host));
    if (routes == m_byHost.end()) {
        return Failure {ErrorKind::NotFound, "no route matches this host"};
    }
    const auto position =
            std::find_if(routes->second.begin(), routes->second.end(), [&](std::size_t n) {
                return path.starts_with(m_config.routes[n].pathPrefix);
            });
    if (position == routes->second.end()) {
        return Failure {ErrorKind::NotFound, "no route of this host matches this path"};
    }
    RouteMatch match {&m_config.routes[*position], nullptr};
    if (!m_config.accounts || match.route->isAnonymous) {
        return match;
    }
    const auto account = m_byKey.find(std::string(key));
    if (account == m_byKey.end()) {
        return Failure {ErrorKind::Unauthenticated, "no client account has this API key"};
    }
    match.account = &(*m_config.accounts)[account->second];
    return match;
}

void RouteTable::collectPriorities()
{
    std::set<std::optional<std::uint32_t>> ofAccounts;
    if (m_config.accounts) {
        for (const FleetAccount &account : *m_config.accounts) {
            ofAccounts.insert(account.priority);
        }
    }
    for (const Route &route : m_config.routes) {
        std::set<std::uint32_t> priorities;
        if (!m_config.accounts || route.isAnonymous) {
            priorities.insert(route.priority);
        } else {
            for (const std::optional<std::uint32_t> &priority : ofAccounts) {
                priorities.insert(priority.value_or(route.priority));
            }
        }
        for (const RouteTarget &target : route.targets) {
            m_priorities[target.service].insert(priorities.begin(), priorities.end());
        }
    }
}

RequestPriority RouteTable::priority(const RouteMatch &match, const ServiceName &service) const
{
    RequestPriority result;
    result.effective = match.account != nullptr && match.account->priority
            ? *match.account->priority
            : match.route->priority;
    const auto priorities = m_priorities.find(service);
    if (priorities != m_priorities.end() && !priorities->second.empty()) {
        const std::set<std::uint32_t> &all = priorities->second;
        result.level = static_cast<std::uint32_t>(
                std::distance(all.begin(), all.lower_bound(result.effective)));
        result.levels = static_cast<std::uint32_t>(all.size());
    }
    return result;
}

const Service *RouteTable::service(const ServiceName &name) const
{
    const auto it = m_config.services.find(name);
    return it == m_config.services.end() ? nullptr : &it->second;
}

const FleetAccount *RouteTable::account(const AccountName &name) const
{
    const auto it = m_byAccountName.find(name.text());
    return it == m_byAccountName.end() ? nullptr : &(*m_config.accounts)[it->second];
}

const Route *RouteTable::successorOf(const Route &route) const
{
    const auto ofHost = m_byHost.find(route.host);
    if (ofHost != m_byHost.end()) {
        for (const std::size_t n : ofHost->second) {
            if (m_config.routes[n].pathPrefix == route.pathPrefix) {
                return &m_config.routes[n];
            }
        }
    }
    const auto named =
            std::find_if(m_config.routes.begin(), m_config.routes.end(), [&](const Route &it) {
                return !it.name.isEmpty() && it.name == route.name;
            });
    return named == m_config.routes.end() ? nullptr : &*named;
}

const ServiceName &chooseService(const Route &route, std::uint64_t random)
{
    constexpr double unit = 1.0 / 18446744073709551616.0;
    double total = 0;
    for (const RouteTarget &target : route.targets) {
        total += target.weight;
    }
    double left = static_cast<double>(random) * unit * total;
    for (const RouteTarget &target : route.targets) {
        left -= target.weight;
        if (left < 0) {
            return target.service;
        }
    }
    return route.targets.back().service;
}

bool canFailOver(const FleetConfig &config, const ServiceName &service)
{
    return std::all_of(config.routes.begin(), config.routes.end(), [&](const Route &route) {
        const bool targetsService =
                std::any_of(route.targets.begin(), route.targets.end(),
                            [&](const RouteTarget &target) { return target.service == service; });
        return !targetsService
                || (isIdempotent(route.kind, route.canResume) && route.maxAttempts > 1);
    });
}

} // namespace greengageseam
