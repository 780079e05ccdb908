/**
 * Benchmark of overload: goodput, rejections and time to first token for loads up to and beyond the
 * capacity.
 */
#pragma once

namespace greengageseam {

/**
 * Prints a JSON line for each load.
 * @returns false if the fleet could not be started, or if goodput with early rejection drops by
 *          more than 5 % at four times the capacity
 */
bool runBurstBench();

} // namespace greengageseam
