/**
 * What the way through entry and agent costs against the engine directly.
 */
#pragma once

namespace greengageseam {

/** Prints a JSON line for each case. @returns the exit code */
int runProxyBench();

} // namespace greengageseam
