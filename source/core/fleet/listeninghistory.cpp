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
    // The read that was in progress during the pause is lost with it and shows nothing.
    m_lostReads = -1;
    return now - last;
}

void ListeningHistory::recordView(Instant completeAsOf)
{
    if (m_completeAsOf && completeAsOf <= *m_completeAsOf) {
        return;
    }
    m_completeAsOf = completeAsOf;
    m_lostReads = 0;
}

void ListeningHistory::recordLostRead(Instant now)
{
    ++m_lostReads;
    m_lastLostAt = now;
}

Instant ListeningHistory::earliestChange(Instant now) const
{
    switch (basis()) {
    case DateBasis::View:
        return std::min(now, *m_completeAsOf);
    case DateBasis::LostRead:
        return std::min(now, m_lastLostAt);
    default:
        return now;
    }
}

DateBasis ListeningHistory::basis() const
{
    if (!m_completeAsOf) {
        return DateBasis::Hearing;
    }
    const bool isUnavailable = m_lostReads >= m_options.unavailableAfter;
    return isUnavailable && m_lastLostAt > *m_completeAsOf ? DateBasis::LostRead : DateBasis::View;
}

std::string_view nameOf(DateBasis basis)
{
    switch (basis) {
    case DateBasis::View:
        return "view";
    case DateBasis::LostRead:
        return "lost-read";
    case DateBasis::Peer:
        return "peer";
    case DateBasis::Hearing:
        break;
    }
    return "hearing";
}

} // namespace greengageseam
