#include "core/once/attemptregistry.h"

#include <algorithm>

namespace greengageseam {

AttemptRegistryOptions AttemptRegistryOptions::withRetention(Duration value) const
{
    AttemptRegistryOptions options = *this;
    options.retention = value;
    return options;
}

AttemptRegistryOptions AttemptRegistryOptions::withCapacity(std::size_t value) const
{
    AttemptRegistryOptions options = *this;
    options.capacity = value;
    return options;
}

AttemptRegistry::AttemptRegistry(AttemptRegistryOptions options) : m_options(options) { }

StartResult AttemptRegistry::start(const AttemptId &attempt, Instant agentClock, Instant now)
{
    expire(now);
    const auto it = m_phases.find(attempt);
    if (it != m_phases.end()) {
        return it->second == AttemptPhase::Tombstone ? StartResult::Cancelled
                                                     : StartResult::AlreadySeen;
    }
    if (agentClock <= m_evictedUntil) {
        return StartResult::TooOld;
    }
    m_phases.emplace(attempt, AttemptPhase::Running);
    ++m_running;
    return StartResult::Start;
}

void AttemptRegistry::finish(const AttemptId &attempt, Instant now)
{
    const auto it = m_phases.find(attempt);
    if (it == m_phases.end() || it->second != AttemptPhase::Running) {
        return;
    }
    it->second = AttemptPhase::Finished;
    --m_running;
    recordFinished(attempt, now);
}

AttemptPhase AttemptRegistry::cancel(const AttemptId &attempt, Instant agentClock, Instant now)
{
    expire(now);
    const auto it = m_phases.find(attempt);
    if (it != m_phases.end()) {
        return it->second;
    }
    if (agentClock <= m_evictedUntil) {
        return AttemptPhase::Evicted;
    }
    m_phases.emplace(attempt, AttemptPhase::Tombstone);
    recordFinished(attempt, now);
    return AttemptPhase::Unseen;
}

void AttemptRegistry::expire(Instant now)
{
    while (!m_finished.empty() && now - m_finished.front().finishedAt >= m_options.retention) {
        evictOldest();
    }
}

void AttemptRegistry::recordFinished(const AttemptId &attempt, Instant now)
{
    m_finished.push_back({now, attempt});
    while (m_finished.size() > m_options.capacity) {
        evictOldest();
    }
}

void AttemptRegistry::evictOldest()
{
    m_evictedUntil = std::max(m_evictedUntil, m_finished.front().finishedAt);
    m_phases.erase(m_finished.front().attempt);
    m_finished.pop_front();
}

} // namespace greengageseam
