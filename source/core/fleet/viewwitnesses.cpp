#include "core/fleet/viewwitnesses.h"

#include <algorithm>

namespace greengageseam {

void ViewWitnesses::expectZones(const std::set<ZoneName> &zones)
{
    for (const ZoneName &zone : zones) {
        m_lastStatements.try_emplace(zone);
    }
}

void ViewWitnesses::recordStatement(const ZoneName &zone, std::optional<Duration> viewAge,
                                    Instant now)
{
    if (!viewAge) {
        return;
    }
    m_lastStatements[zone] = now;
    m_newestView = std::max(m_newestView.value_or(now - *viewAge), now - *viewAge);
}

std::optional<Duration> ViewWitnesses::newestViewAge(Instant now) const
{
    return m_newestView ? std::optional<Duration>(now - *m_newestView) : std::nullopt;
}

bool ViewWitnesses::isUnreadableForAll(Instant now) const
{
    if (!m_newestView || now - *m_newestView <= m_options.staleAfter) {
        return false;
    }
    return std::all_of(m_lastStatements.begin(), m_lastStatements.end(),
                       [&](const auto &it) { return now - it.second <= m_options.maxSilence; });
}

} // namespace greengageseam
