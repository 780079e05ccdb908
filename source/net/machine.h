/**
 * What the operating system grants to this process.
 */
#pragma once

#include "core/fleet/memorybudget.h"

namespace greengageseam {

/**
 * Reads the limits of the machine.
 * @returns half of the machine's memory, and the soft limit of open file descriptors
 */
ProcessLimits machineLimits();

/**
 * Lets large allocations return to the system as soon as they are freed. By default, the C library
 * keeps those below a threshold, which grows with the first large one that is freed.
 */
void mapLargeAllocations();

} // namespace greengageseam
