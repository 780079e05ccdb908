/**
 * The task that installs complete weights on the local backend server. It stages and verifies them,
 * and orders the backend server to load them when its rollout slot is reached.
 */
#pragma once

#include "core/fleet/pendingorder.h"
#include "sidecar/stagedweights.h"

namespace greengageseam {

/** The operator has announced a new target version. */
struct InstallerTargetVersionChanged
{
    std::uint64_t version = 0;
    Instant announcedAt;
};

/** A report of the backend server was received. */
struct InstallerReportReceived
{
    ReplicaReport report;
};

/** An asynchronous step, such as staging, has ended, also if it was abandoned before. */
struct InstallerStepFinished
{
    std::uint64_t step = 0;
    VoidOutcome result;
};

/** The agents whose backend servers run the same weights, which share a rollout. */
struct InstallerMembersChanged
{
    std::vector<InstanceId> members;
};

/**
 * Whether requests in progress may be cancelled on the backend server, since they can continue on
 * another one.
 */
struct InstallerCancelPolicyChanged
{
    bool mayCancelRequests = false;
};

/** A periodic timer event. */
struct InstallerTick
{ };

/** Messages to the WeightInstaller. */
using InstallerCommand =
        std::variant<InstallerTargetVersionChanged, CompleteVersion, InstallerReportReceived,
                     InstallerStepFinished, InstallerMembersChanged, InstallerCancelPolicyChanged,
                     InstallerTick>;

/**
 * What a step is bound to. A step whose binding no longer holds makes no further call to the
 * backend server.
 */
struct StepBinding
{
    std::uint64_t step = 0;
    /** The incarnation of the backend server at the start of the step. */
    std::uint64_t startedAtMs = 0;

    auto operator<=>(const StepBinding &) const = default;
};

/** Configuration of WeightInstaller. */
struct InstallerOptions
{
    /** Name of this agent among the members of a rollout. */
    InstanceId self;
    /** The service of the local backend server. */
    ServiceName service;
    RolloutOptions rollout;
};

/**
 * Hook called when the backend server starts or stops draining. It should receive no new requests
 * while it is draining, since it is about to load weights.
 */
using DrainStateObserver = std::function<void(bool isDraining)>;

/** Hook that reads the list of backend servers. */
using ReadReplicas = std::function<Awaitable<Outcome<std::vector<ReplicaEntry>>>()>;

/**
 * Installs weights in stages: it stages the newest complete version, waits for the rollout slot,
 * drains the backend server, verifies the staged pieces, and orders the backend server to load
 * them.
 */
class WeightInstaller : public std::enable_shared_from_this<WeightInstaller>
{
public:
    /** @param weights the mailbox of the task that stores the weights */
    WeightInstaller(const asio::any_io_executor &executor, InstallerOptions options,
                    ReplicaHooks replica, MailboxPtr<WeightCommand> weights,
                    ReadReplicas readReplicas, DrainStateObserver drainObserver, Log log);

    /** @returns the mailbox for commands */
    const MailboxPtr<InstallerCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    enum class Stage { Idle, Staging, Staged, Draining, Ordering, Ordered };

    Awaitable<void> run();
    void apply(const InstallerTargetVersionChanged &command);
    void apply(const CompleteVersion &command);
    void apply(const InstallerReportReceived &command);
    void apply(const InstallerStepFinished &command);
    void apply(const InstallerMembersChanged &command);
    void apply(const InstallerCancelPolicyChanged &command);
    void apply(const InstallerTick &command);
    Awaitable<void> readMembers(std::uint64_t readId, Instant announcedAt);
    InstallerMembersChanged membersIn(const std::vector<ReplicaEntry> &list) const;
    void advance();
    void turnToNewestComplete();
    void startNextStep(Instant now);
    void startStep(Stage stage);
    void enterStage(Stage stage);
    void drainOrLoad(Instant now);
    void notifyDraining();
    void reset(std::string_view reason);
    bool isRolloutSlotReached(Instant now) const;
    void settleOrderBy(const ReplicaReport &report, bool isRestart);
    bool isCurrent(StepBinding binding) const;
    Awaitable<void> stage(StepBinding binding, CompleteVersion version);
    Awaitable<void> order(StepBinding binding, CompleteVersion version);
    Awaitable<VoidOutcome> checkAndOrder(StepBinding binding, CompleteVersion version);
    Awaitable<VoidOutcome> sendOrder(StepBinding binding, CompleteVersion version,
                                     Instant checkedAt);
    void logOrder(const LoadOrder &order, Duration checkAge,
                  const Outcome<OrderResult> &answer) const;
    VoidOutcome settleOrderByAnswer(const Outcome<OrderResult> &answer, StepBinding binding,
                                    bool isRepeat);
    Awaitable<void> finishStep(std::uint64_t step, VoidOutcome result);

    asio::any_io_executor m_executor;
    InstallerOptions m_options;
    ReplicaHooks m_replica;
    StagedWeights m_staged;
    ReadReplicas m_readReplicas;
    DrainStateObserver m_drainObserver;
    Log m_log;
    MailboxPtr<InstallerCommand> m_mailbox;
    /** The time at which each version was announced. */
    std::map<std::uint64_t, Instant> m_announcedAt;
    std::optional<ReplicaReport> m_report;
    /** The newest complete version. */
    std::optional<CompleteVersion> m_newestComplete;
    /** The members of the rollout as last read; empty until a read has succeeded. */
    std::optional<std::vector<InstanceId>> m_members;
    /** Number of the newest read of the members; earlier ones are not repeated. */
    std::uint64_t m_membersRead = 0;
    /** The version that m_stage refers to. */
    std::uint64_t m_stageVersion = 0;
    Stage m_stage = Stage::Idle;
    Instant m_stageSince;
    Instant m_retryAt;
    bool m_mayCancelRequests = false;
    /** The last state passed to m_drainObserver. */
    bool m_isDraining = false;
    /** Number of the step in progress; the results of earlier steps are ignored. */
    std::uint64_t m_step = 0;
    /** A coroutine of a step runs, possibly of an abandoned one; no other is started meanwhile. */
    bool m_isStepRunning = false;
    /**
     * The order whose outcome is unknown. While it is set, m_stageVersion is its version, no other
     * version is staged, and no other order is sent than a repeat of it.
     */
    std::optional<PendingOrder> m_pendingOrder;
    /** The weights of the last order. */
    std::optional<CompleteVersion> m_orderedWeights;
    /** Orders that this incarnation of the backend server has accepted, as reported or answered. */
    std::uint64_t m_acceptedOrders = 0;
};

} // namespace greengageseam
