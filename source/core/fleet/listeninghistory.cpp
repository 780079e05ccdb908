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
    if (!m_completeAsOf) {
        return now;
    }
    const bool isUnavailable = m_lostReads >= m_options.unavailableAfter;
    const Instant earliest =
            isUnavailable ? std::max(*m_completeAsOf, m_lastLostAt) : *m_completeAsOf;
    return std::min(now, earliest);
}

} // namespace greengageseam
