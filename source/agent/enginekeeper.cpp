#include "agent/enginekeeper.h"

#include "net/clock.h"
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
        m_duty = m_duty.after(DutyTick {}, monotonicNow());
        if (const auto *assign = std::get_if<AssignVersions>(&*command)) {
            apply(*assign);
        } else if (const auto *held = std::get_if<WeightsHeld>(&*command)) {
            apply(*held);
        } else if (const auto *event = std::get_if<DutyEvent>(&*command)) {
            apply(*event);
        } else if (const auto *released = std::get_if<VersionReleased>(&*command)) {
            apply(*released);
        } else {
            co_await look();
        }
    }
}

void EngineKeeper::apply(const AssignVersions &command)
{
    m_assigned = command.manifests;
}

void EngineKeeper::apply(const WeightsHeld &command)
{
    m_held = command.manifests;
}

void EngineKeeper::apply(const DutyEvent &command)
{
    m_duty = m_duty.after(command, monotonicNow());
}

void EngineKeeper::apply(const VersionReleased &command)
{
    m_isReleased = m_isReleased || m_releasing == command.manifest;
}

/** Sends orders until none is needed. The engine's state is read again after each order. */
Awaitable<void> EngineKeeper::look()
{
    bool hasOrdered = co_await readState();
    while (hasOrdered && m_assigned) {
        const OrderSituation situation {*m_assigned, m_held, toSet(m_state.serving),
                                        toSet(m_state.loading), m_state.slots};
        NextOrder order = nextOrder(situation);
        keepUnlessUnloaded(order);
        hasOrdered = order && co_await carryOut(std::move(order)) && co_await readState();
    }
}

/** Reads the engine's state and publishes it. @returns whether the engine answered */
Awaitable<bool> EngineKeeper::readState()
{
    const Outcome<EngineState> read = co_await m_hooks.readState();
    const Failure *failure = failureOf(read);
    if (failure != nullptr) {
        m_log.warning("engine.silent", {{"reason", failure->detail}});
    }
    m_state = failure == nullptr ? std::get<EngineState>(read) : EngineState();
    m_gate->post(EngineSeen {m_state});
    m_observer(m_state);
    co_return failure == nullptr;
}

/**
 * Sends an order if the order lease permits it. An unload order is sent only after the requests in
 * progress for the version have ended.
 * @returns whether the engine accepted the order
 */
Awaitable<bool> EngineKeeper::carryOut(NextOrder order)
{
    const Instant now = monotonicNow();
    m_duty = m_duty.after(DutyTick {}, now);
    const OrderPermission permission = m_duty.permission(now);
    if (permission != OrderPermission::Granted) {
        if (permission == OrderPermission::CheckLog) {
            m_hooks.askForCheck();
        }
        co_return false;
    }
    if (const auto *loading = std::get_if<LoadVersion>(&*order)) {
        Digest manifest = loading->manifest;
        m_gate->post(ReopenVersion {manifest});
        co_return co_await give(OrderKind::Load, std::move(manifest));
    }
    Digest manifest = std::get<UnloadVersion>(*order).manifest;
    if (!prepareUnload(manifest)) {
        co_return false;
    }
    co_return co_await give(OrderKind::Unload, std::move(manifest));
}

/**
 * Closes the gate for a version that is to be unloaded. The task does not wait for the requests in
 * progress: a VersionReleased message arrives when they have ended.
 * @returns whether no request in progress uses the version
 */
bool EngineKeeper::prepareUnload(const Digest &manifest)
{
    if (m_releasing == manifest) {
        return m_isReleased;
    }
    m_releasing = manifest;
    m_isReleased = false;
    const auto reply = makeMailbox<Released>(m_executor, 1);
    m_gate->post(ReleaseVersion {manifest, reply});
    asio::co_spawn(
            m_executor,
            [reply, manifest, mailbox = m_mailbox]() -> Awaitable<void> {
                co_await reply->receive();
                mailbox->post(VersionReleased {manifest});
            },
            asio::detached);
    return false;
}

/** Reopens the gate for a version that was about to be unloaded and is needed again. */
void EngineKeeper::keepUnlessUnloaded(const NextOrder &order)
{
    const auto *unloading = order ? std::get_if<UnloadVersion>(&*order) : nullptr;
    const bool isStillUnloaded = unloading != nullptr && m_releasing == unloading->manifest;
    if (m_releasing && !isStillUnloaded) {
        m_gate->post(ReopenVersion {*m_releasing});
        m_releasing.reset();
    }
}

Awaitable<bool> EngineKeeper::give(OrderKind kind, Digest manifest)
{
    EngineOrder order {kind, std::move(manifest), m_duty.number(), m_source};
    m_log.info("engine.order",
               {{"order", order.kind == OrderKind::Load ? "load" : "unload"},
                {"manifest", order.manifest.text()},
                {"fence", order.fence.value}});
    const Settled settled = co_await m_hooks.give(std::move(order));
    const Failure *failure = failureOf(settled);
    if (failure != nullptr) {
        m_log.warning("engine.order-failed", {{"reason", failure->detail}});
    }
    co_return failure == nullptr;
}

} // namespace greengageseam
