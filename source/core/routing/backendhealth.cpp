#include "core/routing/backendhealth.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr std::uint32_t maxDoublings = 16;

} // namespace

HealthOptions HealthOptions::withConsecutiveFailures(std::uint32_t value) const
{
    HealthOptions options = *this;
    options.consecutiveFailures = value;
    return options;
}

HealthOptions HealthOptions::withBaseEjectionTime(Duration value) const
{
    HealthOptions options = *this;
    options.baseEjectionTime = value;
    return options;
}

BackendHealth BackendHealth::failed(Instant now, const HealthOptions &options) const
{
    BackendHealth next = *this;
    if (m_isEjected) {
        return next;
    }
    ++next.m_consecutiveFailures;
    const bool isRecovering = m_allowedInFlight != unbounded;
    if (next.m_consecutiveFailures < options.consecutiveFailures && !isRecovering) {
        return next;
    }
    const Duration ejectionTime =
            options.baseEjectionTime * (1U << std::min(m_ejections, maxDoublings));
    next.m_isEjected = true;
    next.m_ejectedUntil = now + std::min(ejectionTime, options.maxEjectionTime);
    next.m_allowedInFlight = 1;
    ++next.m_ejections;
    return next;
}

BackendHealth BackendHealth::succeeded(const HealthOptions &options) const
{
    BackendHealth next = *this;
    next.m_consecutiveFailures = 0;
    if (m_isEjected || m_allowedInFlight == unbounded) {
        return next;
    }
    if (m_allowedInFlight * 2 >= options.recoveredInFlight) {
        return {};
    }
    next.m_allowedInFlight = m_allowedInFlight * 2;
    return next;
}

BackendHealth BackendHealth::at(Instant now) const
{
    if (!m_isEjected || now < m_ejectedUntil) {
        return *this;
    }
    BackendHealth next = *this;
    next.m_isEjected = false;
    next.m_ejectedUntil = Instant();
    next.m_consecutiveFailures = 0;
    return next;
}

} // namespace greengageseam
