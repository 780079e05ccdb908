/**
 * Query to an agent for the execution status of an attempt whose response was lost.
 */
#pragma once

#include "entry/router.h"
#include "net/peerlink.h"

#include <functional>

namespace greengageseam {

/**
 * Hook that cancels an attempt and queries whether it was executed.
 * @returns ExecutionStatus::NotExecuted only if the agent guarantees that the attempt was not and
 * will not be executed; Unknown if the agent cannot be reached or does not respond in time
 */
using QueryExecutionStatus =
        std::function<Awaitable<ExecutionStatus>(RouteGrant grant, AttemptId attempt)>;

/**
 * Creates a hook that queries agents over the network.
 *
 * Each query opens a new link to the agent, because the link that carried the attempt may be the
 * part that failed. The number of concurrent queries is limited; beyond the limit the hook returns
 * Unknown at once.
 * @param identity identity of the entry for the link handshake
 */
QueryExecutionStatus makeAttemptQuery(const asio::any_io_executor &executor, PeerIdentity identity,
                                      Log log);

} // namespace greengageseam
