/**
 * The task that brings weights that are held onto the backend server beside this agent: it stages
 * and verifies them, and orders the backend server to load them in its turn.
 */
#pragma once

#include "exchange/versionfetcher.h"

namespace greengageseam {

/** Weights were named. */
struct InstallerTargetVersionChanged
{
    std::uint64_t version = 0;
    Instant announcedAt;
};

/** The backend server has reported. */
struct InstallerReportReceived
{
    ReplicaReport report;
};

/** A step that takes long has ended. */
struct InstallerStepFinished
{
    std::uint64_t step = 0;
    VoidOutcome result;
};

/** The agents whose backend servers run the same weights. */
struct InstallerMembersChanged
{
    std::vector<InstanceId> members;
};

/** Whether what the backend server runs may go on elsewhere. */
struct InstallerCancelPolicyChanged
{
    bool mayCancelRequests = false;
};

/** Time passes. */
struct InstallerTick
{ };

/** Messages to the installer. */
using InstallerCommand =
        std::variant<InstallerTargetVersionChanged, CompleteVersion, InstallerReportReceived,
                     InstallerStepFinished, InstallerMembersChanged, InstallerCancelPolicyChanged,
                     InstallerTick>;

/** What the installer is told at its start. */
struct InstallerOptions
{
    /** Name of this agent among those whose backend servers run the same weights. */
    InstanceId self;
    /** The service of the backend server beside this agent. */
    ServiceName service;
    RolloutOptions rollout;
};

/** Hook that is told whether the backend server should get nothing new, since it is to load. */
using DrainStateObserver = std::function<void(bool isDraining)>;

/** Hook that reads the list of backend servers. */
using ReadReplicas = std::function<Awaitable<Outcome<std::vector<ReplicaEntry>>>()>;

/** Stages, verifies and orders. */
class WeightInstaller : public std::enable_shared_from_this<WeightInstaller>
{
public:
    /** @param weights the task that holds the weights */
    WeightInstaller(const asio::any_io_executor &executor, InstallerOptions options,
                    ReplicaHooks replica, MailboxPtr<WeightCommand> weights,
                    ReadReplicas readReplicas, DrainStateObserver drainObserver, Log log);

    /** @returns where to send commands */
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
    Awaitable<void> readMembers();
    void advance();
    void startStep(Stage stage);
    void enterStage(Stage stage);
    void drainOrLoad(Instant now);
    void notifyDraining();
    void reset(std::string_view reason);
    bool isRolloutSlotReached(Instant now) const;
    Awaitable<void> stage(std::uint64_t step, CompleteVersion version);
    Awaitable<void> order(std::uint64_t step, CompleteVersion version);
    Awaitable<VoidOutcome> stageChunk(ModelName model, std::uint32_t number, Chunk chunk);
    Awaitable<VoidOutcome> verifyStaged(CompleteVersion version);
    Awaitable<void> finishStep(std::uint64_t step, VoidOutcome result);

    asio::any_io_executor m_executor;
    InstallerOptions m_options;
    ReplicaHooks m_replica;
    MailboxPtr<WeightCommand> m_weights;
    ReadReplicas m_readReplicas;
    DrainStateObserver m_drainObserver;
    Log m_log;
    MailboxPtr<InstallerCommand> m_mailbox;
    /** When each version was named. */
    std::map<std::uint64_t, Instant> m_announcedAt;
    std::optional<ReplicaReport> m_report;
    /** The newest version that is held. */
    std::optional<CompleteVersion> m_newestComplete;
    /** Whose turns there are; nothing while it is not known. */
    std::vector<InstanceId> m_members;
    /** Version that m_stage is about. */
    std::uint64_t m_stageVersion = 0;
    Stage m_stage = Stage::Idle;
    Instant m_stageSince;
    Instant m_retryAt;
    bool m_mayCancelRequests = false;
    /** What entries were told last. */
    bool m_isDraining = false;
    /** Number of the step in progress; the results of earlier ones are dropped. */
    std::uint64_t m_step = 0;
};

} // namespace greengageseam
