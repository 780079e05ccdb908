#include "core/membership/memberchangelog.h"

namespace greengageseam {

MemberChangeLog::MemberChangeLog(std::uint64_t epoch, std::size_t maxRemoved)
    : m_epoch(epoch), m_maxRemoved(maxRemoved)
{ }

MemberChangeLog MemberChangeLog::withState(const Heartbeat &state) &&
{
    const auto [it, isNew] = m_states.try_emplace(state.instance);
    if (isNew || it->second.state != state) {
        it->second = VersionedState {state, ++m_revision};
    }
    return std::move(*this);
}

MemberChangeLog MemberChangeLog::without(const InstanceId &instance) &&
{
    if (m_states.erase(instance) == 0) {
        return std::move(*this);
    }
    m_removed.emplace(++m_revision, instance);
    if (m_removed.size() > m_maxRemoved) {
        m_removalsCompleteAfter = m_removed.begin()->first;
        m_removed.erase(m_removed.begin());
    }
    return std::move(*this);
}

std::vector<InstanceId> MemberChangeLog::instances() const
{
    std::vector<InstanceId> instances;
    for (const auto &[instance, versioned] : m_states) {
        instances.push_back(instance);
    }
    return instances;
}

MemberChanges MemberChangeLog::changesSince(std::uint64_t epoch, std::uint64_t revision) const
{
    const bool isKnown =
            epoch == m_epoch && revision <= m_revision && revision >= m_removalsCompleteAfter;
    MemberChanges changes {m_epoch, isKnown ? revision : 0, m_revision, {}, {}};
    if (changes.fromRevision == m_revision) {
        return changes;
    }
    for (const auto &[instance, versioned] : m_states) {
        if (versioned.revision > changes.fromRevision) {
            changes.changed.push_back(versioned.state);
        }
    }
    for (auto it = m_removed.upper_bound(changes.fromRevision);
         it != m_removed.end() && changes.fromRevision > 0; ++it) {
        if (!m_states.contains(it->second)) {
            changes.removed.push_back(it->second);
        }
    }
    return changes;
}

bool RemoteMembers::canApply(const MemberChanges &changes) const
{
    return changes.fromRevision == 0
            || (changes.epoch == m_epoch && changes.fromRevision <= m_revision);
}

RemoteMembers RemoteMembers::withChanges(const MemberChanges &changes) &&
{
    const bool isStale = changes.epoch == m_epoch && changes.toRevision < m_revision;
    if (isStale || !canApply(changes)) {
        return std::move(*this);
    }
    if (changes.fromRevision == 0) {
        m_members.clear();
    }
    for (const Heartbeat &state : changes.changed) {
        m_members.insert_or_assign(state.instance, state);
    }
    for (const InstanceId &instance : changes.removed) {
        m_members.erase(instance);
    }
    m_epoch = changes.epoch;
    m_revision = changes.toRevision;
    return std::move(*this);
}

Heartbeat fieldsForAgents(const Heartbeat &heartbeat)
{
    Heartbeat fields;
    fields.instance = heartbeat.instance;
    fields.peerAddress = heartbeat.peerAddress;
    fields.kind = heartbeat.kind;
    fields.startedAt = heartbeat.startedAt;
    fields.isDraining = heartbeat.isDraining;
    fields.serving = heartbeat.serving;
    fields.stored = heartbeat.stored;
    fields.slots = heartbeat.slots;
    return fields;
}

Heartbeat fieldsForEntries(const Heartbeat &heartbeat)
{
    Heartbeat fields = heartbeat;
    fields.sequence = 0;
    fields.clock = Instant();
    fields.inFlight = 0;
    fields.queued = 0;
    fields.appliedConfig = {};
    fields.tableDigest = {};
    fields.originBytes = 0;
    return fields;
}

} // namespace greengageseam
