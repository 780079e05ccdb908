/**
 * Asks an agent what became of an attempt whose answer was lost.
 */
#pragma once

#include "entry/router.h"
#include "net/peerlink.h"

#include <functional>

namespace greengageseam {

/**
 * Hook that cancels an attempt, and asks whether it ran.
 * @returns No only if the agent is sure that the attempt never ran and never will
 */
using QueryExecutionStatus =
        std::function<Awaitable<ExecutionStatus>(RouteGrant grant, AttemptId attempt)>;

/**
 * @param identity how the entry greets the agent; each question goes over a link of its own,
 * because the link that carried the attempt may be what has failed
 */
QueryExecutionStatus makeAttemptQuery(const asio::any_io_executor &executor, PeerIdentity identity,
                                      Log log);

} // namespace greengageseam
