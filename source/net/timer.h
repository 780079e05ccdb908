/**
 * The timers of tasks. They run on the same clock as monotonicNow(), so that an Instant can be a
 * timer's expiry, and a deadline that passes while the machine is suspended is noticed with the
 * next tick.
 */
#pragma once

#include "net/clock.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace greengageseam {

/** The monotonic time with the `now()` that timers need. */
struct TimerClock : MonotonicTime
{
    using time_point = Instant;

    /** @returns the time of the monotonic clock */
    static Instant now() { return monotonicNow(); }
};

/** A timer that a task waits for. */
using Timer = boost::asio::basic_waitable_timer<TimerClock>;

} // namespace greengageseam
