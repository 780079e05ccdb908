/**
 * Ejection of a backend server after failures, and its return in steps.
 */
#pragma once

#include "core/common/time.h"

#include <cstdint>
#include <limits>

namespace greengageseam {

/** When a backend server is ejected and how it comes back. */
struct HealthOptions
{
    /** Failures in a row that eject. */
    std::uint32_t consecutiveFailures = 3;
    /** First ejection; each further one lasts twice as long. */
    Duration baseEjectionTime = std::chrono::seconds(1);
    Duration maxEjectionTime = std::chrono::seconds(60);
    /** Requests in progress at which a returning backend server counts as healthy. */
    std::uint32_t recoveredInFlight = 16;

    HealthOptions withConsecutiveFailures(std::uint32_t value) const;
    HealthOptions withBaseEjectionTime(Duration value) const;
    auto operator<=>(const HealthOptions &) const = default;
};

/** Health of one backend server as one entry sees it; a step makes a new value. */
class BackendHealth
{
public:
    static constexpr std::uint32_t unbounded = std::numeric_limits<std::uint32_t>::max();

    /** @returns the health after a failed attempt */
    BackendHealth failed(Instant now, const HealthOptions &options) const;
    /** @returns the health after an answered attempt; a returning one may take twice as many */
    BackendHealth succeeded(const HealthOptions &options) const;
    /** @returns the health at a later time: an ejection that is over leaves room for one request */
    BackendHealth at(Instant now) const;

    /** @returns how many requests it may have in progress from this entry */
    std::uint32_t allowedInFlight() const { return m_isEjected ? 0 : m_allowedInFlight; }
    bool isEjected() const { return m_isEjected; }
    /** @returns whether nothing is held against it */
    bool hasNoFailureHistory() const { return *this == BackendHealth(); }

    auto operator<=>(const BackendHealth &) const = default;

private:
    std::uint32_t m_consecutiveFailures = 0;
    /** Ejections since it last counted as healthy. */
    std::uint32_t m_ejections = 0;
    bool m_isEjected = false;
    /** Invariant: at the epoch unless it is ejected. */
    Instant m_ejectedUntil;
    std::uint32_t m_allowedInFlight = unbounded;
};

} // namespace greengageseam
