/**
 * The part of RequestProxy that hedges an attempt which is late, but not silent.
 */
#include "edge/requestproxy.h"
#include "net/clock.h"

#include <algorithm>

namespace greengageseam {

std::optional<Duration> RequestProxy::lateHedgeDelay() const
{
    if (m_isStreaming || m_lateHedge.wasAsked || !m_lateHedge.delay) {
        return std::nullopt;
    }
    return m_lateHedge.delay->delay;
}

void RequestProxy::startLateHedgeSearch()
{
    m_lateHedge.wasAsked = true;
    m_lateHedge.isSearched = true;
    startSearch();
}

void RequestProxy::endLateHedgeSearch()
{
    if (!m_isDone && !m_isExpired) {
        startSilenceTimer(std::max(m_silentAt, monotonicNow()));
    }
}

void RequestProxy::recordLateHedge(const ReplicaLease &lease)
{
    m_lateHedge.lease = lease.id;
    const HedgeGrant &grant = *lease.hedge;
    if (!grant.isLogged) {
        return;
    }
    m_context.log.info("request.hedged",
                       {{"request", m_call.attemptId},
                        {"replica", lease.replica.id.text()},
                        {"waited_ms", grant.waited.count() / 1000},
                        {"threshold_ms", grant.delay.delay.count() / 1000},
                        {"basis", nameOf(grant.delay.basis)},
                        {"budget_left", grant.budgetLeft}});
}

} // namespace greengageseam
