#include "core/routing/tokenbucket.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr double microsecondsPerSecond = 1e6;

} // namespace

TokenBucket::TokenBucket(double perSecond, double burst, Instant now)
    : m_perSecond(perSecond), m_burst(burst), m_level(burst), m_at(now)
{ }

TokenBucket TokenBucket::at(Instant now) const
{
    if (now <= m_at) {
        return *this;
    }
    TokenBucket next = *this;
    const double seconds = static_cast<double>((now - m_at).count()) / microsecondsPerSecond;
    next.m_level = std::min(m_burst, m_level + seconds * m_perSecond);
    next.m_at = now;
    return next;
}

TokenBucket TokenBucket::taken(double amount) const
{
    TokenBucket next = *this;
    next.m_level -= amount;
    return next;
}

TokenBucket TokenBucket::withRate(double perSecond, double burst) const
{
    TokenBucket next = *this;
    next.m_perSecond = perSecond;
    next.m_burst = burst;
    next.m_level = std::min(m_level, burst);
    return next;
}

Duration TokenBucket::waitFor(double amount) const
{
    if (m_level >= amount) {
        return Duration::zero();
    }
    if (m_perSecond <= 0) {
        return Duration::max();
    }
    const double seconds = (amount - m_level) / m_perSecond;
    return Duration(static_cast<Duration::rep>(seconds * microsecondsPerSecond) + 1);
}

} // namespace greengageseam
