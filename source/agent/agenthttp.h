/**
 * What an agent answers by HTTP: health, metrics, and verified weights for the engine beside it.
 */
#pragma once

#include "agent/placer.h"
#include "agent/weightmanager.h"
#include "net/httpserver.h"
#include "net/metrics.h"

#include <memory>

namespace greengageseam {

/** @returns the hook that answers an agent's HTTP requests */
HttpHandler makeAgentHandler(const asio::any_io_executor &executor,
                             MailboxPtr<WeightCommand> weights, MailboxPtr<PlacerCommand> placer,
                             std::shared_ptr<Metrics> metrics);

} // namespace greengageseam
