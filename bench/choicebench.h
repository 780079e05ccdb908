/**
 * Benchmark that compares policies for choosing a backend server on the same arrival traces.
 */
#pragma once

namespace greengageseam {

/** Prints a JSON line for each policy and arrival trace. @returns always true */
bool runChoiceBench();

} // namespace greengageseam
