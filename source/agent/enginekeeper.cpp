#include "agent/enginekeeper.h"

#include "net/ticker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 256;

std::set<Digest> toSet(const std::vector<Digest> &digests)
{
    return {digests.begin(), digests.end()};
}

} // namespace

EngineKeeper::EngineKeeper(const asio::any_io_executor &executor, EngineHooks hooks, Address source,
                           Duration every, MailboxPtr<GateCommand> gate, EngineObserver observer,
                           Log log)
    : m_executor(executor), m_hooks(std::move(hooks)), m_source(std::move(source)), m_every(every),
      m_gate(std::move(gate)), m_observer(std::move(observer)), m_log(std::move(log)),
      m_mailbox(makeMailbox<EngineCommand>(executor, mailboxCapacity))
{ }

void EngineKeeper::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, m_every, [mailbox = m_mailbox] {
        mailbox->post(EngineTick {});
        return true;
    });
}

Awaitable<void> EngineKeeper::run()
{
    while (std::optional<EngineCommand> command = co_await m_mailbox->receive()) {
        if (const auto *assign = std::get_if<AssignVersions>(&*command)) {
            m_assigned = assign->manifests;
        } else if (const auto *held = std::get_if<WeightsHeld>(&*command)) {
            m_held = held->manifests;
        } else if (const auto *fence = std::get_if<FenceGranted>(&*command)) {
            m_fence = fence->number;
        } else {
            co_await look();
        }
    }
}

Awaitable<void> EngineKeeper::look()
{
    const Outcome<EngineState> read = co_await m_hooks.readState();
    if (const Failure *failure = failureOf(read)) {
        m_log.warning("engine.silent", {{"reason", failure->detail}});
        const EngineState none;
        m_gate->post(EngineSeen {none});
        m_observer(none);
        co_return;
    }
    const auto &state = std::get<EngineState>(read);
    m_gate->post(EngineSeen {state});
    m_observer(state);
    if (m_fence.value == 0 || !m_assigned) {
        co_return;
    }
    const OrderSituation situation {*m_assigned, m_held, toSet(state.serving), toSet(state.loading),
                                    state.slots};
    const NextOrder order = nextOrder(situation);
    if (!order) {
        co_return;
    }
    if (const auto *loading = std::get_if<LoadVersion>(&*order)) {
        co_await load(loading->manifest);
    } else {
        co_await unload(std::get<UnloadVersion>(*order).manifest);
    }
}

Awaitable<void> EngineKeeper::load(Digest manifest)
{
    m_gate->post(ReopenVersion {manifest});
    EngineOrder order {OrderKind::Load, manifest, m_fence, m_source};
    co_await give(std::move(order));
}

Awaitable<void> EngineKeeper::unload(Digest manifest)
{
    const auto reply = makeMailbox<Released>(m_executor, 1);
    m_gate->post(ReleaseVersion {manifest, reply});
    co_await reply->receive();
    EngineOrder order {OrderKind::Unload, manifest, m_fence, m_source};
    co_await give(std::move(order));
}

Awaitable<void> EngineKeeper::give(EngineOrder order)
{
    m_log.info("engine.order",
               {{"order", order.kind == OrderKind::Load ? "load" : "unload"},
                {"manifest", order.manifest.text()},
                {"fence", order.fence.value}});
    const Settled settled = co_await m_hooks.give(order);
    if (const Failure *failure = failureOf(settled)) {
        m_log.warning("engine.order-failed", {{"reason", failure->detail}});
    }
}

} // namespace greengageseam
