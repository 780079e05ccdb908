#include "core/fleet/soundparts.h"

#include <utility>

namespace greengageseam {

void SoundParts::record(const PromptPartId &part, Instant now)
{
    const auto it = m_young.find(part);
    if (it != m_young.end()) {
        it->second = now;
        return;
    }
    if (m_young.size() >= m_maxParts || now - m_startedAt > m_lifetime) {
        m_old = std::exchange(m_young, {});
        m_startedAt = now;
    }
    m_young.emplace(part, now);
}

std::optional<Instant> SoundParts::lastSeen(const PromptPartId &part) const
{
    for (const auto *generation : {&m_young, &m_old}) {
        const auto it = generation->find(part);
        if (it != generation->end()) {
            return it->second;
        }
    }
    return std::nullopt;
}

} // namespace greengageseam
