/**
 * The clock of an agent from its last heartbeat, which the entry returns with each message to it.
 *
 * An entry may be paused between two steps, so its own clock cannot bound the age of a hand-off.
 * The agent compares the timestamp with its own monotonic clock and with its own start.
 */
#pragma once

#include "core/common/common.h"

namespace greengageseam {

/** Time on the agent's clock at which it sent a heartbeat. */
struct AgentTimestamp
{
    /** Start of the agent's process; distinguishes it from a predecessor. */
    WallTime startedAt;
    /** The agent's monotonic clock. */
    Instant clock;

    auto operator<=>(const AgentTimestamp &) const = default;
};

} // namespace greengageseam
