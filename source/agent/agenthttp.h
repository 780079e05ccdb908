/**
 * HTTP endpoints of an agent: health, readiness, metrics, and verified weights for its engine.
 */
#pragma once

#include "agent/placer.h"
#include "agent/weightmanager.h"
#include "net/httpserver.h"

#include <functional>
#include <string>

namespace greengageseam {

/**
 * Makes the handler of the agent's HTTP server.
 * @param executor runs the mailboxes that replies arrive in
 * @param weights mailbox of the WeightManager, which provides manifests and chunks
 * @param placer mailbox of the Placer, which decides on readiness
 * @param metricsText makes the text that is served at /metrics
 * @returns the handler, which owns no state besides these references
 */
HttpHandler makeAgentHandler(const asio::any_io_executor &executor,
                             MailboxPtr<WeightCommand> weights, MailboxPtr<PlacerCommand> placer,
                             std::function<std::string()> metricsText);

} // namespace greengageseam
