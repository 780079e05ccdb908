#include "core/once/attemptledger.h"

namespace greengageseam {

AttemptLedger::AttemptLedger(Duration keepFor) : m_keepFor(keepFor) { }

StartVerdict AttemptLedger::start(const AttemptId &attempt, Instant now)
{
    const auto [it, isNew] = m_entries.try_emplace(attempt, Entry {AttemptPhase::Running, now});
    if (isNew) {
        ++m_running;
        return StartVerdict::Start;
    }
    return it->second.phase == AttemptPhase::Tombstone ? StartVerdict::Cancelled
                                                       : StartVerdict::AlreadySeen;
}

void AttemptLedger::end(const AttemptId &attempt, Instant now)
{
    const auto it = m_entries.find(attempt);
    if (it == m_entries.end() || it->second.phase != AttemptPhase::Running) {
        return;
    }
    it->second = Entry {AttemptPhase::Ended, now};
    --m_running;
}

AttemptPhase AttemptLedger::cancel(const AttemptId &attempt, Instant now)
{
    const auto [it, isNew] = m_entries.try_emplace(attempt, Entry {AttemptPhase::Tombstone, now});
    return isNew ? AttemptPhase::Unseen : it->second.phase;
}

void AttemptLedger::expire(Instant now)
{
    std::erase_if(m_entries, [&](const auto &entry) {
        return entry.second.phase != AttemptPhase::Running && now - entry.second.since >= m_keepFor;
    });
}

} // namespace greengageseam
