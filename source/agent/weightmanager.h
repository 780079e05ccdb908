/**
 * The task that keeps weights: it carries out the plan of transfers, verifies and holds chunks, and
 * gives them to the engine and to other agents.
 */
#pragma once

#include "agent/chunkserver.h"
#include "agent/peerchunks.h"
#include "core/weights/weights.h"
#include "logservice/storeclient.h"
#include "net/log.h"
#include "net/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <variant>

namespace greengageseam {

/** A manifest was read, or could not be. */
struct ManifestFetched
{
    Digest digest;
    Outcome<Manifest> manifest;
};

/** A chunk was read and verified, or could not be. */
struct ChunkFetched
{
    Chunk chunk;
    ChunkSource source;
    Outcome<ChunkBytes> bytes;
    Duration retryAfter {};
};

/** A peer asks for a chunk or a manifest on a stream of its link. */
struct ChunkRequested
{
    Digest digest;
    PeerLinkHandle link;
    StreamId stream = 0;
};

/** A peer says what it offers. */
struct PeerAnnouncementReceived
{
    PeerChunksAnnounced chunks;
    bool isAnswerWanted = false;
};

/** There is a link to a peer now. */
struct PeerLinked
{
    InstanceId peer;
};

/** The engine asks for a manifest's text. */
struct ManifestQuery
{
    Digest manifest;
    MailboxPtr<Outcome<std::string>> reply;
};

/** The engine asks for a chunk. */
struct ChunkQuery
{
    Digest chunk;
    MailboxPtr<Outcome<ChunkBytes>> reply;
};

/** Time passes. */
struct WeightTick
{ };

/** Messages to the keeper. */
using WeightCommand =
        std::variant<WantedVersionsChanged, PeersChanged, OriginCopiesChanged, PeerDisconnected,
                     LiveLoadChanged, ManifestFetched, ChunkFetched, ChunkRequested,
                     PeerAnnouncementReceived, PeerLinked, ManifestQuery, ChunkQuery, WeightTick>;

/** What the keeper tells of itself. */
struct WeightStatus
{
    /** Versions that are wanted, held complete and verified. */
    std::set<Digest> completeVersions;
    std::uint64_t originBytes = 0;
    /** What last went wrong, for the report. */
    std::string problem;

    auto operator<=>(const WeightStatus &) const = default;
};

/** Hook that is told of each new status; it must not wait. */
using WeightObserver = std::function<void(const WeightStatus &status)>;

/** Where weights come from. */
struct WeightSources
{
    ReadOriginManifest readManifest;
    ReadOriginChunk readOrigin;
    ReadPeer readPeer;
};

/** The tasks beside the keeper that it talks to. */
struct WeightTasks
{
    MailboxPtr<ChunkLinksCommand> links;
    MailboxPtr<ChunkServerCommand> server;
};

/** Keeps the weights of one agent. */
class WeightManager : public std::enable_shared_from_this<WeightManager>
{
public:
    /** @param mailbox where the keeper gets its commands; others may hold it before */
    WeightManager(const asio::any_io_executor &executor, MailboxPtr<WeightCommand> mailbox,
                  TransferPlanner planner, WeightSources sources, WeightTasks tasks,
                  WeightObserver observer, std::shared_ptr<Metrics> metrics, Log log);

    /** @returns a mailbox for a keeper */
    static MailboxPtr<WeightCommand> makeCommandMailbox(const asio::any_io_executor &executor);
    /** @returns where to send commands */
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
    void updatePeersToLink();
    void announceChanges();
    void announceTo(PeerScope scope, std::map<Digest, ChunkBits> &announced);
    HaveMessage makeHaveMessage(const Digest &manifest, bool isAnswerWanted) const;
    void publishStatus();

    asio::any_io_executor m_executor;
    MailboxPtr<WeightCommand> m_mailbox;
    TransferPlanner m_planner;
    WeightSources m_sources;
    WeightTasks m_tasks;
    WeightObserver m_observer;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
    /** Invariant: each chunk's bytes match its digest. */
    std::map<Digest, ChunkBytes> m_chunks;
    /** Ways to stop what is being read from peers. */
    std::map<Digest, MailboxPtr<StreamEvent>> m_activeReads;
    std::vector<WeightPeer> m_knownPeers;
    std::vector<WeightPeer> m_peersToLink;
    Instant m_peersToLinkUpdatedAt;
    Instant m_progressLoggedAt;
    /** What the peers of the zone, and those of other zones, were last told. */
    std::map<Digest, ChunkBits> m_announcedInZone;
    std::map<Digest, ChunkBits> m_announcedToOtherZones;
    Instant m_lastZoneAnnouncement;
    Instant m_lastOtherZonesAnnouncement;
    std::uint64_t m_originBytes = 0;
    /** What the metric says is held. */
    std::uint64_t m_storedBytesMetric = 0;
    std::string m_lastFailure;
    WeightStatus m_status;
};

} // namespace greengageseam
