/**
 * What becomes of a burst: goodput, refusals and the time to the first token beyond the capacity.
 */
#pragma once

namespace greengageseam {

/** Prints a JSON line for each load. @returns whether the bench could run */
bool runBurstBench();

} // namespace greengageseam
