#include "core/fleet/replicaavailability.h"

#include <algorithm>
#include <array>

namespace greengageseam {

namespace {

constexpr std::array allCauses {UnavailableCause::Leaving, UnavailableCause::Draining,
                                UnavailableCause::Ejected, UnavailableCause::Paused,
                                UnavailableCause::RecentRejection};

} // namespace

std::string_view nameOf(UnavailableCause cause)
{
    switch (cause) {
    case UnavailableCause::Leaving:
        return "leaving";
    case UnavailableCause::Draining:
        return "draining";
    case UnavailableCause::Ejected:
        return "ejected";
    case UnavailableCause::Paused:
        return "paused";
    case UnavailableCause::RecentRejection:
        break;
    }
    return "recent-rejection";
}

std::span<const UnavailableCause> unavailableCauses()
{
    return allCauses;
}

ReplicaAvailability ReplicaAvailability::listed(bool isDraining) const
{
    ReplicaAvailability next = *this;
    next.m_isDraining = isDraining;
    return next;
}

ReplicaAvailability ReplicaAvailability::leaving() const
{
    ReplicaAvailability next = *this;
    next.m_isLeaving = true;
    return next;
}

ReplicaAvailability ReplicaAvailability::paused(Instant now, Duration pause) const
{
    if (pause <= Duration::zero()) {
        return *this;
    }
    ReplicaAvailability next = *this;
    next.m_pausedUntil = std::max(m_pausedUntil, now + std::min(pause, maxReplicaPause));
    next.m_returnLimit = 1;
    return next;
}

ReplicaAvailability ReplicaAvailability::rejected(Instant now, Duration backoff) const
{
    ReplicaAvailability next = *this;
    next.m_backoffUntil = std::max(m_backoffUntil, now + backoff);
    return next;
}

ReplicaAvailability ReplicaAvailability::failed(Instant now, const HealthOptions &options) const
{
    ReplicaAvailability next = *this;
    next.m_health = m_health.failed(now, options);
    return next;
}

ReplicaAvailability ReplicaAvailability::succeeded(Instant now, const HealthOptions &options) const
{
    ReplicaAvailability next = *this;
    next.m_health = m_health.succeeded(options);
    // Answers during the pause are to requests from before it and say nothing about its end.
    if (isPaused(now) || m_returnLimit == BackendHealth::unbounded) {
        return next;
    }
    const bool isBack = m_returnLimit * 2 >= options.recoveredInFlight;
    next.m_returnLimit = isBack ? BackendHealth::unbounded : m_returnLimit * 2;
    return next;
}

ReplicaAvailability ReplicaAvailability::at(Instant now) const
{
    ReplicaAvailability next = *this;
    next.m_health = m_health.at(now);
    return next;
}

std::optional<UnavailableCause> ReplicaAvailability::cause(Instant now) const
{
    if (m_isLeaving) {
        return UnavailableCause::Leaving;
    }
    if (m_isDraining) {
        return UnavailableCause::Draining;
    }
    if (m_health.at(now).isEjected()) {
        return UnavailableCause::Ejected;
    }
    if (isPaused(now)) {
        return UnavailableCause::Paused;
    }
    return now < m_backoffUntil ? std::optional(UnavailableCause::RecentRejection) : std::nullopt;
}

bool ReplicaAvailability::isInService(Instant now) const
{
    const auto why = cause(now);
    return !why || why == UnavailableCause::Paused || why == UnavailableCause::RecentRejection;
}

std::uint32_t ReplicaAvailability::allowedInFlight(Instant now) const
{
    return cause(now) ? 0 : std::min(m_returnLimit, m_health.at(now).allowedInFlight());
}

} // namespace greengageseam
