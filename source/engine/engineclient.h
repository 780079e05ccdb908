/**
 * Client of a backend server: a model engine or a plain service.
 */
#pragma once

#include "core/common/common.h"
#include "net/http.h"
#include "net/httpclient.h"
#include "net/mailbox.h"

#include <functional>
#include <vector>

namespace greengageseam {

/** What an engine reports of itself. */
struct EngineState
{
    /** Manifests that the engine serves. */
    std::vector<Digest> serving;
    /** Manifests that the engine is loading. */
    std::vector<Digest> loading;
    std::uint32_t slots = 1;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;

    auto operator<=>(const EngineState &) const = default;
};

/** What an engine is told to do. */
enum class OrderKind { Load, Unload };

/** An order; giving it again changes nothing. */
struct EngineOrder
{
    OrderKind kind = OrderKind::Load;
    Digest manifest;
    /** Number of the giver's incarnation; engines that check it refuse a lower one. */
    Offset fence;
    /** Where the engine gets the verified weights: the agent beside it. */
    Address source;

    auto operator<=>(const EngineOrder &) const = default;
};

/** Hook that gives an order. @returns whether the engine took it */
using SendOrder = std::function<Awaitable<VoidOutcome>(EngineOrder order)>;
/** Hook that reads an engine's state. */
using ReadEngineState = std::function<Awaitable<Outcome<EngineState>>()>;

/** Speaks to an engine over HTTP. */
class EngineClient
{
public:
    /** @param limit time for one order or report */
    EngineClient(const asio::any_io_executor &executor, Address address, Duration timeout);

    /** @returns the engine's own account of its state */
    Awaitable<Outcome<EngineState>> readState() const;
    /** Gives an order. @returns Forbidden if the engine refused the fencing number */
    Awaitable<VoidOutcome> sendOrder(EngineOrder order) const;

    /** @returns give() as a hook */
    SendOrder orderSender() const;
    /** @returns readState() as a hook */
    ReadEngineState stateReader() const;

private:
    asio::any_io_executor m_executor;
    Address m_address;
    Duration m_timeout;
};

/** Name of the header that tells an engine which version has to serve a request. */
extern const std::string manifestHeader;

} // namespace greengageseam
