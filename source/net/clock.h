/**
 * Access to the clocks and the random number generator of the process. The core does not read them
 * itself: it gets times and random numbers as values.
 */
#pragma once

#include "core/common/time.h"

#include <cstdint>
#include <string>

namespace greengageseam {

/**
 * @returns the time of the monotonic clock, which starts at an arbitrary point. It counts the time
 *          for which the machine is suspended, since leases and deadlines elsewhere run on.
 */
Instant monotonicNow();

/** @returns the time of the system clock (UTC), which may jump when the clock is adjusted */
WallTime wallNow();

/** @returns 64 pseudo-random bits; not suitable for cryptographic secrets */
std::uint64_t randomNumber();

/** @returns a globally unique identifier: a version 7 UUID, which contains its creation time */
std::string makeUniqueId();

} // namespace greengageseam
