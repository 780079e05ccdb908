/**
 * The part of WeightInstaller that carries out a step: it stages the pieces, or checks them and
 * sends the order to load them.
 */
#include "net/clock.h"
#include "sidecar/weightinstaller.h"

#include <algorithm>

namespace greengageseam {

namespace {

/**
 * Age of a check, from the start of its first read, at which it no longer permits the order: a
 * piece may have turned bad meanwhile.
 */
constexpr auto maxCheckAge = std::chrono::milliseconds(1500);
/** Number of checks, each made since the one before took too long, after which the step fails. */
constexpr int maxChecks = 3;

} // namespace

Awaitable<void> WeightInstaller::finishStep(std::uint64_t step, VoidOutcome result)
{
    InstallerCommand done = InstallerStepFinished {step, std::move(result)};
    co_await m_mailbox->send(std::move(done));
}

bool WeightInstaller::isCurrent(StepBinding binding) const
{
    return m_report && binding == StepBinding {m_step, m_report->startedAtMs};
}

Awaitable<void> WeightInstaller::stage(StepBinding binding, CompleteVersion version)
{
    const IsStepCurrent isStepCurrent = [this, binding] { return isCurrent(binding); };
    VoidOutcome result = co_await m_staged.stage(version, isStepCurrent);
    co_await finishStep(binding.step, std::move(result));
}

Awaitable<void> WeightInstaller::order(StepBinding binding, CompleteVersion version)
{
    VoidOutcome result = co_await checkAndOrder(binding, version);
    co_await finishStep(binding.step, std::move(result));
}

/** Orders the backend server to load the staged pieces, right after a check of them. */
Awaitable<VoidOutcome> WeightInstaller::checkAndOrder(StepBinding binding, CompleteVersion version)
{
    const bool isRepeat = m_pendingOrder.has_value();
    const IsStepCurrent isStepCurrent = [this, binding] { return isCurrent(binding); };
    for (int i = 0; i < maxChecks; ++i) {
        const Outcome<Instant> checked = co_await m_staged.check(version, isStepCurrent);
        if (const Failure *failure = failureOf(checked)) {
            co_return *failure;
        }
        if (!isCurrent(binding)) {
            co_return Failure {ErrorKind::ChangeConflict, "the step was abandoned"};
        }
        const bool isSettled = isRepeat && !m_pendingOrder;
        if (isSettled) {
            co_return std::monostate();
        }
        const auto checkedAt = std::get<Instant>(checked);
        if (monotonicNow() - checkedAt < maxCheckAge) {
            const VoidOutcome ordered = co_await sendOrder(binding, version, checkedAt);
            co_return ordered;
        }
    }
    co_return Failure {ErrorKind::DeadlineExceeded,
                       "checking the staged pieces took too long to order them"};
}

/** Sends the order, which is pending until an answer or a report settles it. */
Awaitable<VoidOutcome> WeightInstaller::sendOrder(StepBinding binding, CompleteVersion version,
                                                  Instant checkedAt)
{
    const bool isRepeat = m_pendingOrder.has_value();
    if (!isRepeat) {
        m_pendingOrder = PendingOrder {version.version, binding.startedAtMs, m_acceptedOrders};
        m_orderedWeights = version;
    }
    const LoadOrder order {version.model, version.version, m_mayCancelRequests};
    const Duration checkAge = monotonicNow() - checkedAt;
    const Outcome<OrderResult> answer = co_await m_replica.sendOrder(order);
    logOrder(order, checkAge, answer);
    co_return settleOrderByAnswer(answer, binding, isRepeat);
}

void WeightInstaller::logOrder(const LoadOrder &order, Duration checkAge,
                               const Outcome<OrderResult> &answer) const
{
    const Failure *failure = failureOf(answer);
    const bool isUnfit = answer == Outcome<OrderResult>(OrderResult::InvalidState);
    const auto checkAgeMs = std::chrono::duration_cast<std::chrono::milliseconds>(checkAge);
    m_log.info("weights.ordered",
               {{"version", order.version},
                {"cuts", order.truncatesRunning},
                {"running", m_report->running},
                {"checkAgeMs", checkAgeMs.count()},
                {"outcome",
                 failure != nullptr ? failure->detail
                         : isUnfit  ? "unfit"
                                    : "accepted"}});
}

/** @returns the result of the step; the order stays pending if its outcome is unknown */
VoidOutcome WeightInstaller::settleOrderByAnswer(const Outcome<OrderResult> &answer,
                                                 StepBinding binding, bool isRepeat)
{
    const Failure *failure = failureOf(answer);
    const bool isUnanswered = failure != nullptr && failure->kind == ErrorKind::OutcomeUnknown;
    if (isUnanswered) {
        return std::monostate();
    }
    // A repeat that could not be sent says nothing about the order before it.
    const bool isUnsent = failure != nullptr && failure->kind == ErrorKind::NoBackendServer;
    if (isCurrent(binding) && !(isRepeat && isUnsent)) {
        const bool hasStarted =
                failure == nullptr && std::get<OrderResult>(answer) == OrderResult::Started;
        if (hasStarted && m_pendingOrder) {
            m_acceptedOrders = std::max(m_acceptedOrders, m_pendingOrder->acceptedOrders + 1);
        }
        m_pendingOrder.reset();
    }
    if (failure != nullptr) {
        return *failure;
    }
    if (std::get<OrderResult>(answer) == OrderResult::InvalidState) {
        return Failure {ErrorKind::ChangeConflict,
                        "the backend server rejected the order to load in its present state"};
    }
    return std::monostate();
}

} // namespace greengageseam
