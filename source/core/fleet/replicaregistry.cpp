#include "core/fleet/replicaregistry.h"

#include <algorithm>

namespace greengageseam {

void ReplicaRegistry::recordAttempt(Instant now)
{
    m_failedAttempt = m_lastAttempt;
    m_lastAttempt = now;
}

void ReplicaRegistry::recordRead(Instant now)
{
    if (m_lastRead && now - *m_lastRead > m_options.outageAfter) {
        const Instant lastFailure = m_failedAttempt.value_or(*m_lastRead);
        m_graceUntil = std::min(now + m_options.removalGrace,
                                lastFailure + m_options.maxGraceAfterFailure);
    }
    m_lastRead = now;
    m_lastAttempt.reset();
    m_failedAttempt.reset();
}

void ReplicaRegistry::recordLoss(Instant now)
{
    m_graceUntil = now + m_options.removalGrace;
}

bool ReplicaRegistry::isOutdated(const ReplicaEntry &entry) const
{
    const auto removal = m_removals.find(entry.id);
    if (removal != m_removals.end()) {
        return removal->second.startedAtMs == entry.startedAtMs;
    }
    const ReplicaEntry *known = find(entry.id);
    return known != nullptr && known->isDraining && !entry.isDraining
            && known->startedAtMs == entry.startedAtMs;
}

/** Remembers a removal for as long as a copy of the store may lack it. */
void ReplicaRegistry::rememberRemoval(const ReplicaEntry &entry, Instant now)
{
    std::erase_if(m_removals, [&](const auto &it) {
        return now - it.second.removedAt > m_options.removalMemory;
    });
    m_removals[entry.id] = {entry.startedAtMs, now};
}

std::optional<ReplicaUpdate> ReplicaRegistry::put(const ReplicaEntry &entry)
{
    m_removals.erase(entry.id);
    const auto it = m_records.find(entry.id);
    if (it == m_records.end()) {
        m_records.emplace(entry.id, Record {entry, std::nullopt});
        return ReplicaUpdate {entry.id, ReplicaChange::Added};
    }
    const bool hadLapsed = it->second.expiresAt.has_value();
    const ReplicaEntry previous = it->second.entry;
    it->second = Record {entry, std::nullopt};
    if (previous.startedAtMs != entry.startedAtMs) {
        return ReplicaUpdate {entry.id, ReplicaChange::Restarted};
    }
    if (previous.address != entry.address || previous.service != entry.service) {
        return ReplicaUpdate {entry.id, ReplicaChange::Moved};
    }
    if (previous.isDraining != entry.isDraining) {
        return ReplicaUpdate {entry.id,
                              entry.isDraining ? ReplicaChange::Draining : ReplicaChange::Resumed};
    }
    if (hadLapsed) {
        return ReplicaUpdate {entry.id, ReplicaChange::Returned};
    }
    return std::nullopt;
}

std::optional<ReplicaUpdate> ReplicaRegistry::remove(const ReplicaId &id, Instant now)
{
    const auto it = m_records.find(id);
    if (it == m_records.end() || it->second.expiresAt) {
        return std::nullopt;
    }
    const bool mayReturn = m_graceUntil && now < *m_graceUntil && !it->second.entry.isDraining;
    if (mayReturn) {
        it->second.expiresAt = *m_graceUntil;
        return ReplicaUpdate {id, ReplicaChange::Lapsed};
    }
    rememberRemoval(it->second.entry, now);
    m_records.erase(it);
    return ReplicaUpdate {id, ReplicaChange::Gone};
}

std::vector<ReplicaUpdate> ReplicaRegistry::retainOnly(const std::vector<ReplicaId> &present,
                                                       Instant now)
{
    std::vector<ReplicaId> missing;
    for (const auto &[id, record] : m_records) {
        if (std::find(present.begin(), present.end(), id) == present.end()) {
            missing.push_back(id);
        }
    }
    std::vector<ReplicaUpdate> updates;
    for (const ReplicaId &id : missing) {
        if (const auto change = remove(id, now)) {
            updates.push_back(*change);
        }
    }
    return updates;
}

std::vector<ReplicaUpdate> ReplicaRegistry::expire(Instant now)
{
    std::vector<ReplicaUpdate> updates;
    for (auto it = m_records.begin(); it != m_records.end();) {
        if (it->second.expiresAt && now >= *it->second.expiresAt) {
            updates.push_back({it->first, ReplicaChange::Gone});
            rememberRemoval(it->second.entry, now);
            it = m_records.erase(it);
        } else {
            ++it;
        }
    }
    return updates;
}

std::optional<Instant> ReplicaRegistry::nextExpiry() const
{
    std::optional<Instant> next;
    for (const auto &[id, record] : m_records) {
        if (record.expiresAt) {
            next = std::min(next.value_or(*record.expiresAt), *record.expiresAt);
        }
    }
    return next;
}

const ReplicaEntry *ReplicaRegistry::find(const ReplicaId &id) const
{
    const auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : &it->second.entry;
}

std::vector<ReplicaEntry> ReplicaRegistry::entries() const
{
    std::vector<ReplicaEntry> entries;
    entries.reserve(m_records.size());
    for (const auto &[id, record] : m_records) {
        entries.push_back(record.entry);
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
