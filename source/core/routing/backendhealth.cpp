#include "core/routing/backendhealth.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr std::uint32_t maxDoublings = 16;

} // namespace

HealthOptions HealthOptions::withFailuresToEject(std::uint32_t value) const
{
    HealthOptions options = *this;
    options.failuresToEject = value;
    return options;
}

HealthOptions HealthOptions::withFirstEjection(Duration value) const
{
    HealthOptions options = *this;
    options.firstEjection = value;
    return options;
}

BackendHealth BackendHealth::failed(Instant now, const HealthOptions &options) const
{
    BackendHealth next = *this;
    if (m_isEjected) {
        return next;
    }
    ++next.m_failuresInRow;
    const bool isReturning = m_allowance != unbounded;
    if (next.m_failuresInRow < options.failuresToEject && !isReturning) {
        return next;
    }
    const Duration wanted = options.firstEjection * (1U << std::min(m_ejections, maxDoublings));
    next.m_isEjected = true;
    next.m_ejectedUntil = now + std::min(wanted, options.longestEjection);
    next.m_allowance = 1;
    ++next.m_ejections;
    return next;
}

BackendHealth BackendHealth::succeeded(const HealthOptions &options) const
{
    BackendHealth next = *this;
    next.m_failuresInRow = 0;
    if (m_isEjected || m_allowance == unbounded) {
        return next;
    }
    if (m_allowance * 2 >= options.fullAllowance) {
        return {};
    }
    next.m_allowance = m_allowance * 2;
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
    next.m_failuresInRow = 0;
    return next;
}

} // namespace greengageseam
