/**
 * Cost of membership: bytes a second and processor time of an agent and an entry, over the size of
 * a zone, against a broadcast of everything.
 */
#pragma once

namespace greengageseam {

/** Prints a JSON line for each size. @returns whether the bench could run */
bool runMembershipBench();

} // namespace greengageseam
