#include "core/once/attemptregistry.h"

#include <algorithm>

namespace greengageseam {

LedgerOptions LedgerOptions::withKeepFor(Duration value) const
{
    LedgerOptions options = *this;
    options.keepFor = value;
    return options;
}

LedgerOptions LedgerOptions::withCapacity(std::size_t value) const
{
    LedgerOptions options = *this;
    options.capacity = value;
    return options;
}

AttemptLedger::AttemptLedger(LedgerOptions options) : m_options(options) { }

StartVerdict AttemptLedger::start(const AttemptId &attempt, Instant stamp, Instant now)
{
    expire(now);
    const auto it = m_phases.find(attempt);
    if (it != m_phases.end()) {
        return it->second == AttemptPhase::Tombstone ? StartVerdict::Cancelled
                                                     : StartVerdict::AlreadySeen;
    }
    if (stamp <= m_forgottenUntil) {
        return StartVerdict::TooOld;
    }
    m_phases.emplace(attempt, AttemptPhase::Running);
    ++m_running;
    return StartVerdict::Start;
}

void AttemptLedger::end(const AttemptId &attempt, Instant now)
{
    const auto it = m_phases.find(attempt);
    if (it == m_phases.end() || it->second != AttemptPhase::Running) {
        return;
    }
    it->second = AttemptPhase::Ended;
    --m_running;
    remember(attempt, now);
}

AttemptPhase AttemptLedger::cancel(const AttemptId &attempt, Instant stamp, Instant now)
{
    expire(now);
    const auto it = m_phases.find(attempt);
    if (it != m_phases.end()) {
        return it->second;
    }
    if (stamp <= m_forgottenUntil) {
        return AttemptPhase::Forgotten;
    }
    m_phases.emplace(attempt, AttemptPhase::Tombstone);
    remember(attempt, now);
    return AttemptPhase::Unseen;
}

void AttemptLedger::expire(Instant now)
{
    while (!m_past.empty() && now - m_past.front().since >= m_options.keepFor) {
        forgetOldest();
    }
}

void AttemptLedger::remember(const AttemptId &attempt, Instant now)
{
    m_past.push_back({now, attempt});
    while (m_past.size() > m_options.capacity) {
        forgetOldest();
    }
}

void AttemptLedger::forgetOldest()
{
    m_forgottenUntil = std::max(m_forgottenUntil, m_past.front().since);
    m_phases.erase(m_past.front().attempt);
    m_past.pop_front();
}

} // namespace greengageseam
