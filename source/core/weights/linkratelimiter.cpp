#include "core/weights/linkratelimiter.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr double burstSeconds = 0.05;
constexpr double minBurstBytes = 65536;
constexpr double throttleFactor = 2;

} // namespace

LinkRateLimiter::LinkRateLimiter(std::uint64_t bytesPerSecond, Instant now)
    : m_isLimited(bytesPerSecond > 0),
      m_bucket(static_cast<double>(bytesPerSecond),
               std::max(minBurstBytes, static_cast<double>(bytesPerSecond) * burstSeconds), now)
{ }

LinkRateLimiter LinkRateLimiter::throttled(bool isThrottled) const
{
    LinkRateLimiter next = *this;
    next.m_isThrottled = isThrottled;
    return next;
}

LinkRateLimiter LinkRateLimiter::at(Instant now) const
{
    LinkRateLimiter next = *this;
    next.m_bucket = m_bucket.at(now);
    return next;
}

LinkRateLimiter LinkRateLimiter::consumed(std::uint64_t bytes) const
{
    LinkRateLimiter next = *this;
    next.m_bucket =
            m_bucket.taken(static_cast<double>(bytes) * (m_isThrottled ? throttleFactor : 1));
    return next;
}

LinkRateLimiter LinkRateLimiter::refunded(std::uint64_t bytes) const
{
    LinkRateLimiter next = *this;
    next.m_bucket =
            m_bucket.taken(-static_cast<double>(bytes) * (m_isThrottled ? throttleFactor : 1));
    return next;
}

Duration LinkRateLimiter::waitTime() const
{
    return m_isLimited ? m_bucket.waitFor(0) : Duration::zero();
}

} // namespace greengageseam
