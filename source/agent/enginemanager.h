/**
 * The task that looks after the engine: reads its state, and gives it the orders it needs.
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

/** The versions that the placement gives to this engine. */
struct AssignVersions
{
    std::set<Digest> manifests;
};

/** The versions whose weights are held complete. */
struct CompleteVersionsChanged
{
    std::set<Digest> manifests;
};

/** No request in progress needs a version any more that is to be unloaded. */
struct VersionReleased
{
    Digest manifest;
};

/** Time to look at the engine. */
struct EngineTick
{ };

/** Messages to the keeper. */
using EngineCommand = std::variant<AssignVersions, CompleteVersionsChanged, OrderLeaseEvent,
                                   VersionReleased, EngineTick>;

/** Hook that is told of each state that the engine reports; it must not wait. */
using EngineObserver = std::function<void(const EngineState &state)>;

/** Hook that asks for a read of the log's incarnations; it must not wait. */
using RequestIncarnationCheck = std::function<void()>;

/** How the keeper speaks to the engine and to the log. */
struct EngineHooks
{
    ReadEngineState readState;
    SendOrder sendOrder;
    RequestIncarnationCheck requestIncarnationCheck;
};

/** Looks after one engine. */
class EngineManager : public std::enable_shared_from_this<EngineManager>
{
public:
    /**
     * @param source where the engine reads verified weights
     * @param every time between two looks at the engine
     */
    EngineManager(const asio::any_io_executor &executor, EngineHooks hooks, Address weightSource,
                  Duration pollInterval, MailboxPtr<GateCommand> gate, EngineObserver observer,
                  Log log);

    /** @returns where to send commands */
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
    /** Nothing until the first placement is known: then nothing is loaded or unloaded. */
    std::optional<std::set<Digest>> m_assignedVersions;
    std::set<Digest> m_completeVersions;
    EngineState m_state;
    /** Invariant: no order is given without its permission, asked right before. */
    OrderLease m_orderLease;
    /** The version that takes no new work because it is about to be unloaded. */
    std::optional<Digest> m_releasingVersion;
    bool m_isReleased = false;
};

} // namespace greengageseam
