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
    return now - last;
}

void ListeningHistory::recordView(Instant completeAsOf)
{
    if (m_completeAsOf && completeAsOf <= *m_completeAsOf) {
        return;
    }
    m_completeAsOf = completeAsOf;
}

Instant ListeningHistory::earliestChange(Instant now) const
{
    return std::min(now, m_completeAsOf.value_or(now));
}

DateBasis ListeningHistory::basis() const
{
    return m_completeAsOf ? DateBasis::View : DateBasis::Hearing;
}

std::string_view nameOf(DateBasis basis)
{
    switch (basis) {
    case DateBasis::View:
        return "view";
    case DateBasis::Peer:
        return "peer";
    case DateBasis::Hearing:
        break;
    }
    return "hearing";
}

} // namespace greengageseam
