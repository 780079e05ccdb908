/**
 * Benchmark of the time that one routing decision takes.
 */
#pragma once

namespace greengageseam {

/** Prints a JSON line for each policy and fleet size. @returns always true */
bool runRouteBench();

} // namespace greengageseam
