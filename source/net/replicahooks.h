/**
 * Hooks by which an agent deals with the backend server beside it and with the origin of weights.
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

/** Order to load the weights that are staged. */
struct LoadOrder
{
    ModelName model;
    std::uint64_t version = 0;
    /** What runs is cut off; otherwise the backend server ends it first. */
    bool truncatesRunning = false;

    auto operator<=>(const LoadOrder &) const = default;
};

/** What became of an order. */
enum class OrderResult {
    /** The backend server carries it out. */
    Started,
    /** It was in effect before. */
    AlreadyInEffect,
    /** It does not fit the state of the backend server. */
    InvalidState,
};

/** The backend server beside an agent. */
struct ReplicaHooks
{
    std::function<Awaitable<Outcome<ReplicaReport>>()> readReport;
    /** OutcomeUnknown if there is no answer: the order may have been accepted. */
    std::function<Awaitable<Outcome<OrderResult>>(LoadOrder order)> sendOrder;
    /** Stages a piece, in place of what stood there. */
    std::function<Awaitable<VoidOutcome>(ModelName model, std::uint32_t number,
                                         std::shared_ptr<const std::string> bytes)>
            stagePiece;
    /** Reads a staged piece. @returns NotFound if there is none */
    std::function<Awaitable<Outcome<std::string>>(ModelName model, std::uint32_t number)>
            readStaged;
};

/** The origin of weights. */
struct WeightOriginHooks
{
    /** @returns NotFound if the version is not to be had any more */
    std::function<Awaitable<Outcome<PieceList>>(ModelName model, std::uint64_t version)>
            readPieceList;
    /** Reads a piece, not verified yet. */
    std::function<Awaitable<Outcome<std::string>>(ModelName model, std::uint64_t version,
                                                  std::uint32_t number)>
            readPiece;
};

/** Hook that makes the hooks of the origin at an address. */
using OpenOrigin = std::function<WeightOriginHooks(Address address)>;

} // namespace greengageseam
