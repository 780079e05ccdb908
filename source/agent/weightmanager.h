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
struct ChunkAsked
{
    Digest digest;
    PeerLinkHandle link;
    StreamId stream = 0;
};

/** A peer says what it offers. */
struct PeerOffers
{
    PeerChunksAnnounced has;
    bool isAnswerWanted = false;
};

/** There is a link to a peer now. */
struct PeerLinked
{
    InstanceId peer;
};

/** The engine asks for a manifest's text. */
struct ManifestRead
{
    Digest manifest;
    MailboxPtr<Outcome<std::string>> reply;
};

/** The engine asks for a chunk. */
struct ChunkRead
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
                     LiveLoadChanged, ManifestFetched, ChunkFetched, ChunkAsked, PeerOffers,
                     PeerLinked, ManifestRead, ChunkRead, WeightTick>;

/** What the keeper tells of itself. */
struct WeightStatus
{
    /** Versions that are wanted, held complete and verified. */
    std::set<Digest> holding;
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
    MailboxPtr<ServerCommand> server;
};

/** Keeps the weights of one agent. */
class WeightKeeper : public std::enable_shared_from_this<WeightKeeper>
{
public:
    /** @param mailbox where the keeper gets its commands; others may hold it before */
    WeightKeeper(const asio::any_io_executor &executor, MailboxPtr<WeightCommand> mailbox,
                 TransferPlanner planner, WeightSources sources, WeightTasks tasks,
                 WeightObserver observer, std::shared_ptr<Metrics> metrics, Log log);

    /** @returns a mailbox for a keeper */
    static MailboxPtr<WeightCommand> makeCommands(const asio::any_io_executor &executor);
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
    void apply(const ChunkAsked &command);
    void apply(const PeerOffers &command);
    void apply(const PeerLinked &command);
    void apply(const ManifestRead &command);
    void apply(const ChunkRead &command);
    void apply(const WeightTick &command);
    void plan(const TransferEvent &event);
    void carryOut(const FetchManifest &action);
    void carryOut(const FetchChunk &action);
    void carryOut(const CancelFetch &action);
    void carryOut(const DropChunk &action);
    Awaitable<void> fetchManifest(FetchManifest action);
    Awaitable<void> fetchChunk(FetchChunk action, MailboxPtr<StreamEvent> events);
    void noteTrouble(const Failure &failure, const ChunkSource &source);
    void keepPartners();
    void announceNews();
    void announceTo(Reach reach, std::map<Digest, ChunkBits> &told);
    HaveMessage haveOf(const Digest &manifest, bool isAnswerWanted) const;
    void publish();

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
    std::map<Digest, MailboxPtr<StreamEvent>> m_readings;
    std::vector<WeightPeer> m_known;
    std::vector<WeightPeer> m_partners;
    Instant m_partnersKeptAt;
    Instant m_progressToldAt;
    /** What the peers of the zone, and those of other zones, were last told. */
    std::map<Digest, ChunkBits> m_toldNear;
    std::map<Digest, ChunkBits> m_toldFar;
    Instant m_toldNearAt;
    Instant m_toldFarAt;
    std::uint64_t m_originBytes = 0;
    /** What the metric says is held. */
    std::uint64_t m_reportedBytes = 0;
    std::string m_lastFailure;
    WeightStatus m_status;
};

} // namespace greengageseam
