/**
 * The part of Dispatcher that applies what backend servers announce in responses, and records which
 * of them get no requests.
 */
#include "edge/dispatcher.h"
#include "net/clock.h"

namespace greengageseam {

namespace {

/** Shorter outages of a service are not logged. */
constexpr auto minLoggedOutage = std::chrono::seconds(1);

} // namespace

void Dispatcher::apply(const ReplicaSpoke &command)
{
    const Instant now = monotonicNow();
    const Duration asked = command.statement.pause.value_or(Duration::zero());
    if (asked > maxReplicaPause) {
        m_log.info("replica.pause-bounded",
                   {{"replica", command.replica.id.text()},
                    {"asked_ms", asked.count() / 1000},
                    {"granted_ms", Duration(maxReplicaPause).count() / 1000}});
    }
    m_loads.applyStatement(command.replica, command.statement, now);
    if (command.statement.isLeaving) {
        closePooledConnections(command.replica.address);
    }
    recordAvailability(now);
}

void Dispatcher::closePooledConnections(const Address &address)
{
    const auto it = m_connectionPool.find(address);
    if (it == m_connectionPool.end()) {
        return;
    }
    for (const PooledConnection &pooled : it->second) {
        pooled.connection->abort();
    }
    m_connectionPool.erase(it);
}

/** Logs for which backend servers the cause has changed, and counts the causes. */
void Dispatcher::recordAvailability(Instant now)
{
    std::map<ReplicaId, UnavailableCause> causes = m_loads.unavailableReplicas(now);
    // A rejection holds requests back for some milliseconds only, and is counted by itself.
    std::erase_if(causes,
                  [](const auto &it) { return it.second == UnavailableCause::RecentRejection; });
    if (causes == m_unavailable) {
        return;
    }
    std::map<UnavailableCause, double> counts;
    for (const auto &[id, cause] : causes) {
        ++counts[cause];
        const auto before = m_unavailable.find(id);
        if (before == m_unavailable.end() || before->second != cause) {
            m_log.info("replica.unavailable", {{"replica", id.text()}, {"cause", nameOf(cause)}});
        }
    }
    for (const auto &[id, cause] : m_unavailable) {
        if (!causes.contains(id) && m_loads.isListed(id)) {
            m_log.info("replica.available-again",
                       {{"replica", id.text()}, {"cause", nameOf(cause)}});
        }
    }
    for (const UnavailableCause cause : unavailableCauses()) {
        m_metrics->set("replicas_unavailable", "Backend servers that get no requests, by cause",
                       counts[cause], {{"cause", std::string(nameOf(cause))}});
    }
    m_unavailable = std::move(causes);
}

/** Ends the outage of a service, if there was one, and logs a long one. */
void Dispatcher::recordOutageEnd(const ServiceName &service, const RegionRule &regions, Instant now)
{
    const std::optional<Duration> length = m_outages.end(service, regions, now);
    if (!length || *length < minLoggedOutage) {
        return;
    }
    m_log.info("service.available-again",
               {{"service", service.text()},
                {"restricted", regions.isRestricted()},
                {"outage_ms", length->count() / 1000}});
}

/** Logs which backend servers have become cold or warm, and counts the cold ones. */
void Dispatcher::recordColdServers(Instant now)
{
    std::set<ReplicaId> cold;
    for (const auto &[id, left] : m_loads.coldReplicas(now)) {
        cold.insert(id);
        if (!m_cold.contains(id)) {
            m_log.info("replica.cold",
                       {{"replica", id.text()},
                        {"left_ms", left.count() / 1000},
                        {"entries", m_entryCount}});
        }
    }
    for (const ReplicaId &id : m_cold) {
        if (!cold.contains(id) && m_loads.isListed(id)) {
            m_log.info("replica.warm", {{"replica", id.text()}});
        }
    }
    if (cold != m_cold) {
        m_metrics->set("replicas_cold", "Backend servers that take a limited rate of requests",
                       static_cast<double>(cold.size()));
        m_cold = std::move(cold);
    }
}

} // namespace greengageseam
