#include "sidecar/weightinstaller.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 256;
constexpr auto tickPeriod = std::chrono::milliseconds(100);
constexpr auto retryAfterFailure = std::chrono::milliseconds(250);
/** Delays before the list of backend servers is read again after a failure; they double. */
constexpr auto initialMembersRetry = std::chrono::milliseconds(250);
constexpr auto maxMembersRetry = std::chrono::milliseconds(1000);
/** Time after which an order without visible effect is sent again. */
constexpr auto orderTimeout = std::chrono::milliseconds(1500);
constexpr std::array<std::string_view, 6> stageNames {"idle",    "staging",  "staged",
                                                      "leaving", "ordering", "ordered"};

std::string_view stageName(std::size_t stage)
{
    return stageNames.at(stage);
}

} // namespace

WeightInstaller::WeightInstaller(const asio::any_io_executor &executor, InstallerOptions options,
                                 ReplicaHooks replica, MailboxPtr<WeightCommand> weights,
                                 ReadReplicas readReplicas, DrainStateObserver drainObserver,
                                 Log log)
    : m_executor(executor), m_options(std::move(options)), m_replica(std::move(replica)),
      m_staged(executor, m_replica, std::move(weights), log),
      m_readReplicas(std::move(readReplicas)), m_drainObserver(std::move(drainObserver)),
      m_log(std::move(log)), m_mailbox(makeMailbox<InstallerCommand>(executor, mailboxCapacity))
{ }

void WeightInstaller::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, tickPeriod, [mailbox = m_mailbox] {
        mailbox->post(InstallerTick {});
        return mailbox->isOpen();
    });
}

Awaitable<void> WeightInstaller::run()
{
    while (std::optional<InstallerCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void WeightInstaller::apply(const InstallerTargetVersionChanged &command)
{
    const bool isNew = m_announcedAt.emplace(command.version, command.announcedAt).second;
    if (isNew) {
        asio::co_spawn(
                m_executor,
                [self = shared_from_this(), at = command.announcedAt, readId = ++m_membersRead] {
                    return self->readMembers(readId, at);
                },
                asio::detached);
    }
}

/** Reads the members until a read succeeds, a newer one starts, or the last slot has passed. */
Awaitable<void> WeightInstaller::readMembers(std::uint64_t readId, Instant announcedAt)
{
    const Instant end = announcedAt + m_options.rollout.lastStart;
    Duration delay = initialMembersRetry;
    while (readId == m_membersRead) {
        const Outcome<std::vector<ReplicaEntry>> read = co_await m_readReplicas();
        const Failure *failure = failureOf(read);
        if (failure == nullptr) {
            InstallerCommand command = membersIn(std::get<std::vector<ReplicaEntry>>(read));
            co_await m_mailbox->send(std::move(command));
            co_return;
        }
        m_log.warning("weights.members-unknown", {{"reason", failure->detail}});
        if (monotonicNow() + delay >= end) {
            co_return;
        }
        Timer timer(m_executor, delay);
        co_await timer.async_wait(asTuple);
        delay = std::min<Duration>(delay * 2, maxMembersRetry);
    }
}

/** @returns the agents of the backend servers in the list that run the same weights */
InstallerMembersChanged WeightInstaller::membersIn(const std::vector<ReplicaEntry> &list) const
{
    InstallerMembersChanged changed;
    for (const ReplicaEntry &entry : list) {
        if (entry.service == m_options.service) {
            changed.members.push_back(agentOfBackend(entry.address));
        }
    }
    return changed;
}

void WeightInstaller::apply(const InstallerMembersChanged &command)
{
    m_members = command.members;
}

void WeightInstaller::apply(const InstallerCancelPolicyChanged &command)
{
    m_mayCancelRequests = command.mayCancelRequests;
}

void WeightInstaller::apply(const CompleteVersion &command)
{
    if (!m_newestComplete || m_newestComplete->version < command.version) {
        m_newestComplete = command;
    }
    advance();
}

void WeightInstaller::apply(const InstallerReportReceived &command)
{
    const bool isRestart = m_report && command.report.startedAtMs != m_report->startedAtMs;
    m_report = command.report;
    settleOrderBy(*m_report, isRestart);
    if (isRestart) {
        m_log.info("replica.restarted", {{"born", m_report->startedAtMs}});
        reset("the backend server has restarted");
    }
    advance();
}

void WeightInstaller::settleOrderBy(const ReplicaReport &report, bool isRestart)
{
    m_acceptedOrders =
            isRestart ? report.acceptedOrders : std::max(m_acceptedOrders, report.acceptedOrders);
    if (m_pendingOrder && m_pendingOrder->isSettledBy(report)) {
        m_pendingOrder.reset();
        notifyDraining();
    }
}

void WeightInstaller::apply(const InstallerStepFinished &command)
{
    m_isStepRunning = false;
    if (command.step != m_step) {
        advance();
        return;
    }
    if (const Failure *failure = failureOf(command.result)) {
        m_log.warning("weights.step-failed",
                      {{"version", m_stageVersion},
                       {"stage", stageName(static_cast<std::size_t>(m_stage))},
                       {"reason", failure->detail}});
        reset(failure->detail);
        m_retryAt = monotonicNow() + retryAfterFailure;
        return;
    }
    enterStage(m_stage == Stage::Staging ? Stage::Staged : Stage::Ordered);
    advance();
}

void WeightInstaller::apply(const InstallerTick &)
{
    advance();
}

void WeightInstaller::enterStage(Stage stage)
{
    m_stage = stage;
    m_stageSince = monotonicNow();
    m_log.info(
            "weights.stage",
            {{"version", m_stageVersion}, {"stage", stageName(static_cast<std::size_t>(stage))}});
    notifyDraining();
}

void WeightInstaller::notifyDraining()
{
    const bool isDraining = m_stage == Stage::Draining || m_stage == Stage::Ordering
            || m_stage == Stage::Ordered || m_pendingOrder.has_value();
    if (isDraining != m_isDraining) {
        m_isDraining = isDraining;
        m_drainObserver(isDraining);
    }
}

void WeightInstaller::reset(std::string_view reason)
{
    if (m_stage != Stage::Idle) {
        m_log.info("weights.restart", {{"version", m_stageVersion}, {"reason", reason}});
    }
    ++m_step;
    m_stage = Stage::Idle;
    notifyDraining();
}

/** Ends a version that is loaded, and goes on with the newest complete one. */
void WeightInstaller::advance()
{
    const Instant now = monotonicNow();
    if (!m_report || !m_newestComplete || now < m_retryAt) {
        return;
    }
    const std::uint64_t loaded = m_report->loaded.runnableVersion();
    if (m_stage == Stage::Ordered && loaded == m_stageVersion && !m_report->hasOrderInProgress) {
        m_log.info("weights.loaded", {{"version", m_stageVersion}});
        reset("done");
    }
    if (loaded >= m_newestComplete->version) {
        return;
    }
    turnToNewestComplete();
    if (!m_isStepRunning) {
        startNextStep(now);
    }
}

/** Abandons an older version, unless its order was sent. */
void WeightInstaller::turnToNewestComplete()
{
    const bool isReplaceable = !m_pendingOrder
            && (m_stage == Stage::Idle || m_stage == Stage::Staging || m_stage == Stage::Staged
                || m_stage == Stage::Draining);
    if (m_stageVersion != m_newestComplete->version && isReplaceable) {
        reset("a newer version is complete");
        m_stageVersion = m_newestComplete->version;
    }
}

/** Starts the step that follows the current stage if its conditions are met. */
void WeightInstaller::startNextStep(Instant now)
{
    switch (m_stage) {
    case Stage::Idle:
        if (!m_pendingOrder) {
            startStep(Stage::Staging);
        } else if (!m_report->hasOrderInProgress) {
            startStep(Stage::Ordering);
        }
        break;
    case Stage::Staged:
        if (!m_report->hasOrderInProgress && isRolloutSlotReached(now)) {
            drainOrLoad(now);
        }
        break;
    case Stage::Draining:
        drainOrLoad(now);
        break;
    case Stage::Ordered:
        if (m_report->hasOrderInProgress || now - m_stageSince <= orderTimeout) {
            break;
        }
        if (m_pendingOrder) {
            startStep(Stage::Ordering);
        } else {
            reset("the order to load had no visible effect in time");
        }
        break;
    default:
        break;
    }
}

/**
 * Drains the backend server before the order to load. Entries stop sending requests to it first, so
 * that only requests already in progress can be cut off. A backend server without loaded weights is
 * not drained.
 */
void WeightInstaller::drainOrLoad(Instant now)
{
    const bool isEmpty = m_report->loaded.runnableVersion() == 0;
    if (!isEmpty && m_stage == Stage::Staged) {
        enterStage(Stage::Draining);
        return;
    }
    const Duration since = now - m_stageSince;
    if (isEmpty || mayStartLoad(*m_report, since, m_mayCancelRequests, m_options.rollout)) {
        startStep(Stage::Ordering);
    }
}

/**
 * @returns whether the rollout slot of the backend server is reached. A backend server without
 *          loaded weights serves no requests, so it loads at once. For all others, the slot is
 *          relative to the time at which the oldest version that they have not loaded was
 *          announced, since its time limit expires first.
 */
bool WeightInstaller::isRolloutSlotReached(Instant now) const
{
    const std::uint64_t loaded = m_report->loaded.runnableVersion();
    const auto oldest = m_announcedAt.upper_bound(loaded);
    if (loaded == 0 || oldest == m_announcedAt.end()) {
        return true;
    }
    const RolloutOptions &rollout = m_options.rollout;
    const Duration slotOffset = m_members
            ? rolloutDelay(*m_members, m_options.self, m_stageVersion, rollout)
            : rolloutDelayWithoutMembers(m_options.self, m_stageVersion, rollout);
    return now >= oldest->second + slotOffset;
}

void WeightInstaller::startStep(Stage stage)
{
    enterStage(stage);
    m_isStepRunning = true;
    const StepBinding binding {++m_step, m_report->startedAtMs};
    const CompleteVersion &weights = m_pendingOrder ? *m_orderedWeights : *m_newestComplete;
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), binding, version = weights, stage] {
                return stage == Stage::Staging ? self->stage(binding, version)
                                               : self->order(binding, version);
            },
            asio::detached);
}

} // namespace greengageseam
