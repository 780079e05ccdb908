/**
 * The task that keeps weights: it fetches, verifies and holds chunks, and serves them to others.
 */
#pragma once

#include "core/weights/weights.h"
#include "net/log.h"
#include "net/metrics.h"
#include "net/peerlink.h"
#include "platform/storeclient.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <variant>

namespace greengageseam {

/** Bytes of a chunk, shared by all who read them. */
using ChunkBytes = std::shared_ptr<const std::string>;

/** The versions that this agent should hold. */
struct WantWeights
{
    std::set<Digest> manifests;
};

/** A peer that holds whole versions. */
struct WeightPeer
{
    Address address;
    std::set<Digest> holding;

    auto operator<=>(const WeightPeer &) const = default;
};

/** The peers of the zone, as an entry told them. */
struct PeersSeen
{
    std::vector<WeightPeer> peers;
};

/** A manifest was read from the origin. */
struct ManifestFetched
{
    Digest digest;
    Outcome<Manifest> manifest;
};

/** A chunk was fetched and verified, or could not be. */
struct ChunkFetched
{
    Chunk chunk;
    Outcome<ChunkBytes> bytes;
    bool isFromOrigin = false;
};

/** A peer asks for a chunk on a stream of its link. */
struct ChunkAsked
{
    Digest digest;
    PeerLinkHandle link;
    StreamId stream = 0;
};

/** The engine asks for a manifest's text. */
struct ManifestRead
{
    Digest manifest;
    MailboxPtr<Outcome<std::string>> reply;
};

/** The engine asks for a chunk of a version that is held whole. */
struct ChunkRead
{
    Digest chunk;
    MailboxPtr<Outcome<ChunkBytes>> reply;
};

/** Time to go on with what is missing. */
struct WeightTick
{ };

/** Messages to the keeper. */
using WeightCommand = std::variant<WantWeights, PeersSeen, ManifestFetched, ChunkFetched,
                                   ChunkAsked, ManifestRead, ChunkRead, WeightTick>;

/** What the keeper tells of itself. */
struct WeightStatus
{
    /** Versions that are held complete and verified. */
    std::set<Digest> holding;
    std::uint64_t originBytes = 0;
    /** What last went wrong, for the report. */
    std::string trouble;

    auto operator<=>(const WeightStatus &) const = default;
};

/** Hook that is told of each new status; it must not wait. */
using WeightObserver = std::function<void(const WeightStatus &status)>;

/** Hook that reads a chunk from a peer, not yet verified. */
using ReadPeerChunk = std::function<Awaitable<Outcome<std::string>>(Address peer, Chunk chunk)>;

/** Where weights come from. */
struct WeightSources
{
    ReadOriginManifest readManifest;
    ReadOriginChunk readOrigin;
    ReadPeerChunk readPeer;
};

/** Keeps the weights of one agent. */
class WeightKeeper : public std::enable_shared_from_this<WeightKeeper>
{
public:
    WeightKeeper(const asio::any_io_executor &executor, WeightSources sources,
                 WeightObserver observer, std::shared_ptr<Metrics> metrics, Log log);

    /** @returns where to send commands */
    const MailboxPtr<WeightCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    void apply(const WantWeights &command);
    void apply(const PeersSeen &command);
    void apply(const ManifestFetched &command);
    void apply(const ChunkFetched &command);
    void apply(const ChunkAsked &command);
    void apply(const ManifestRead &command);
    void apply(const ChunkRead &command);
    void apply(const WeightTick &command);
    void goOn();
    void fetchMissingChunks(const Digest &digest, const Manifest &manifest);
    bool isComplete(const Manifest &manifest) const;
    std::optional<Address> peerHolding(const Digest &manifest) const;
    Awaitable<void> fetchManifest(Digest digest);
    Awaitable<void> fetchChunk(Chunk chunk, std::optional<Address> peer);
    Awaitable<void> serveChunk(ChunkBytes bytes, PeerLinkHandle link, StreamId stream);
    void dropUnwanted();
    void publish();

    asio::any_io_executor m_executor;
    WeightSources m_sources;
    WeightObserver m_observer;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
    MailboxPtr<WeightCommand> m_mailbox;
    std::set<Digest> m_wanted;
    std::vector<WeightPeer> m_peers;
    std::map<Digest, Manifest> m_manifests;
    /** Invariant: each chunk's bytes match its digest. */
    std::map<Digest, ChunkBytes> m_chunks;
    /** Manifests and chunks that are being fetched. */
    std::set<Digest> m_fetching;
    WeightStatus m_status;
};

} // namespace greengageseam
