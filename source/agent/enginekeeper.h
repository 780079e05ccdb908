/**
 * The task that looks after the engine: reads its state, and gives it the orders it needs.
 */
#pragma once

#include "agent/gate.h"
#include "agent/weightkeeper.h"
#include "core/placement/orders.h"
#include "engine/engine.h"
#include "net/log.h"

#include <functional>
#include <memory>
#include <set>
#include <variant>

namespace greengageseam {

/** The versions that the placement gives to this engine. */
struct AssignVersions
{
    std::set<Digest> manifests;
};

/** The versions whose weights are held complete. */
struct WeightsHeld
{
    std::set<Digest> manifests;
};

/** The agent got its fencing number. */
struct FenceGranted
{
    Offset number;
};

/** Time to look at the engine. */
struct EngineTick
{ };

/** Messages to the keeper. */
using EngineCommand = std::variant<AssignVersions, WeightsHeld, FenceGranted, EngineTick>;

/** Hook that is told of each state that the engine reports; it must not wait. */
using EngineObserver = std::function<void(const EngineState &state)>;

/** How the keeper speaks to the engine. */
struct EngineHooks
{
    ReadEngineState readState;
    GiveOrder give;
};

/** Looks after one engine. */
class EngineKeeper : public std::enable_shared_from_this<EngineKeeper>
{
public:
    /**
     * @param source where the engine reads verified weights
     * @param every time between two looks at the engine
     */
    EngineKeeper(const asio::any_io_executor &executor, EngineHooks hooks, Address source,
                 Duration every, MailboxPtr<GateCommand> gate, EngineObserver observer, Log log);

    /** @returns where to send commands */
    const MailboxPtr<EngineCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    Awaitable<void> look();
    Awaitable<void> load(Digest manifest);
    Awaitable<void> unload(Digest manifest);
    Awaitable<void> give(EngineOrder order);

    asio::any_io_executor m_executor;
    EngineHooks m_hooks;
    Address m_source;
    Duration m_every;
    MailboxPtr<GateCommand> m_gate;
    EngineObserver m_observer;
    Log m_log;
    MailboxPtr<EngineCommand> m_mailbox;
    /** Nothing until the first placement is known: then nothing is loaded or unloaded. */
    std::optional<std::set<Digest>> m_assigned;
    std::set<Digest> m_held;
    /** Invariant: no order is given while this is 0. */
    Offset m_fence;
};

} // namespace greengageseam
