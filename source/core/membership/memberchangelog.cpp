#include "core/membership/memberchangelog.h"

namespace greengageseam {

ChangeLog::ChangeLog(std::uint64_t epoch, std::size_t keptGone)
    : m_epoch(epoch), m_keptGone(keptGone)
{ }

ChangeLog ChangeLog::noted(const Heartbeat &state) &&
{
    const auto [it, isNew] = m_states.try_emplace(state.instance);
    if (isNew || it->second.state != state) {
        it->second = Noted {state, ++m_revision};
    }
    return std::move(*this);
}

ChangeLog ChangeLog::forgotten(const InstanceId &instance) &&
{
    if (m_states.erase(instance) == 0) {
        return std::move(*this);
    }
    m_gone.emplace(++m_revision, instance);
    if (m_gone.size() > m_keptGone) {
        m_goneKnownSince = m_gone.begin()->first;
        m_gone.erase(m_gone.begin());
    }
    return std::move(*this);
}

std::vector<InstanceId> ChangeLog::instances() const
{
    std::vector<InstanceId> instances;
    for (const auto &[instance, noted] : m_states) {
        instances.push_back(instance);
    }
    return instances;
}

MemberChanges ChangeLog::since(std::uint64_t epoch, std::uint64_t revision) const
{
    const bool isKnown = epoch == m_epoch && revision <= m_revision && revision >= m_goneKnownSince;
    MemberChanges changes {m_epoch, isKnown ? revision : 0, m_revision, {}, {}};
    if (changes.from == m_revision) {
        return changes;
    }
    for (const auto &[instance, noted] : m_states) {
        if (noted.revision > changes.from) {
            changes.changed.push_back(noted.state);
        }
    }
    for (auto it = m_gone.upper_bound(changes.from); it != m_gone.end() && changes.from > 0; ++it) {
        if (!m_states.contains(it->second)) {
            changes.gone.push_back(it->second);
        }
    }
    return changes;
}

bool ChangeView::canApply(const MemberChanges &changes) const
{
    return changes.from == 0 || (changes.epoch == m_epoch && changes.from <= m_revision);
}

ChangeView ChangeView::applied(const MemberChanges &changes) &&
{
    const bool isLate = changes.epoch == m_epoch && changes.to < m_revision;
    if (isLate || !canApply(changes)) {
        return std::move(*this);
    }
    if (changes.from == 0) {
        m_members.clear();
    }
    for (const Heartbeat &state : changes.changed) {
        m_members.insert_or_assign(state.instance, state);
    }
    for (const InstanceId &instance : changes.gone) {
        m_members.erase(instance);
    }
    m_epoch = changes.epoch;
    m_revision = changes.to;
    return std::move(*this);
}

Heartbeat neighbourPart(const Heartbeat &heartbeat)
{
    Heartbeat part;
    part.instance = heartbeat.instance;
    part.peerAddress = heartbeat.peerAddress;
    part.kind = heartbeat.kind;
    part.startedAt = heartbeat.startedAt;
    part.isDraining = heartbeat.isDraining;
    part.serving = heartbeat.serving;
    part.holding = heartbeat.holding;
    part.slots = heartbeat.slots;
    return part;
}

Heartbeat reportedPart(const Heartbeat &heartbeat)
{
    Heartbeat part = heartbeat;
    part.sequence = 0;
    part.clock = Instant();
    part.inFlight = 0;
    part.queued = 0;
    part.appliedConfig = {};
    part.tableDigest = {};
    part.originBytes = 0;
    return part;
}

} // namespace greengageseam
