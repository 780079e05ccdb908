/**
 * Dispatch of admitted requests to backend servers: at once, after queueing, or rejection.
 */
#include "entry/router.h"
#include "net/clock.h"

namespace greengageseam {

void Router::dispatchOrQueue(RoutedRequest routed)
{
    const auto queue = m_queues.find(routed.pool);
    const bool isQueueNonEmpty = queue != m_queues.end() && queue->second.size() > 0;
    if (!isQueueNonEmpty) {
        if (std::optional<RouteGrant> grant = tryDispatch(routed)) {
            routed.reply->post(std::move(*grant));
            return;
        }
    }
    if (!m_backends.serves(routed.pool)) {
        reject(routed,
               {ErrorKind::NoBackendServer, "no backend server currently serves this request"});
    } else if (!isQueueNonEmpty && m_backends.hasCapacity(routed.pool, monotonicNow())) {
        reject(routed,
               {ErrorKind::NoBackendServer,
                "all backend servers that serve this request were tried"});
    } else {
        enqueue(std::move(routed));
    }
}

std::optional<RouteGrant> Router::tryDispatch(const RoutedRequest &routed)
{
    const std::optional<std::size_t> chosen = m_backends.acquire(
            routed.pool, routed.triedAgents, {randomNumber(), randomNumber()}, monotonicNow());
    if (!chosen) {
        return std::nullopt;
    }
    const UsableAgent &agent = m_fleet.usableAgents[*chosen];
    RouteGrant grant = routed.grant;
    grant.instance = agent.lastHeartbeat.instance;
    grant.link = agent.link;
    grant.incarnation = agent.lastHeartbeat.incarnation;
    grant.agentTimestamp = {agent.lastHeartbeat.startedAt, agent.lastHeartbeat.clock};
    grant.peerAddress = agent.lastHeartbeat.peerAddress;
    return grant;
}

void Router::enqueue(RoutedRequest routed)
{
    const Instant now = monotonicNow();
    const Instant startDeadline = std::min(routed.query.deadline, now + m_options.maxQueueTime);
    const std::uint64_t ticket = ++m_lastTicket;
    AdmissionQueue &queue =
            m_queues.try_emplace(routed.pool, AdmissionQueue(m_options.queue)).first->second;
    const QueuedRequest request {ticket, routed.grant.account, routed.grant.priority,
                                 startDeadline};
    m_queuedRequests.emplace(ticket, std::move(routed));
    if (const std::optional<std::uint64_t> evicted = queue.push(request, now)) {
        rejectQueued(*evicted,
                     "all backend servers are busy, and the request could not start in time");
    }
}

void Router::dispatchQueued()
{
    for (auto it = m_queues.begin(); it != m_queues.end();) {
        dispatchQueued(it->first, it->second);
        it = it->second.size() == 0 && !m_backends.serves(it->first) ? m_queues.erase(it)
                                                                     : std::next(it);
    }
}

void Router::dispatchQueued(const PoolKey &pool, AdmissionQueue &queue)
{
    const Instant now = monotonicNow();
    while (queue.size() > 0 && (m_backends.hasCapacity(pool, now) || !m_backends.serves(pool))) {
        const std::optional<QueuedRequest> next = queue.pop(now);
        auto node = m_queuedRequests.extract(next->ticket);
        const RoutedRequest &routed = node.mapped();
        if (std::optional<RouteGrant> grant = tryDispatch(routed)) {
            routed.reply->post(std::move(*grant));
        } else {
            reject(routed, {ErrorKind::NoBackendServer, "no untried backend server has capacity"});
        }
    }
}

void Router::reject(const RoutedRequest &routed, const Failure &failure)
{
    const bool isFirstAttempt = routed.triedAgents.empty();
    const auto meter = m_accountMeters.find(routed.grant.account);
    if (isFirstAttempt && meter != m_accountMeters.end()) {
        meter->second = meter->second.finished(routed.query.estimatedTokens, 0);
    }
    m_metrics->count("requests_shed_total",
                     "Admitted requests rejected because no backend server was available",
                     {{"priority", std::to_string(routed.grant.priority)}});
    routed.reply->post(failure);
}

void Router::rejectQueued(std::uint64_t ticket, const std::string &reason)
{
    auto node = m_queuedRequests.extract(ticket);
    if (!node.empty()) {
        reject(node.mapped(), {ErrorKind::Overloaded, reason});
    }
}

} // namespace greengageseam
