#include "core/weights/linkratelimiter.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr double burstSeconds = 0.05;
constexpr double minBurstBytes = 65536;
constexpr double yieldFactor = 2;

} // namespace

LinkPace::LinkPace(std::uint64_t bytesPerSecond, Instant now)
    : m_isLimited(bytesPerSecond > 0),
      m_bucket(static_cast<double>(bytesPerSecond),
               std::max(minBurstBytes, static_cast<double>(bytesPerSecond) * burstSeconds), now)
{ }

LinkPace LinkPace::yielding(bool yields) const
{
    LinkPace next = *this;
    next.m_yields = yields;
    return next;
}

LinkPace LinkPace::at(Instant now) const
{
    LinkPace next = *this;
    next.m_bucket = m_bucket.at(now);
    return next;
}

LinkPace LinkPace::taken(std::uint64_t bytes) const
{
    LinkPace next = *this;
    next.m_bucket = m_bucket.taken(static_cast<double>(bytes) * (m_yields ? yieldFactor : 1));
    return next;
}

LinkPace LinkPace::returned(std::uint64_t bytes) const
{
    LinkPace next = *this;
    next.m_bucket = m_bucket.taken(-static_cast<double>(bytes) * (m_yields ? yieldFactor : 1));
    return next;
}

Duration LinkPace::wait() const
{
    return m_isLimited ? m_bucket.waitFor(0) : Duration::zero();
}

} // namespace greengageseam
