#include "core/fleet/replicaregistry.h"

#include <algorithm>

namespace greengageseam {

void ReplicaBook::beginRead(Instant now)
{
    if (m_lastRead && now - *m_lastRead > m_options.outageAfter) {
        m_graceUntil = now + m_options.lapseGrace;
    }
    m_lastRead = now;
}

std::optional<ReplicaNews> ReplicaBook::put(const ReplicaEntry &entry)
{
    const auto it = m_known.find(entry.id);
    if (it == m_known.end()) {
        m_known.emplace(entry.id, Known {entry, std::nullopt});
        return ReplicaNews {entry.id, ReplicaChange::Added};
    }
    const bool wasLost = it->second.goneAt.has_value();
    const ReplicaEntry before = it->second.entry;
    it->second = Known {entry, std::nullopt};
    if (before.bornMs != entry.bornMs) {
        return ReplicaNews {entry.id, ReplicaChange::Restarted};
    }
    if (before.address != entry.address || before.service != entry.service) {
        return ReplicaNews {entry.id, ReplicaChange::Moved};
    }
    if (before.isDraining != entry.isDraining) {
        return ReplicaNews {entry.id,
                            entry.isDraining ? ReplicaChange::Draining : ReplicaChange::Resumed};
    }
    if (wasLost) {
        return ReplicaNews {entry.id, ReplicaChange::Returned};
    }
    return std::nullopt;
}

std::optional<ReplicaNews> ReplicaBook::remove(const ReplicaId &id, Instant now)
{
    const auto it = m_known.find(id);
    if (it == m_known.end() || it->second.goneAt) {
        return std::nullopt;
    }
    const bool mayReturn = m_graceUntil && now < *m_graceUntil && !it->second.entry.isDraining;
    if (mayReturn) {
        it->second.goneAt = *m_graceUntil;
        return ReplicaNews {id, ReplicaChange::Lapsed};
    }
    m_known.erase(it);
    return ReplicaNews {id, ReplicaChange::Gone};
}

std::vector<ReplicaNews> ReplicaBook::retain(const std::vector<ReplicaId> &present, Instant now)
{
    std::vector<ReplicaId> missing;
    for (const auto &[id, known] : m_known) {
        if (std::find(present.begin(), present.end(), id) == present.end()) {
            missing.push_back(id);
        }
    }
    std::vector<ReplicaNews> news;
    for (const ReplicaId &id : missing) {
        if (const auto change = remove(id, now)) {
            news.push_back(*change);
        }
    }
    return news;
}

std::vector<ReplicaNews> ReplicaBook::expire(Instant now)
{
    std::vector<ReplicaNews> news;
    for (auto it = m_known.begin(); it != m_known.end();) {
        if (it->second.goneAt && now >= *it->second.goneAt) {
            news.push_back({it->first, ReplicaChange::Gone});
            it = m_known.erase(it);
        } else {
            ++it;
        }
    }
    return news;
}

const ReplicaEntry *ReplicaBook::find(const ReplicaId &id) const
{
    const auto it = m_known.find(id);
    return it == m_known.end() ? nullptr : &it->second.entry;
}

std::vector<ReplicaEntry> ReplicaBook::entries() const
{
    std::vector<ReplicaEntry> entries;
    entries.reserve(m_known.size());
    for (const auto &[id, known] : m_known) {
        entries.push_back(known.entry);
    }
    return entries;
}

std::string_view textOf(ReplicaChange change)
{
    switch (change) {
    case ReplicaChange::Added:
        return "added";
    case ReplicaChange::Restarted:
        return "restarted";
    case ReplicaChange::Moved:
        return "moved";
    case ReplicaChange::Draining:
        return "draining";
    case ReplicaChange::Resumed:
        return "resumed";
    case ReplicaChange::Lapsed:
        return "lapsed";
    case ReplicaChange::Returned:
        return "returned";
    case ReplicaChange::Gone:
        break;
    }
    return "gone";
}

} // namespace greengageseam
