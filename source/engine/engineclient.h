/**
 * HTTP client for the control interface of a backend server, which is a model engine or a plain
 * service.
 */
#pragma once

#include "core/common/common.h"
#include "net/http.h"
#include "net/httpclient.h"
#include "net/mailbox.h"

#include <functional>
#include <vector>

namespace greengageseam {

/** The state that an engine reports. */
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

/** The kind of an order. */
enum class OrderKind { Load, Unload };

/** An order to an engine. Orders are idempotent. */
struct EngineOrder
{
    OrderKind kind = OrderKind::Load;
    Digest manifest;
    /**
     * Fencing number: the number of the sender's incarnation. Engines that check it reject orders
     * with a lower number than they have seen before.
     */
    Offset fence;
    /** The address from which the engine reads the verified weights, which is its agent's. */
    Address source;

    auto operator<=>(const EngineOrder &) const = default;
};

/** Hook that sends an order. @returns whether the engine accepted it, as EngineClient does */
using SendOrder = std::function<Awaitable<VoidOutcome>(EngineOrder order)>;
/** Hook that reads the state of an engine. */
using ReadEngineState = std::function<Awaitable<Outcome<EngineState>>()>;

/** Reads the state of an engine and sends it orders over HTTP. */
class EngineClient
{
public:
    /** @param timeout the timeout of each request */
    EngineClient(const asio::any_io_executor &executor, Address address, Duration timeout);

    /** @returns the state that the engine reports; BackendFailed if there is no valid response */
    Awaitable<Outcome<EngineState>> readState() const;
    /**
     * Sends an order.
     *
     * @returns success if the engine accepted the order; Forbidden if it rejected the fencing
     *          number; OutcomeUnknown if there was no response, so that the order may have been
     *          accepted; BackendFailed for any other response
     */
    Awaitable<VoidOutcome> sendOrder(EngineOrder order) const;

    /** @returns a hook that calls sendOrder() on a copy of this client */
    SendOrder orderSender() const;
    /** @returns a hook that calls readState() on a copy of this client */
    ReadEngineState stateReader() const;

private:
    asio::any_io_executor m_executor;
    Address m_address;
    Duration m_timeout;
};

/** Name of the request header with the identifier of the attempt. */
extern const std::string attemptIdHeader;
/** Name of the request header with the manifest digest of the version that must serve it. */
extern const std::string manifestHeader;

} // namespace greengageseam
