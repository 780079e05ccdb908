/**
 * The clock of an agent as an entry last heard it, carried back with all that the entry sends.
 *
 * An entry may be paused between two steps, so its own clock can't bound the age of a hand-off.
 * The agent compares the stamp with its own monotonic clock, and with its own start.
 */
#pragma once

#include "core/common/common.h"

namespace greengageseam {

/** What an agent's clock showed when it sent a heartbeat. */
struct AgentTimestamp
{
    /** Start of the agent's process; tells it from a predecessor. */
    WallTime startedAt;
    /** The agent's monotonic clock. */
    Instant clock;

    auto operator<=>(const AgentTimestamp &) const = default;
};

} // namespace greengageseam
