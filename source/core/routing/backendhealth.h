/**
 * Outlier ejection of a backend server after consecutive failures, with slow start on its return.
 */
#pragma once

#include "core/common/time.h"

#include <cstdint>
#include <limits>

namespace greengageseam {

/** Options of outlier ejection and of the slow start after it. */
struct HealthOptions
{
    /** Consecutive failures after which a backend server is ejected. */
    std::uint32_t consecutiveFailures = 3;
    /** Duration of the first ejection; each further one lasts twice as long. */
    Duration baseEjectionTime = std::chrono::seconds(1);
    Duration maxEjectionTime = std::chrono::seconds(60);
    /** Number of requests in flight at which a recovering backend server counts as healthy. */
    std::uint32_t recoveredInFlight = 16;

    HealthOptions withConsecutiveFailures(std::uint32_t value) const;
    HealthOptions withBaseEjectionTime(Duration value) const;
    auto operator<=>(const HealthOptions &) const = default;
};

/** Immutable health of one backend server as seen by one entry. Each step returns a new value. */
class BackendHealth
{
public:
    static constexpr std::uint32_t unbounded = std::numeric_limits<std::uint32_t>::max();

    /** @returns the health after a failed attempt; a recovering backend server is ejected again */
    BackendHealth failed(Instant now, const HealthOptions &options) const;
    /** @returns the health after a successful attempt, which doubles the limit during recovery */
    BackendHealth succeeded(const HealthOptions &options) const;
    /** @returns the health at a later time; after an ejection one request in flight is allowed */
    BackendHealth at(Instant now) const;

    /** @returns the maximum number of requests in flight from this entry */
    std::uint32_t allowedInFlight() const { return m_isEjected ? 0 : m_allowedInFlight; }
    bool isEjected() const { return m_isEjected; }
    /** @returns whether it has no failures or ejections on record */
    bool hasNoFailureHistory() const { return *this == BackendHealth(); }

    auto operator<=>(const BackendHealth &) const = default;

private:
    std::uint32_t m_consecutiveFailures = 0;
    /** Number of ejections since it last counted as healthy. */
    std::uint32_t m_ejections = 0;
    bool m_isEjected = false;
    /** Invariant: default-constructed unless the backend server is ejected. */
    Instant m_ejectedUntil;
    std::uint32_t m_allowedInFlight = unbounded;
};

} // namespace greengageseam
