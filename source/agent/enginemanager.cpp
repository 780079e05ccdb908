#include "agent/enginemanager.h"

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

EngineManager::EngineManager(const asio::any_io_executor &executor, EngineHooks hooks,
                             Address weightSource, Duration pollInterval,
                             MailboxPtr<GateCommand> gate, EngineObserver observer, Log log)
    : m_executor(executor), m_hooks(std::move(hooks)), m_weightSource(std::move(weightSource)),
      m_pollInterval(pollInterval), m_gate(std::move(gate)), m_observer(std::move(observer)),
      m_log(std::move(log)), m_mailbox(makeMailbox<EngineCommand>(executor, mailboxCapacity))
{ }

void EngineManager::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, m_pollInterval, [mailbox = m_mailbox] {
        mailbox->post(EngineTick {});
        return true;
    });
}

Awaitable<void> EngineManager::run()
{
    while (std::optional<EngineCommand> command = co_await m_mailbox->receive()) {
        m_orderLease = m_orderLease.after(OrderLeaseTick {}, monotonicNow());
        if (const auto *assign = std::get_if<AssignVersions>(&*command)) {
            apply(*assign);
        } else if (const auto *complete = std::get_if<CompleteVersionsChanged>(&*command)) {
            apply(*complete);
        } else if (const auto *event = std::get_if<OrderLeaseEvent>(&*command)) {
            apply(*event);
        } else if (const auto *released = std::get_if<VersionReleased>(&*command)) {
            apply(*released);
        } else {
            co_await reconcile();
        }
    }
}

void EngineManager::apply(const AssignVersions &command)
{
    m_assignedVersions = command.manifests;
}

void EngineManager::apply(const CompleteVersionsChanged &command)
{
    m_completeVersions = command.manifests;
}

void EngineManager::apply(const OrderLeaseEvent &command)
{
    m_orderLease = m_orderLease.after(command, monotonicNow());
}

void EngineManager::apply(const VersionReleased &command)
{
    m_isReleased = m_isReleased || m_releasingVersion == command.manifest;
}

/** Sends orders until none is needed. The engine's state is read again after each order. */
Awaitable<void> EngineManager::reconcile()
{
    bool mayContinue = co_await readState();
    while (mayContinue && m_assignedVersions) {
        const OrderContext context {*m_assignedVersions, m_completeVersions, toSet(m_state.serving),
                                    toSet(m_state.loading), m_state.slots};
        NextOrder order = nextOrder(context);
        cancelObsoleteUnload(order);
        mayContinue = order && co_await execute(std::move(order)) && co_await readState();
    }
}

/** Reads the engine's state and publishes it. @returns whether the engine responded */
Awaitable<bool> EngineManager::readState()
{
    const Outcome<EngineState> read = co_await m_hooks.readState();
    const Failure *failure = failureOf(read);
    if (failure != nullptr) {
        m_log.warning("engine.silent", {{"reason", failure->detail}});
    }
    m_state = failure == nullptr ? std::get<EngineState>(read) : EngineState();
    m_gate->post(EngineStateReceived {m_state});
    m_observer(m_state);
    co_return failure == nullptr;
}

/**
 * Sends an order if the order lease permits it. An unload order is sent only after the requests in
 * progress for the version have ended.
 * @returns whether the engine accepted the order
 */
Awaitable<bool> EngineManager::execute(NextOrder order)
{
    const Instant now = monotonicNow();
    m_orderLease = m_orderLease.after(OrderLeaseTick {}, now);
    const OrderPermission permission = m_orderLease.permission(now);
    if (permission != OrderPermission::Granted) {
        if (permission == OrderPermission::CheckLog) {
            m_hooks.requestIncarnationCheck();
        }
        co_return false;
    }
    if (const auto *loading = std::get_if<LoadVersion>(&*order)) {
        Digest manifest = loading->manifest;
        m_gate->post(ReopenVersion {manifest});
        co_return co_await sendOrder(OrderKind::Load, std::move(manifest));
    }
    Digest manifest = std::get<UnloadVersion>(*order).manifest;
    if (!prepareUnload(manifest)) {
        co_return false;
    }
    co_return co_await sendOrder(OrderKind::Unload, std::move(manifest));
}

/**
 * Closes the gate for a version that is to be unloaded. The task does not wait for the requests in
 * progress: a VersionReleased message arrives when they have ended.
 * @returns whether no request in progress uses the version
 */
bool EngineManager::prepareUnload(const Digest &manifest)
{
    if (m_releasingVersion == manifest) {
        return m_isReleased;
    }
    m_releasingVersion = manifest;
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
void EngineManager::cancelObsoleteUnload(const NextOrder &order)
{
    const auto *unloading = order ? std::get_if<UnloadVersion>(&*order) : nullptr;
    const bool isStillUnloading = unloading != nullptr && m_releasingVersion == unloading->manifest;
    if (m_releasingVersion && !isStillUnloading) {
        m_gate->post(ReopenVersion {*m_releasingVersion});
        m_releasingVersion.reset();
    }
}

Awaitable<bool> EngineManager::sendOrder(OrderKind kind, Digest manifest)
{
    EngineOrder order {kind, std::move(manifest), m_orderLease.number(), m_weightSource};
    m_log.info("engine.order",
               {{"order", order.kind == OrderKind::Load ? "load" : "unload"},
                {"manifest", order.manifest.text()},
                {"fence", order.fence.value}});
    const VoidOutcome outcome = co_await m_hooks.sendOrder(std::move(order));
    const Failure *failure = failureOf(outcome);
    if (failure != nullptr) {
        m_log.warning("engine.order-failed", {{"reason", failure->detail}});
    }
    co_return failure == nullptr;
}

} // namespace greengageseam
