/**
 * Cost of configuration: one step of the fold and its state, over the size of the table.
 */
#pragma once

namespace greengageseam {

/** Prints a JSON line for each size of the table. @returns whether the bench could run */
bool runConfigBench();

} // namespace greengageseam
