/**
 * The task that manages weights: it executes the actions of the transfer planner, verifies and
 * stores chunks, and provides them to the engine and to other agents.
 */
#pragma once

#include "agent/chunkannouncements.h"
#include "agent/chunkserver.h"
#include "agent/weightreads.h"
#include "core/weights/weights.h"
#include "net/log.h"
#include "net/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <variant>

namespace greengageseam {

/** A peer requests a chunk or a manifest on a stream of its link. */
struct ChunkRequested
{
    Digest digest;
    PeerLinkHandle link;
    StreamId stream = 0;
};

/** A peer announced which chunks of a version it stores. */
struct PeerAnnouncementReceived
{
    PeerChunksAnnounced chunks;
    /** Whether the peer asks for an announcement in return. */
    bool isAnswerWanted = false;
};

/** A link to a peer has been established. */
struct PeerLinked
{
    InstanceId peer;
};

/** The engine requests the text of a manifest. */
struct ManifestQuery
{
    Digest manifest;
    MailboxPtr<Outcome<std::string>> reply;
};

/** The engine requests a chunk. */
struct ChunkQuery
{
    Digest chunk;
    MailboxPtr<Outcome<ChunkBytes>> reply;
};

/** Triggers timeouts, announcements and progress logs. */
struct WeightTick
{ };

/** Messages to the task. */
using WeightCommand =
        std::variant<WantedVersionsChanged, PeersChanged, OriginCopiesChanged, PeerDisconnected,
                     LiveLoadChanged, ManifestFetched, ChunkFetched, ChunkRequested,
                     PeerAnnouncementReceived, PeerLinked, ManifestQuery, ChunkQuery, WeightTick>;

/** State of the task, which heartbeats report. */
struct WeightStatus
{
    /** Wanted versions of which all chunks are stored and verified. */
    std::set<Digest> completeVersions;
    /** Bytes read from the origin since the start of the process. */
    std::uint64_t originBytes = 0;
    /** Description of the current problem, for the report; empty if there is none. */
    std::string problem;

    auto operator<=>(const WeightStatus &) const = default;
};

/** A sign that the manifest of a wanted version may be corrupt, although its digest matches. */
struct ManifestDoubt
{
    /** The peer that announced another manifest; empty if a chunk of the origin did not match. */
    InstanceId peer;
    /** The manifest that the peer announced; empty if there is none. */
    Digest announced;

    auto operator<=>(const ManifestDoubt &) const = default;
};

/** Hooks of WeightManager. They must not block. */
struct WeightHooks
{
    /** Called with each new status. */
    std::function<void(const WeightStatus &status)> onStatus;
    /** Called with each sign of a corrupt manifest; empty if manifests are known to be intact. */
    std::function<void(const ManifestDoubt &doubt)> onManifestDoubt;
};

/** Mailboxes of the tasks that the manager sends commands to. */
struct WeightTasks
{
    MailboxPtr<ChunkLinksCommand> links;
    MailboxPtr<ChunkServerCommand> server;
};

/** Manages the weights of one agent. */
class WeightManager : public std::enable_shared_from_this<WeightManager>
{
public:
    /**
     * @param executor runs the task
     * @param mailbox mailbox of the task, made beforehand by makeCommandMailbox() because other
     *        tasks are constructed with it
     * @param planner decides which chunks to read, from where and when
     * @param sources reads weights
     * @param tasks mailboxes of the tasks for links and uploads
     * @param hooks inform others of the status, and of signs of a corrupt manifest
     * @param metrics receives byte counts and failures
     * @param log logger of the agent
     */
    WeightManager(const asio::any_io_executor &executor, MailboxPtr<WeightCommand> mailbox,
                  TransferPlanner planner, WeightSources sources, WeightTasks tasks,
                  WeightHooks hooks, std::shared_ptr<Metrics> metrics, Log log);

    /** @returns a mailbox for a WeightManager */
    static MailboxPtr<WeightCommand> makeCommandMailbox(const asio::any_io_executor &executor);
    /** @returns the mailbox for commands to this task */
    const MailboxPtr<WeightCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    void apply(const WantedVersionsChanged &command);
    void apply(const PeersChanged &command);
    void apply(const OriginCopiesChanged &command);
    void apply(const PeerDisconnected &command);
    void apply(const LiveLoadChanged &command);
    void apply(const ManifestFetched &command);
    void apply(const ChunkFetched &command);
    void apply(const ChunkRequested &command);
    void apply(const PeerAnnouncementReceived &command);
    void apply(const PeerLinked &command);
    void apply(const ManifestQuery &command);
    void apply(const ChunkQuery &command);
    void apply(const WeightTick &command);
    void plan(const TransferEvent &event);
    void carryOut(const FetchManifest &action);
    void carryOut(const FetchChunk &action);
    void carryOut(const CancelFetch &action);
    void carryOut(const DropChunk &action);
    Awaitable<void> fetchManifest(FetchManifest action);
    Awaitable<void> fetchChunk(FetchChunk action, MailboxPtr<StreamEvent> events);
    void recordFetchFailure(const Failure &failure, const ChunkSource &source);
    void reportDoubt(const ManifestDoubt &doubt) const;
    void updatePeersToLink();
    void announceChanges();
    void publishStatus();

    asio::any_io_executor m_executor;
    MailboxPtr<WeightCommand> m_mailbox;
    TransferPlanner m_planner;
    WeightSources m_sources;
    WeightTasks m_tasks;
    WeightHooks m_hooks;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
    /** Stored chunks by digest. Invariant: the bytes match the digest. */
    std::map<Digest, ChunkBytes> m_chunks;
    /** Mailboxes of the chunk reads in progress, through which a read can be cancelled. */
    std::map<Digest, MailboxPtr<StreamEvent>> m_activeReads;
    std::vector<WeightPeer> m_knownPeers;
    std::vector<WeightPeer> m_peersToLink;
    Instant m_peersToLinkUpdatedAt;
    Instant m_progressLoggedAt;
    ChunkAnnouncements m_announcements;
    std::uint64_t m_originBytes = 0;
    /** Value of the metric for stored bytes. */
    std::uint64_t m_storedBytesMetric = 0;
    std::string m_lastFailure;
    WeightStatus m_status;
};

} // namespace greengageseam
