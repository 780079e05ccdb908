/**
 * Time types of the core. The core never reads a clock: its callers pass the current time, which
 * keeps decisions deterministic and testable.
 */
#pragma once

#include <chrono>

namespace greengageseam {

/** A length of time in microseconds. */
using Duration = std::chrono::microseconds;

/** Monotonic clock of one process. It has no `now()`, so that the core cannot read the time. */
struct MonotonicTime
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    static constexpr bool is_steady = true;
};

/** A point in the monotonic time of one process; not comparable between processes. */
using Instant = std::chrono::time_point<MonotonicTime, Duration>;

/**
 * Calendar clock, in microseconds since 1970-01-01 (UTC). It has no `now()`, so that the core
 * cannot read the time.
 */
struct CalendarTime
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    static constexpr bool is_steady = false;
};

/**
 * A point in calendar time. Used for display, and where clock skew between instances is tolerated
 * (start times of processes, ages of idempotency keys); never to order other events.
 */
using WallTime = std::chrono::time_point<CalendarTime, Duration>;

} // namespace greengageseam
