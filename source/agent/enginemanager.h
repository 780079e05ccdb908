/**
 * The task that manages the engine: it polls the engine's state, and sends orders to load and
 * unload model versions until the engine serves the versions that are assigned to it.
 */
#pragma once

#include "agent/gate.h"
#include "agent/weightmanager.h"
#include "core/placement/placement.h"
#include "engine/engine.h"
#include "net/log.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <variant>

namespace greengageseam {

/** Sets the versions that the placement assigns to this engine. */
struct AssignVersions
{
    std::set<Digest> manifests;
};

/** The set of versions whose weights are stored completely has changed. */
struct CompleteVersionsChanged
{
    std::set<Digest> manifests;
};

/** No request in progress uses the version that is to be unloaded. */
struct VersionReleased
{
    Digest manifest;
};

/** Triggers a read of the engine's state. */
struct EngineTick
{ };

/** Messages to the task. */
using EngineCommand = std::variant<AssignVersions, CompleteVersionsChanged, OrderLeaseEvent,
                                   VersionReleased, EngineTick>;

/** Hook that is called with each state that the engine reports. It must not block. */
using EngineObserver = std::function<void(const EngineState &state)>;

/** Hook that requests a read of the incarnations in the log. It must not block. */
using RequestIncarnationCheck = std::function<void()>;

/** Hooks through which the task accesses the engine and the log. */
struct EngineHooks
{
    ReadEngineState readState;
    SendOrder sendOrder;
    RequestIncarnationCheck requestIncarnationCheck;
};

/** Manages one engine. */
class EngineManager : public std::enable_shared_from_this<EngineManager>
{
public:
    /**
     * @param executor runs the task
     * @param hooks access to the engine and the log
     * @param weightSource HTTP address from which the engine reads verified weights
     * @param pollInterval interval between reads of the engine's state
     * @param gate mailbox of the Gate, which stops admitting requests for a version to be unloaded
     * @param observer called with each state of the engine
     * @param log logger of the agent
     */
    EngineManager(const asio::any_io_executor &executor, EngineHooks hooks, Address weightSource,
                  Duration pollInterval, MailboxPtr<GateCommand> gate, EngineObserver observer,
                  Log log);

    /** @returns the mailbox for commands to this task */
    const MailboxPtr<EngineCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    void apply(const AssignVersions &command);
    void apply(const CompleteVersionsChanged &command);
    void apply(const OrderLeaseEvent &command);
    void apply(const VersionReleased &command);
    Awaitable<void> reconcile();
    Awaitable<bool> readState();
    Awaitable<bool> execute(NextOrder order);
    bool prepareUnload(const Digest &manifest);
    void cancelObsoleteUnload(const NextOrder &order);
    Awaitable<bool> sendOrder(OrderKind kind, Digest manifest);

    asio::any_io_executor m_executor;
    EngineHooks m_hooks;
    Address m_weightSource;
    Duration m_pollInterval;
    MailboxPtr<GateCommand> m_gate;
    EngineObserver m_observer;
    Log m_log;
    MailboxPtr<EngineCommand> m_mailbox;
    /** Empty until the first placement arrives; until then nothing is loaded or unloaded. */
    std::optional<std::set<Digest>> m_assignedVersions;
    std::set<Digest> m_completeVersions;
    EngineState m_state;
    /** Invariant: each order is sent only with a permission obtained immediately before. */
    OrderLease m_orderLease;
    /** The version that admits no new requests because it is about to be unloaded. */
    std::optional<Digest> m_releasingVersion;
    bool m_isReleased = false;
};

} // namespace greengageseam
