#include "core/fleet/listeninghistory.h"

#include <algorithm>

namespace greengageseam {

std::optional<Duration> ListeningHistory::recordRunning(Instant now)
{
    const Instant last = m_lastRunning.value_or(now);
    m_lastRunning = now;
    if (now - last <= m_options.pauseThreshold) {
        return std::nullopt;
    }
    m_pausedAt = last;
    m_resumedAt = now;
    return now - last;
}

Instant ListeningHistory::earliestArrival(Instant now) const
{
    return now < m_resumedAt + m_options.settleTime ? m_pausedAt : now;
}

void ListeningHistory::recordView(Instant completeAsOf)
{
    if (m_completeAsOf && completeAsOf <= *m_completeAsOf) {
        return;
    }
    m_completeAsOf = completeAsOf;
}

void ListeningHistory::recordOutage(Instant now)
{
    m_unreadableUntil = now;
}

Instant ListeningHistory::earliestChange(Instant now) const
{
    const Instant earliest = m_completeAsOf.value_or(now);
    return std::min(now, std::max(earliest, m_unreadableUntil));
}

DateBasis ListeningHistory::basis() const
{
    if (!m_completeAsOf) {
        return DateBasis::Hearing;
    }
    return m_unreadableUntil > *m_completeAsOf ? DateBasis::Outage : DateBasis::View;
}

std::string_view nameOf(DateBasis basis)
{
    switch (basis) {
    case DateBasis::View:
        return "view";
    case DateBasis::Outage:
        return "outage";
    case DateBasis::Peer:
        return "peer";
    case DateBasis::Hearing:
        break;
    }
    return "hearing";
}

} // namespace greengageseam
