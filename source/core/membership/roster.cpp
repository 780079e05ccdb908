#include "core/membership/roster.h"

#include <tuple>

namespace greengageseam {

namespace {

bool isNewer(const Heartbeat &left, const Heartbeat &right)
{
    return std::tie(left.startedAt, left.sequence) > std::tie(right.startedAt, right.sequence);
}

} // namespace

RosterOptions RosterOptions::withSuspectAfter(Duration value) const
{
    RosterOptions options = *this;
    options.suspectAfter = value;
    return options;
}

RosterOptions RosterOptions::withForgetAfter(Duration value) const
{
    RosterOptions options = *this;
    options.forgetAfter = value;
    return options;
}

RosterOptions RosterOptions::withRelayAllowance(Duration value) const
{
    RosterOptions options = *this;
    options.relayAllowance = value;
    return options;
}

Roster::Roster(RosterOptions options) : m_options(options) { }

bool Roster::isOrderedToDrain(const Heartbeat &heartbeat) const
{
    const auto order = m_drainOrders.find(heartbeat.instance);
    return order != m_drainOrders.end() && heartbeat.startedAt <= order->second.startedAt;
}

Roster Roster::heard(const Heartbeat &heartbeat, Instant now, HeardFrom from) &&
{
    const Instant heardAt = from == HeardFrom::Agent ? now : now + m_options.relayAllowance;
    const auto it = m_members.find(heartbeat.instance);
    if (it == m_members.end()) {
        m_members.emplace(heartbeat.instance, Member {heartbeat, heardAt, phaseOf(heartbeat)});
        return std::move(*this);
    }
    Member &member = it->second;
    if (!isNewer(heartbeat, member.last)) {
        return std::move(*this);
    }
    const bool wasDraining = member.last.startedAt == heartbeat.startedAt && member.last.isDraining;
    member.last = heartbeat;
    member.last.isDraining = heartbeat.isDraining || wasDraining;
    member.heardAt = heardAt;
    member.phase = phaseOf(member.last);
    return std::move(*this);
}

Roster Roster::at(Instant now) &&
{
    std::erase_if(m_members, [&](const auto &entry) {
        return now - entry.second.heardAt >= m_options.forgetAfter;
    });
    for (auto &[id, member] : m_members) {
        const bool isSilent = now - member.heardAt >= m_options.suspectAfter;
        if (isSilent && member.phase == MemberPhase::Usable) {
            member.phase = MemberPhase::Suspect;
        }
    }
    std::erase_if(m_drainOrders,
                  [this](const auto &entry) { return !m_members.contains(entry.first); });
    return std::move(*this);
}

Roster Roster::listed(const std::set<InstanceId> &leaving, WallTime now) &&
{
    std::erase_if(m_leavingSince,
                  [&](const auto &entry) { return !leaving.contains(entry.first); });
    for (const InstanceId &instance : leaving) {
        m_leavingSince.try_emplace(instance, now);
    }
    updatePhases();
    return std::move(*this);
}

std::vector<LeavingMark> Roster::leavingMarks() const
{
    std::vector<LeavingMark> marks;
    for (const auto &[instance, since] : m_leavingSince) {
        marks.push_back({instance, since});
    }
    return marks;
}

Roster Roster::marked(const LeavingMark &mark) &&
{
    const auto it = m_leavingSince.find(mark.instance);
    if (it != m_leavingSince.end() && mark.since < it->second) {
        it->second = mark.since;
        updatePhases();
    }
    return std::move(*this);
}

Roster Roster::ordered(const DrainOrder &order) &&
{
    DrainOrder &known = m_drainOrders.try_emplace(order.instance, order).first->second;
    known = std::max(known, order);
    updatePhases();
    return std::move(*this);
}

MemberPhase Roster::phaseOf(const Heartbeat &heartbeat) const
{
    const auto leaving = m_leavingSince.find(heartbeat.instance);
    const bool isLeaving =
            leaving != m_leavingSince.end() && heartbeat.startedAt <= leaving->second;
    const bool isDraining = heartbeat.isDraining || isLeaving || isOrderedToDrain(heartbeat);
    return isDraining ? MemberPhase::Draining : MemberPhase::Usable;
}

/** Recomputes all phases. A suspect member stays suspect until its next heartbeat. */
void Roster::updatePhases()
{
    for (auto &[id, member] : m_members) {
        const MemberPhase phase = phaseOf(member.last);
        if (member.phase != MemberPhase::Suspect || phase == MemberPhase::Draining) {
            member.phase = phase;
        }
    }
}

} // namespace greengageseam
