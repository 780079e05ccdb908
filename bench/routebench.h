/**
 * Time of one routing decision.
 */
#pragma once

namespace greengageseam {

/** Prints a JSON line for each policy and fleet size. @returns whether the bench could run */
bool runRouteBench();

} // namespace greengageseam
