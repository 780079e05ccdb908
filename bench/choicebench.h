/**
 * Compares the policies for the choice of a backend server on the same arrivals.
 */
#pragma once

namespace greengageseam {

/** Prints a JSON line for each policy and arrival trace. @returns whether the bench could run */
bool runChoiceBench();

} // namespace greengageseam
