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

Roster::Roster(RosterOptions options) : m_options(options) { }

Roster Roster::heard(const Heartbeat &heartbeat, Instant now) const
{
    const auto it = m_members.find(heartbeat.instance);
    if (it != m_members.end() && !isNewer(heartbeat, it->second.last)) {
        return *this;
    }
    const bool isSameProcess =
            it != m_members.end() && it->second.last.startedAt == heartbeat.startedAt;
    const bool wasDraining = isSameProcess && it->second.phase == MemberPhase::Draining;
    Roster next = *this;
    const auto phase =
            heartbeat.isDraining || wasDraining ? MemberPhase::Draining : MemberPhase::Usable;
    next.m_members.insert_or_assign(heartbeat.instance, Member {heartbeat, now, phase});
    return next;
}

Roster Roster::at(Instant now) const
{
    Roster next(m_options);
    for (const auto &[id, member] : m_members) {
        const Duration silence = now - member.heardAt;
        if (silence >= m_options.forgetAfter) {
            continue;
        }
        Member kept = member;
        if (silence >= m_options.suspectAfter && kept.phase == MemberPhase::Usable) {
            kept.phase = MemberPhase::Suspect;
        }
        next.m_members.emplace(id, std::move(kept));
    }
    return next;
}

Roster Roster::leaving(const InstanceId &instance) const
{
    Roster next = *this;
    if (const auto it = next.m_members.find(instance); it != next.m_members.end()) {
        it->second.phase = MemberPhase::Draining;
    }
    return next;
}

} // namespace greengageseam
