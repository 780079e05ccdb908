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
    const bool isCatchingUp = m_catchUpUntil && last <= *m_catchUpUntil;
    m_pausedSince = isCatchingUp ? m_pausedSince : last;
    m_catchUpUntil = now + m_options.catchUpTime;
    return now - last;
}

void ListeningHistory::recordRead(Instant now)
{
    m_lastRead = now;
    m_lostReads = 0;
}

void ListeningHistory::recordLostRead()
{
    ++m_lostReads;
}

Instant ListeningHistory::earliestChange(Instant now) const
{
    Instant earliest = now;
    if (m_catchUpUntil && now <= *m_catchUpUntil) {
        earliest = m_pausedSince;
    }
    if (m_lastRead && m_lostReads == 1) {
        const Instant listenedAt = std::max(*m_lastRead, now - m_options.maxHangingRead);
        earliest = std::min(earliest, listenedAt);
    }
    return earliest;
}

} // namespace greengageseam
