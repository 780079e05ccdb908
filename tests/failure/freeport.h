/**
 * Reservation of free ports for the processes of a test.
 */
#pragma once

#include <cstdint>

namespace greengageseam {

/**
 * Binds a free loopback port without listening on it, so that a process started later can listen
 * on it.
 * @param port receives the port
 * @returns the socket, which keeps the port reserved until it is closed
 */
int bindFreePort(std::uint16_t &port);

} // namespace greengageseam
