/**
 * The clocks and the random device of a process, read here and handed to the core as values.
 */
#pragma once

#include "core/common/time.h"

#include <cstdint>
#include <string>

namespace greengageseam {

/** @returns the monotonic time of this process */
Instant monotonicNow();

/** @returns calendar time */
WallTime wallNow();

/** @returns 64 random bits, not meant for secrets */
std::uint64_t randomNumber();

/** @returns an identifier that nobody else has: a UUID of version 7, which carries its time */
std::string makeUniqueId();

} // namespace greengageseam
