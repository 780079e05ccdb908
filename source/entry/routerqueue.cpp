/**
 * Dispatch of admitted requests to backend servers: at once, after queueing, or rejection.
 */
#include "entry/router.h"
#include "net/clock.h"

namespace greengageseam {

void Router::place(Placing placing)
{
    const auto queue = m_queues.find(placing.pool);
    const bool othersWait = queue != m_queues.end() && queue->second.size() > 0;
    if (!othersWait) {
        if (std::optional<RouteGrant> grant = tryToPlace(placing)) {
            placing.reply->post(std::move(*grant));
            return;
        }
    }
    if (!m_index.serves(placing.pool)) {
        refuse(placing,
               {ErrorKind::NoBackendServer, "no backend server currently serves this request"});
    } else if (!othersWait && m_index.hasRoom(placing.pool, monotonicNow())) {
        refuse(placing,
               {ErrorKind::NoBackendServer,
                "all backend servers that serve this request were tried"});
    } else {
        wait(std::move(placing));
    }
}

std::optional<RouteGrant> Router::tryToPlace(const Placing &placing)
{
    const std::optional<std::size_t> chosen = m_index.take(
            placing.pool, placing.tried, {randomNumber(), randomNumber()}, monotonicNow());
    if (!chosen) {
        return std::nullopt;
    }
    const UsableAgent &agent = m_fleet.usable[*chosen];
    RouteGrant grant = placing.grant;
    grant.instance = agent.last.instance;
    grant.link = agent.link;
    grant.incarnation = agent.last.incarnation;
    grant.stamp = {agent.last.startedAt, agent.last.clock};
    grant.peerAddress = agent.last.peerAddress;
    return grant;
}

void Router::wait(Placing placing)
{
    const Instant now = monotonicNow();
    const Instant startBy = std::min(placing.question.deadline, now + m_options.longestWait);
    const std::uint64_t ticket = ++m_lastTicket;
    AdmissionQueue &queue =
            m_queues.try_emplace(placing.pool, AdmissionQueue(m_options.queue)).first->second;
    const WaitingRequest request {ticket, placing.grant.account, placing.grant.priority, startBy};
    m_waiting.emplace(ticket, std::move(placing));
    if (const std::optional<std::uint64_t> refused = queue.push(request, now)) {
        refuseWaiting(*refused,
                      "all backend servers are busy, and the request could not start in time");
    }
}

void Router::dispatch()
{
    for (auto it = m_queues.begin(); it != m_queues.end();) {
        dispatch(it->first, it->second);
        it = it->second.size() == 0 && !m_index.serves(it->first) ? m_queues.erase(it)
                                                                  : std::next(it);
    }
}

void Router::dispatch(const PoolKey &pool, AdmissionQueue &queue)
{
    const Instant now = monotonicNow();
    while (queue.size() > 0 && (m_index.hasRoom(pool, now) || !m_index.serves(pool))) {
        const std::optional<WaitingRequest> next = queue.pop(now);
        auto waiting = m_waiting.extract(next->ticket);
        const Placing &placing = waiting.mapped();
        if (std::optional<RouteGrant> grant = tryToPlace(placing)) {
            placing.reply->post(std::move(*grant));
        } else {
            refuse(placing, {ErrorKind::NoBackendServer, "no untried backend server has capacity"});
        }
    }
}

void Router::refuse(const Placing &placing, const Failure &failure)
{
    const bool isFirst = placing.tried.empty();
    const auto meter = m_meters.find(placing.grant.account);
    if (isFirst && meter != m_meters.end()) {
        meter->second = meter->second.finished(placing.question.estimatedTokens, 0);
    }
    m_metrics->count("requests_shed_total",
                     "Admitted requests rejected because no backend server was available",
                     {{"priority", std::to_string(placing.grant.priority)}});
    placing.reply->post(failure);
}

void Router::refuseWaiting(std::uint64_t ticket, const std::string &reason)
{
    auto waiting = m_waiting.extract(ticket);
    if (!waiting.empty()) {
        refuse(waiting.mapped(), {ErrorKind::Overloaded, reason});
    }
}

} // namespace greengageseam
