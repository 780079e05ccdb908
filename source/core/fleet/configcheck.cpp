#include "core/fleet/configcheck.h"

#include "core/fleet/regionrule.h"
#include "core/fleet/upstreamoutcome.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace greengageseam {

namespace {

/** @returns the requests that a route matches */
std::string matchOf(const Route &route)
{
    return route.host + route.pathPrefix;
}

std::string placeOfRoute(const FleetConfig &config, std::size_t n)
{
    return "route " + std::to_string(n + 1) + " (" + matchOf(config.routes[n]) + ")";
}

std::string placeOf(const FleetAccount &account)
{
    return "client account " + account.name.text();
}

std::string textOf(Duration time)
{
    constexpr std::int64_t microsecondsPerMs = 1000;
    return std::to_string(time.count() / microsecondsPerMs) + " ms";
}

/** Collects the findings of one configuration. */
class Checker
{
public:
    explicit Checker(const FleetConfig &config) : m_config(config) { }

    std::vector<ConfigFinding> run()
    {
        for (std::size_t n = 0; n < m_config.routes.size(); ++n) {
            checkMatch(n);
            checkTargets(n);
            checkLimits(n);
            checkRegions(n);
        }
        checkAccounts();
        return m_findings;
    }

private:
    void add(FindingSeverity severity, const std::string &place, std::string text)
    {
        m_findings.push_back({severity, place, std::move(text)});
    }

    void warn(std::size_t route, std::string text)
    {
        add(FindingSeverity::Warning, placeOfRoute(m_config, route), std::move(text));
    }

    void reject(std::size_t route, std::string text)
    {
        add(FindingSeverity::Error, placeOfRoute(m_config, route), std::move(text));
    }

    void checkMatch(std::size_t n)
    {
        const Route &route = m_config.routes[n];
        for (std::size_t earlier = 0; earlier < n; ++earlier) {
            if (m_config.routes[earlier].pathPrefix == route.pathPrefix
                && m_config.routes[earlier].host == route.host) {
                warn(n,
                     "never matches, because " + placeOfRoute(m_config, earlier)
                             + " matches the same requests");
                break;
            }
        }
        if (route.host.empty() || route.host.find(':') != std::string::npos) {
            warn(n, "never matches, because hosts are compared without their port");
        }
        if (!route.pathPrefix.starts_with('/')) {
            warn(n, "never matches, because every path begins with /");
        }
    }

    void checkTargets(std::size_t n)
    {
        double total = 0;
        for (const RouteTarget &target : m_config.routes[n].targets) {
            total += target.weight;
            if (!m_config.services.contains(target.service)) {
                reject(n,
                       "sends requests to the service " + target.service.text()
                               + ", which does not exist");
            }
        }
        if (total <= 0) {
            reject(n, "has traffic weights whose sum is 0");
        }
    }

    void checkLimits(std::size_t n)
    {
        const Route &route = m_config.routes[n];
        if (route.timeout < route.latencyObjective) {
            warn(n,
                 "has a timeout of " + textOf(route.timeout)
                         + ", which is below its latency objective of "
                         + textOf(route.latencyObjective));
        }
        if (route.maxAttempts > 1 && !isIdempotent(route.kind, route.canResume)) {
            warn(n,
                 "allows " + std::to_string(route.maxAttempts)
                         + " attempts, but its requests may not run more than once: further ones "
                           "are made only if none has run");
        }
    }

    void checkRegions(std::size_t n)
    {
        const Route &route = m_config.routes[n];
        if (!m_config.accounts || route.isAnonymous) {
            return;
        }
        for (const FleetAccount &account : *m_config.accounts) {
            const RegionRule rule = regionRule({&route, &account});
            const bool isAnyAllowed =
                    std::any_of(account.allowedRegions.begin(), account.allowedRegions.end(),
                                [&](const RegionName &region) { return rule.allows(region); });
            if (!account.allowedRegions.empty() && !isAnyAllowed) {
                warn(n,
                     "rejects all requests of " + placeOf(account)
                             + ", because no region is allowed by both");
            }
        }
    }

    void checkAccounts()
    {
        std::map<std::string, AccountName> owners;
        std::set<AccountName> names;
        for (const FleetAccount &account :
             m_config.accounts.value_or(std::vector<FleetAccount>())) {
            if (!names.insert(account.name).second) {
                add(FindingSeverity::Error, placeOf(account), "stands there more than once");
            }
            if (account.keys.empty()) {
                add(FindingSeverity::Warning, placeOf(account),
                    "never matches, because it has no API key");
            }
            checkKeys(account, owners);
        }
    }

    void checkKeys(const FleetAccount &account, std::map<std::string, AccountName> &owners)
    {
        for (const std::string &key : account.keys) {
            const auto [it, isFirst] = owners.emplace(key, account.name);
            if (isFirst) {
                continue;
            }
            const bool isOwn = it->second == account.name;
            add(isOwn ? FindingSeverity::Warning : FindingSeverity::Error, placeOf(account),
                isOwn ? "has an API key twice"
                      : "has an API key that client account " + it->second.text() + " has, too");
        }
    }

    const FleetConfig &m_config;
    std::vector<ConfigFinding> m_findings;
};

/** Collects the differences between two configurations. */
class Comparer
{
public:
    Comparer(const FleetConfig &before, const FleetConfig &after) : m_before(before), m_after(after)
    { }

    std::vector<ConfigDifference> run()
    {
        compareRoutes();
        compareAccounts();
        compareServices();
        compareLimits();
        return m_differences;
    }

private:
    void add(const std::string &place, std::string text)
    {
        m_differences.push_back({place, std::move(text)});
    }

    template <typename Value, typename Format>
    void compareValue(const std::string &place, const std::string &what, const Value &before,
                      const Value &after, const Format &format)
    {
        if (before != after) {
            add(place, what + ": " + format(before) + " -> " + format(after));
        }
    }

    void compareDuration(const std::string &place, const std::string &what, Duration before,
                         Duration after)
    {
        compareValue(place, what, before, after, [](Duration time) { return textOf(time); });
    }

    void compareNumber(const std::string &place, const std::string &what, std::uint64_t before,
                       std::uint64_t after)
    {
        compareValue(place, what, before, after, [](std::uint64_t n) { return std::to_string(n); });
    }

    void compareFlag(const std::string &place, bool before, bool after, const std::string &ifSet,
                     const std::string &ifCleared)
    {
        if (before != after) {
            add(place, after ? ifSet : ifCleared);
        }
    }

    void compareRegions(const std::string &place, const AllowedRegions &before,
                        const AllowedRegions &after)
    {
        const auto format = [](const std::set<RegionName> &regions) {
            std::string text;
            for (const RegionName &region : regions) {
                text += (text.empty() ? "" : ", ") + region.text();
            }
            return text.empty() ? std::string("anywhere") : text;
        };
        compareValue(place, "allowed regions", std::set<RegionName>(before.begin(), before.end()),
                     std::set<RegionName>(after.begin(), after.end()), format);
    }

    /** @returns the routes that can match, by the requests that they match */
    static std::map<std::pair<std::string, std::string>, const Route *>
    routesOf(const FleetConfig &config)
    {
        std::map<std::pair<std::string, std::string>, const Route *> routes;
        for (const Route &route : config.routes) {
            routes.emplace(std::pair(route.host, route.pathPrefix), &route);
        }
        return routes;
    }

    void compareRoutes()
    {
        const auto before = routesOf(m_before);
        const auto after = routesOf(m_after);
        for (const auto &[match, route] : before) {
            const auto next = after.find(match);
            const std::string place = "route " + matchOf(*route);
            if (next == after.end()) {
                add(place, "removed: its requests go to a shorter prefix, or are rejected");
            } else {
                compareRoute(place, *route, *next->second);
            }
        }
        for (const auto &[match, route] : after) {
            if (!before.contains(match)) {
                add("route " + matchOf(*route), "added");
            }
        }
    }

    void compareRoute(const std::string &place, const Route &before, const Route &after)
    {
        compareFlag(place, isIdempotent(before.kind, before.canResume),
                    isIdempotent(after.kind, after.canResume),
                    "requests may now run more than once", "requests now run at most once");
        compareFlag(place, before.kind == RouteKind::Streaming, after.kind == RouteKind::Streaming,
                    "responses are now streams", "responses are no longer streams");
        compareFlag(place, before.isAnonymous, after.isAnonymous, "no API key is needed any more",
                    "an API key is now needed");
        compareDuration(place, "timeout", before.timeout, after.timeout);
        compareDuration(place, "latency objective", before.latencyObjective,
                        after.latencyObjective);
        compareDuration(place, "objective for the gap between events", before.interEventObjective,
                        after.interEventObjective);
        compareNumber(place, "priority (0 is the highest)", before.priority, after.priority);
        compareNumber(place, "attempts", before.maxAttempts, after.maxAttempts);
        compareRegions(place, before.allowedRegions, after.allowedRegions);
        compareShares(place, before, after);
    }

    /** Compares the shares of requests, since weights of another scale mean the same. */
    void compareShares(const std::string &place, const Route &before, const Route &after)
    {
        const auto shares = [](const Route &route) {
            constexpr double percent = 100;
            double total = 0;
            for (const RouteTarget &target : route.targets) {
                total += target.weight;
            }
            std::map<ServiceName, int> shares;
            for (const RouteTarget &target : route.targets) {
                const double share = total > 0 ? target.weight / total : 0;
                shares[target.service] += static_cast<int>(std::lround(share * percent));
            }
            return shares;
        };
        const auto format = [](const std::map<ServiceName, int> &shares) {
            std::string text;
            for (const auto &[service, share] : shares) {
                text += (text.empty() ? "" : ", ") + service.text() + " " + std::to_string(share)
                        + " %";
            }
            return text;
        };
        compareValue(place, "services", shares(before), shares(after), format);
    }

    void compareAccounts()
    {
        compareFlag("client accounts", m_before.accounts.has_value(), m_after.accounts.has_value(),
                    "API keys are now needed", "no API key is needed any more");
        if (!m_before.accounts || !m_after.accounts) {
            return;
        }
        const std::vector<FleetAccount> &before = *m_before.accounts;
        const std::vector<FleetAccount> &after = *m_after.accounts;
        for (const FleetAccount &account : before) {
            const auto next = findAccount(after, account.name);
            if (next == nullptr) {
                add(placeOf(account), "removed: its API keys are rejected");
            } else {
                compareAccount(account, *next);
            }
        }
        for (const FleetAccount &account : after) {
            if (findAccount(before, account.name) == nullptr) {
                add(placeOf(account), "added");
            }
        }
    }

    static const FleetAccount *findAccount(const std::vector<FleetAccount> &accounts,
                                           const AccountName &name)
    {
        const auto it =
                std::find_if(accounts.begin(), accounts.end(),
                             [&](const FleetAccount &account) { return account.name == name; });
        return it == accounts.end() ? nullptr : &*it;
    }

    void compareAccount(const FleetAccount &before, const FleetAccount &after)
    {
        const std::string place = placeOf(before);
        const std::size_t added = missingKeys(after, before);
        const std::size_t removed = missingKeys(before, after);
        if (added > 0) {
            add(place, "API keys added: " + std::to_string(added));
        }
        if (removed > 0) {
            add(place, "API keys removed, which are rejected: " + std::to_string(removed));
        }
        compareValue(place, "priority (0 is the highest)", before.priority, after.priority,
                     [](const std::optional<std::uint32_t> &priority) {
                         return priority ? std::to_string(*priority) : "that of the route";
                     });
        compareRegions(place, before.allowedRegions, after.allowedRegions);
    }

    /** @returns the number of keys of one account that the other does not have */
    static std::size_t missingKeys(const FleetAccount &account, const FleetAccount &other)
    {
        const std::set<std::string> keys(account.keys.begin(), account.keys.end());
        const std::set<std::string> others(other.keys.begin(), other.keys.end());
        return static_cast<std::size_t>(
                std::count_if(keys.begin(), keys.end(),
                              [&](const std::string &key) { return !others.contains(key); }));
    }

    void compareServices()
    {
        for (const auto &[name, service] : m_before.services) {
            const auto next = m_after.services.find(name);
            const std::string place = "service " + name.text();
            if (next == m_after.services.end()) {
                add(place, "removed");
            } else if (service != next->second) {
                compareService(place, service, next->second);
            }
        }
        for (const auto &[name, service] : m_after.services) {
            if (!m_before.services.contains(name)) {
                add("service " + name.text(), "added");
            }
        }
    }

    void compareService(const std::string &place, const Service &before, const Service &after)
    {
        const auto modelOf = [](const Service &service) {
            return service.engine ? service.engine->model.text() : std::string("none");
        };
        compareValue(place, "model", modelOf(before), modelOf(after),
                     [](const std::string &model) { return model; });
        compareDuration(place, "time after its start for which a backend server is cold",
                        before.coldStart, after.coldStart);
        if (before.engine != after.engine && modelOf(before) == modelOf(after)) {
            add(place, "the cost model of its engines changed, by which waits are estimated");
        }
    }

    void compareLimits()
    {
        const CallerLimits &before = m_before.limits;
        const CallerLimits &after = m_after.limits;
        const std::string place = "limits";
        compareNumber(place, "bytes of header fields", before.maxHeaderBytes, after.maxHeaderBytes);
        compareNumber(place, "bytes of a body", before.maxBodyBytes, after.maxBodyBytes);
        compareDuration(place, "time to send the header fields", before.headerTimeout,
                        after.headerTimeout);
        compareDuration(place, "time that a connection may be idle", before.idleTimeout,
                        after.idleTimeout);
    }

    const FleetConfig &m_before;
    const FleetConfig &m_after;
    std::vector<ConfigDifference> m_differences;
};

} // namespace

std::vector<ConfigFinding> checkConfig(const FleetConfig &config)
{
    return Checker(config).run();
}

std::vector<ConfigDifference> compareConfigs(const FleetConfig &before, const FleetConfig &after)
{
    return Comparer(before, after).run();
}

} // namespace greengageseam
