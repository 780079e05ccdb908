/**
 * The task that brings weights that are held onto the backend server beside this agent: it stages
 * and verifies them, and orders the backend server to load them in its turn.
 */
#pragma once

#include "exchange/versionfetcher.h"

namespace greengageseam {

/** Weights were named. */
struct InstallerNamed
{
    std::uint64_t version = 0;
    Instant announcedAt;
};

/** The backend server has reported. */
struct InstallerReport
{
    ReplicaReport report;
};

/** A step that takes long has ended. */
struct InstallerStepDone
{
    std::uint64_t step = 0;
    Settled result;
};

/** The agents whose backend servers run the same weights. */
struct InstallerMembers
{
    std::vector<InstanceId> members;
};

/** Whether what the backend server runs may go on elsewhere. */
struct InstallerMayCut
{
    bool mayCut = false;
};

/** Time passes. */
struct InstallerTick
{ };

/** Messages to the installer. */
using InstallerCommand =
        std::variant<InstallerNamed, HeldVersion, InstallerReport, InstallerStepDone,
                     InstallerMembers, InstallerMayCut, InstallerTick>;

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
using TellLeaving = std::function<void(bool isLeaving)>;

/** Hook that reads the list of backend servers. */
using ReadReplicas = std::function<Awaitable<Outcome<std::vector<ReplicaEntry>>>()>;

/** Stages, verifies and orders. */
class WeightInstaller : public std::enable_shared_from_this<WeightInstaller>
{
public:
    /** @param weights the task that holds the weights */
    WeightInstaller(const asio::any_io_executor &executor, InstallerOptions options,
                    ReplicaHooks replica, MailboxPtr<WeightCommand> weights,
                    ReadReplicas readReplicas, TellLeaving tellLeaving, Log log);

    /** @returns where to send commands */
    const MailboxPtr<InstallerCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    enum class Stage { Idle, Staging, Staged, Leaving, Ordering, Ordered };

    Awaitable<void> run();
    void apply(const InstallerNamed &command);
    void apply(const HeldVersion &command);
    void apply(const InstallerReport &command);
    void apply(const InstallerStepDone &command);
    void apply(const InstallerMembers &command);
    void apply(const InstallerMayCut &command);
    void apply(const InstallerTick &command);
    Awaitable<void> askMembers();
    void advance();
    void begin(Stage stage);
    void enter(Stage stage);
    void leaveOrLoad(Instant now);
    void tellLeaving();
    void restart(std::string_view reason);
    bool isTurn(Instant now) const;
    Awaitable<void> stage(std::uint64_t step, HeldVersion version);
    Awaitable<void> order(std::uint64_t step, HeldVersion version);
    Awaitable<Settled> stageOne(ModelName model, std::uint32_t number, Chunk chunk);
    Awaitable<Settled> verifyStaged(HeldVersion version);
    Awaitable<void> finish(std::uint64_t step, Settled result);

    asio::any_io_executor m_executor;
    InstallerOptions m_options;
    ReplicaHooks m_replica;
    MailboxPtr<WeightCommand> m_weights;
    ReadReplicas m_readReplicas;
    TellLeaving m_tellLeaving;
    Log m_log;
    MailboxPtr<InstallerCommand> m_mailbox;
    /** When each version was named. */
    std::map<std::uint64_t, Instant> m_named;
    std::optional<ReplicaReport> m_report;
    /** The newest version that is held. */
    std::optional<HeldVersion> m_held;
    /** Whose turns there are; nothing while it is not known. */
    std::vector<InstanceId> m_members;
    /** Version that m_stage is about. */
    std::uint64_t m_version = 0;
    Stage m_stage = Stage::Idle;
    Instant m_stageSince;
    Instant m_notBefore;
    bool m_mayCut = false;
    /** What entries were told last. */
    bool m_isLeaving = false;
    /** Number of the step in progress; the results of earlier ones are dropped. */
    std::uint64_t m_step = 0;
};

} // namespace greengageseam
