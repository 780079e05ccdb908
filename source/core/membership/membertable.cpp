#include "core/membership/membertable.h"

#include <tuple>

namespace greengageseam {

namespace {

bool isNewer(const Heartbeat &left, const Heartbeat &right)
{
    return std::tie(left.startedAt, left.sequence) > std::tie(right.startedAt, right.sequence);
}

} // namespace

MemberTableOptions MemberTableOptions::withSuspectAfter(Duration value) const
{
    MemberTableOptions options = *this;
    options.suspectAfter = value;
    return options;
}

MemberTableOptions MemberTableOptions::withRemoveAfter(Duration value) const
{
    MemberTableOptions options = *this;
    options.removeAfter = value;
    return options;
}

MemberTableOptions MemberTableOptions::withRelayAllowance(Duration value) const
{
    MemberTableOptions options = *this;
    options.relayAllowance = value;
    return options;
}

MemberTable::MemberTable(MemberTableOptions options) : m_options(options) { }

bool MemberTable::hasDrainOrder(const Heartbeat &heartbeat) const
{
    const auto order = m_drainOrders.find(heartbeat.instance);
    return order != m_drainOrders.end() && heartbeat.startedAt <= order->second.startedAt;
}

MemberTable MemberTable::withHeartbeat(const Heartbeat &heartbeat, Instant now,
                                       HeartbeatSource source) &&
{
    const Instant receivedAt =
            source == HeartbeatSource::Agent ? now : now + m_options.relayAllowance;
    const auto it = m_members.find(heartbeat.instance);
    if (it == m_members.end()) {
        m_members.emplace(heartbeat.instance, Member {heartbeat, receivedAt, phaseOf(heartbeat)});
        return std::move(*this);
    }
    Member &member = it->second;
    if (!isNewer(heartbeat, member.lastHeartbeat)) {
        return std::move(*this);
    }
    const bool wasDraining = member.lastHeartbeat.startedAt == heartbeat.startedAt
            && member.lastHeartbeat.isDraining;
    member.lastHeartbeat = heartbeat;
    member.lastHeartbeat.isDraining = heartbeat.isDraining || wasDraining;
    member.receivedAt = receivedAt;
    member.phase = phaseOf(member.lastHeartbeat);
    return std::move(*this);
}

MemberTable MemberTable::advancedTo(Instant now) &&
{
    std::erase_if(m_members, [&](const auto &entry) {
        return now - entry.second.receivedAt >= m_options.removeAfter;
    });
    for (auto &[id, member] : m_members) {
        const bool isOverdue = now - member.receivedAt >= m_options.suspectAfter;
        if (isOverdue && member.phase == MemberPhase::Usable) {
            member.phase = MemberPhase::Suspect;
        }
    }
    std::erase_if(m_drainOrders,
                  [this](const auto &entry) { return !m_members.contains(entry.first); });
    return std::move(*this);
}

MemberTable MemberTable::withLeavingList(const std::set<InstanceId> &leaving, WallTime now) &&
{
    std::erase_if(m_leavingSince,
                  [&](const auto &entry) { return !leaving.contains(entry.first); });
    for (const InstanceId &instance : leaving) {
        m_leavingSince.try_emplace(instance, now);
    }
    updatePhases();
    return std::move(*this);
}

std::vector<LeavingInstance> MemberTable::leavingInstances() const
{
    std::vector<LeavingInstance> instances;
    for (const auto &[instance, since] : m_leavingSince) {
        instances.push_back({instance, since});
    }
    return instances;
}

MemberTable MemberTable::withLeavingInstance(const LeavingInstance &leaving) &&
{
    const auto it = m_leavingSince.find(leaving.instance);
    if (it != m_leavingSince.end() && leaving.since < it->second) {
        it->second = leaving.since;
        updatePhases();
    }
    return std::move(*this);
}

MemberTable MemberTable::withDrainOrder(const DrainOrder &order) &&
{
    DrainOrder &known = m_drainOrders.try_emplace(order.instance, order).first->second;
    known = std::max(known, order);
    updatePhases();
    return std::move(*this);
}

MemberPhase MemberTable::phaseOf(const Heartbeat &heartbeat) const
{
    const auto leaving = m_leavingSince.find(heartbeat.instance);
    const bool isLeaving =
            leaving != m_leavingSince.end() && heartbeat.startedAt <= leaving->second;
    const bool isDraining = heartbeat.isDraining || isLeaving || hasDrainOrder(heartbeat);
    return isDraining ? MemberPhase::Draining : MemberPhase::Usable;
}

/** Recomputes all phases. A suspect member stays suspect until its next heartbeat. */
void MemberTable::updatePhases()
{
    for (auto &[id, member] : m_members) {
        const MemberPhase phase = phaseOf(member.lastHeartbeat);
        if (member.phase != MemberPhase::Suspect || phase == MemberPhase::Draining) {
            member.phase = phase;
        }
    }
}

} // namespace greengageseam
