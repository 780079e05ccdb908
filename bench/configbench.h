/**
 * Benchmark of the configuration: time to apply a change, and memory and snapshot size of the
 * state, by the size of the table.
 */
#pragma once

namespace greengageseam {

/** Prints a JSON line for each size of the table. @returns always true */
bool runConfigBench();

} // namespace greengageseam
