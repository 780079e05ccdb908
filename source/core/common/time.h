/**
 * Time as the core sees it: values that are handed in, never read from a clock.
 */
#pragma once

#include <chrono>

namespace greengageseam {

/** Length of time; the core counts in microseconds. */
using Duration = std::chrono::microseconds;

/** Tag of the monotonic time of one process; it has no `now()` on purpose. */
struct MonotonicTime
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    static constexpr bool is_steady = true;
};

/** Point in the monotonic time of one process. */
using Instant = std::chrono::time_point<MonotonicTime, Duration>;

/** Tag of calendar time, in microseconds since 1970 (UTC); it has no `now()` on purpose. */
struct CalendarTime
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    static constexpr bool is_steady = false;
};

/** Point in calendar time. Used for what people read, never to decide an order of events. */
using WallTime = std::chrono::time_point<CalendarTime, Duration>;

} // namespace greengageseam
