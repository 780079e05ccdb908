/**
 * Benchmark of membership: bytes per second and CPU time of an agent and an entry by the size of
 * the zone, compared with broadcasting the complete state in every heartbeat.
 */
#pragma once

namespace greengageseam {

/** Prints a JSON line for each zone size and phase. @returns always true */
bool runMembershipBench();

} // namespace greengageseam
