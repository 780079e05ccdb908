/**
 * Benchmark of the latency that an entry and an agent add to direct requests to the engine.
 */
#pragma once

namespace greengageseam {

/** Prints a JSON line for each number of concurrent callers. @returns the exit code */
int runProxyBench();

} // namespace greengageseam
