/**
 * Availability of one backend server as seen by one entry: the one place that tells why a backend
 * server gets no requests.
 */
#pragma once

#include "core/common/time.h"
#include "core/routing/backendhealth.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace greengageseam {

/** Why a backend server gets no requests. */
enum class UnavailableCause {
    /** It said in an answer that it leaves; holds for the rest of its incarnation. */
    Leaving,
    /** The list says that it is draining. */
    Draining,
    /** Its requests failed several times in a row. */
    Ejected,
    /** It asked for no requests for some time. */
    Paused,
    /** It rejected a request a moment ago. */
    RecentRejection,
};

/** @returns the name of a cause, as used in logs and metrics */
std::string_view nameOf(UnavailableCause cause);

/** @returns all causes */
std::span<const UnavailableCause> unavailableCauses();

/** Longest pause that a backend server is granted, whatever it asks for. */
constexpr Duration maxReplicaPause = std::chrono::minutes(1);

/**
 * Immutable availability of one incarnation of a backend server. Each step returns a new value.
 * Whether it has the right weights depends on the request and is not part of it.
 */
class ReplicaAvailability
{
public:
    /** @returns the availability after the list has stated whether the server is draining */
    ReplicaAvailability listed(bool isDraining) const;
    /** @returns the availability after the server said that it leaves */
    ReplicaAvailability leaving() const;
    /**
     * @param pause time for which the server wants no requests; at most maxReplicaPause is granted
     * @returns the availability after the server asked for a pause; an earlier one is not shortened
     */
    ReplicaAvailability paused(Instant now, Duration pause) const;
    /** @returns the availability after a rejection, for which no request is sent for some time */
    ReplicaAvailability rejected(Instant now, Duration backoff) const;
    /** @returns the availability after a failed attempt */
    ReplicaAvailability failed(Instant now, const HealthOptions &options) const;
    /** @returns the availability after an answer; it raises the limit after a pause or ejection */
    ReplicaAvailability succeeded(Instant now, const HealthOptions &options) const;
    /** @returns the availability at a later time */
    ReplicaAvailability at(Instant now) const;

    /** @returns the gravest cause for which the server gets no requests; empty if there is none */
    std::optional<UnavailableCause> cause(Instant now) const;
    /**
     * @returns whether the server still counts as one that serves its service. During a pause it
     *     does, with all its slots in use.
     */
    bool isInService(Instant now) const;
    bool isLeaving() const { return m_isLeaving; }
    bool isPaused(Instant now) const { return now < m_pausedUntil; }
    /** @returns the end of the last pause */
    Instant pausedUntil() const { return m_pausedUntil; }
    /** @returns the maximum number of requests in flight from this entry */
    std::uint32_t allowedInFlight(Instant now) const;
    /** @returns whether the server itself has said something that outlasts a gap in the list */
    bool hasStatement() const { return m_isLeaving || m_pausedUntil != Instant(); }

    auto operator<=>(const ReplicaAvailability &) const = default;

private:
    BackendHealth m_health;
    bool m_isDraining = false;
    /** Never reset: a backend server that leaves does not come back in the same incarnation. */
    bool m_isLeaving = false;
    Instant m_pausedUntil;
    Instant m_backoffUntil;
    /** Limit of requests in flight after a pause; doubles with each answer. */
    std::uint32_t m_returnLimit = BackendHealth::unbounded;
};

} // namespace greengageseam
