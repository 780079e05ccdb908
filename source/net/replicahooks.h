/**
 * Hooks through which an agent talks to the backend server on its machine and to the origin of
 * weights.
 */
#pragma once

#include "core/common/errors.h"
#include "core/fleet/pieces.h"
#include "core/fleet/replica.h"
#include "net/mailbox.h"

#include <functional>
#include <memory>
#include <string>

namespace greengageseam {

/** Order to load weights that were staged before. */
struct LoadOrder
{
    ModelName model;
    std::uint64_t version = 0;
    /**
     * Whether running requests are truncated. Otherwise the backend server finishes them before it
     * loads the weights.
     */
    bool truncatesRunning = false;

    auto operator<=>(const LoadOrder &) const = default;
};

/** How the backend server responded to an order. */
enum class OrderResult {
    /** The backend server has started to carry out the order. */
    Started,
    /** The backend server had already loaded these weights. */
    AlreadyInEffect,
    /** The order cannot be carried out in the current state of the backend server. */
    InvalidState,
};

/** Access to the backend server on the machine of an agent. */
struct ReplicaHooks
{
    /** Reads the current state of the backend server. */
    std::function<Awaitable<Outcome<ReplicaReport>>()> readReport;
    /**
     * Reads for how long the backend server stays cold, from its health.
     * @param healthPath path of the health request
     * @returns zero if it is warm; a failure if it did not tell
     */
    std::function<Awaitable<Outcome<Duration>>(std::string healthPath)> readColdLeft;
    /** Sends an order. @returns OutcomeUnknown without a response; it may have been accepted */
    std::function<Awaitable<Outcome<OrderResult>>(LoadOrder order)> sendOrder;
    /** Stages a piece, and replaces one that was staged before under this number. */
    std::function<Awaitable<VoidOutcome>(ModelName model, std::uint32_t number,
                                         std::shared_ptr<const std::string> bytes)>
            stagePiece;
    /** Reads a staged piece. @returns the bytes, or NotFound if the piece is not staged */
    std::function<Awaitable<Outcome<std::string>>(ModelName model, std::uint32_t number)>
            readStaged;
};

/** Access to the origin, from which weights are downloaded first. */
struct WeightOriginHooks
{
    /** Reads the list of pieces. @returns NotFound if the origin no longer has the version */
    std::function<Awaitable<Outcome<PieceList>>(ModelName model, std::uint64_t version)>
            readPieceList;
    /** Downloads a piece. The caller must verify its digest. */
    std::function<Awaitable<Outcome<std::string>>(ModelName model, std::uint64_t version,
                                                  std::uint32_t number)>
            readPiece;
};

/** Hook that creates the access to the origin at an address. */
using OpenOrigin = std::function<WeightOriginHooks(Address address)>;

} // namespace greengageseam
