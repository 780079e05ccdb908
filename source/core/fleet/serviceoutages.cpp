#include "core/fleet/serviceoutages.h"

namespace greengageseam {

Duration ServiceOutages::record(const ServiceName &service, const RegionRule &regions, Instant now)
{
    const auto [it, isNew] = m_begins.try_emplace({service, regions}, now);
    return now - it->second;
}

std::optional<Duration> ServiceOutages::end(const ServiceName &service, const RegionRule &regions,
                                            Instant now)
{
    if (m_begins.empty()) {
        return std::nullopt;
    }
    const auto it = m_begins.find({service, regions});
    if (it == m_begins.end()) {
        return std::nullopt;
    }
    const Duration length = now - it->second;
    m_begins.erase(it);
    return length;
}

} // namespace greengageseam
