/**
 * The task that brings the named weights onto the backend server beside this agent: it has them
 * fetched, stages and verifies them, and orders the backend server to load them in its turn.
 */
#pragma once

#include "agent/weightkeeper.h"
#include "core/fleet/fleet.h"
#include "net/log.h"
#include "net/replicahooks.h"
#include "net/storehooks.h"

#include <functional>
#include <optional>
#include <variant>

namespace greengageseam {

/** A configuration is in force. */
struct LoaderRoutes
{
    RouteTablePtr table;
};

/** Weights were named. */
struct LoaderNamed
{
    NamedVersion named;
    Instant at;
};

/** The backend server has reported; nothing if it does not answer. */
struct LoaderReport
{
    std::optional<ReplicaReport> report;
};

/** The weights that are held have changed. */
struct LoaderHolds
{
    std::set<Digest> complete;
};

/** The backend servers of the own service, and which of them run the wanted weights. */
struct LoaderPeers
{
    std::vector<ReplicaEntry> entries;
};

/** Time passes. */
struct LoaderTick
{ };

/** A step that takes long has ended. */
struct LoaderStepDone
{
    std::uint64_t step = 0;
    Settled result;
    /** The pieces, if the step was to read their list. */
    std::optional<PieceList> list;
};

/** Messages to the loader. */
using LoaderCommand = std::variant<LoaderRoutes, LoaderNamed, LoaderReport, LoaderHolds,
                                   LoaderPeers, LoaderTick, LoaderStepDone>;

/** What the loader is told at its start. */
struct LoaderOptions
{
    /** Name of this agent among those that exchange weights. */
    InstanceId self;
    ZoneName zone;
    /** The service of the backend server beside this agent. */
    ServiceName service;
    /** Port on which agents exchange weights. */
    std::uint16_t peerPort = 0;
    RolloutOptions rollout;
};

/** What the loader deals with. */
struct LoaderHooks
{
    ReplicaHooks replica;
    OpenOrigin openOrigin;
    /** Reads the list of backend servers, decoded. */
    std::function<Awaitable<Outcome<std::vector<ReplicaEntry>>>()> readReplicas;
    /** The task that holds the weights. */
    MailboxPtr<WeightCommand> weights;
};

/** Pieces of the version that is being fetched, for those who read from the origin. */
struct WantedPieces
{
    PieceList list;
    Manifest manifest;
    WeightOriginHooks origin;
};

/** Loads weights. */
class WeightLoader : public std::enable_shared_from_this<WeightLoader>
{
public:
    WeightLoader(const asio::any_io_executor &executor, LoaderOptions options, LoaderHooks hooks,
                 Log log);

    /** @returns where to send commands */
    const MailboxPtr<LoaderCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();
    /** @returns how a manifest and chunks are read from the origin, for the keeper of weights */
    WeightSources sources(ReadPeer readPeer);

private:
    /** What is being done for the wanted version. */
    enum class Stage { Idle, Listing, Fetching, Staging, Staged, Ordering, Ordered };

    Awaitable<void> run();
    void apply(const LoaderRoutes &command);
    void apply(const LoaderNamed &command);
    void apply(const LoaderReport &command);
    void apply(const LoaderHolds &command);
    void apply(const LoaderPeers &command);
    void apply(const LoaderTick &command);
    void apply(const LoaderStepDone &command);
    void advance();
    void beginList();
    void beginFetch();
    void beginStage();
    void beginOrder();
    void readPeers();
    void restart(std::string_view reason);
    void enter(Stage stage);
    Duration turn() const;
    std::uint64_t wantedVersion() const;
    Awaitable<void> list(std::uint64_t step, WeightOriginHooks origin, std::uint64_t version);
    Awaitable<void> stage(std::uint64_t step, Manifest manifest);
    Awaitable<void> order(std::uint64_t step, LoadOrder order, Manifest manifest);
    Awaitable<Settled> stageOne(std::uint32_t number, Chunk chunk);
    Awaitable<Settled> verifyStaged(Manifest manifest);
    Awaitable<void> finish(std::uint64_t step, Settled result, std::optional<PieceList> list);
    Awaitable<void> askPeers();

    asio::any_io_executor m_executor;
    LoaderOptions m_options;
    LoaderHooks m_hooks;
    Log m_log;
    MailboxPtr<LoaderCommand> m_mailbox;
    RouteTablePtr m_table;
    ModelName m_model;
    std::optional<LoaderNamed> m_named;
    std::optional<ReplicaReport> m_report;
    /** Version that m_stage is about; 0 for none. */
    std::uint64_t m_version = 0;
    Stage m_stage = Stage::Idle;
    Instant m_stageSince;
    /** Number of the step in progress; the results of earlier ones are dropped. */
    std::uint64_t m_step = 0;
    std::shared_ptr<const WantedPieces> m_pieces;
    std::set<Digest> m_complete;
    std::vector<ReplicaEntry> m_entries;
    Instant m_peersAskedAt;
    Instant m_notBefore;
    bool m_isAskingPeers = false;
};

/** @returns the name of the agent beside a backend server, which is its machine's address */
InstanceId agentBeside(const Address &backend);

} // namespace greengageseam
