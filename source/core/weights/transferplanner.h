/**
 * Who reads which chunk from whom, as seen by one agent.
 */
#pragma once

#include "core/weights/linkratelimiter.h"
#include "core/weights/transferevents.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace greengageseam {

/** Bounds of the planner. */
struct TransferOptions
{
    InstanceId self;
    ZoneName zone;
    /** Zone of the weight store; empty if none is nearer than the others. */
    ZoneName storeZone;
    /** Chunks that are read at a time. */
    std::uint32_t maxFetches = 12;
    /** Whether manifests are made at hand, so that no peer is asked for one. */
    bool buildsManifestsLocally = false;
    /** Time after which the next owner of a chunk may read it; 0 to tell by the own share. */
    Duration ownerTimeout {};
    /** Whether chunks are read one by one while they are slow, since others use the link. */
    bool singleFetchWhenSlow = false;
    std::uint32_t maxFetchesPerPeer = 2;
    std::uint32_t maxOriginFetches = 2;
    /** Bytes a second that are asked for; 0 is without limit. */
    std::uint64_t linkBytesPerSecond = 0;
    /** Bytes a second that are asked for from other zones; 0 is without limit. */
    std::uint64_t zoneLinkBytesPerSecond = 0;
    /** Bytes of weights that are held at most; 0 is without limit. */
    std::uint64_t memoryBytes = 0;

    TransferOptions withLinkBytesPerSecond(std::uint64_t value) const;
    TransferOptions withZoneLinkBytesPerSecond(std::uint64_t value) const;
    TransferOptions withMemoryBytes(std::uint64_t value) const;
    auto operator<=>(const TransferOptions &) const = default;
};

/**
 * Plans the transfers of one agent: events and the time in, actions out.
 *
 * It changes in place: a copy of its tables for each event would cost more than the event. Nothing
 * is offered, counted as held or part of a complete version that was not reported as verified.
 */
class TransferPlanner
{
public:
    TransferPlanner(TransferOptions options, TransferPolicy policy, Instant now);

    /** Takes an event. What a peer offers is planned with at the next event of another kind.
     * @returns what is to be done
     */
    std::vector<TransferAction> step(const TransferEvent &event, Instant now);

    /** @returns the versions that are wanted and held complete */
    std::set<Digest> completeVersions() const;
    /** @returns whether a version is held complete, wanted or not */
    bool isComplete(const Digest &manifest) const;
    /** @returns whether a chunk is held */
    bool hasChunk(const Digest &chunk) const { return m_storedChunks.contains(chunk); }
    /** @returns whether all wanted versions are held complete */
    bool isDone() const;
    /** @returns the versions of which something may be offered */
    std::vector<Digest> offeredVersions() const;
    /** @returns the chunks that are held of a version */
    ChunkBits storedChunks(const Digest &manifest) const;
    /** @returns the manifest of a version, or null */
    const Manifest *manifest(const Digest &digest) const;
    /** @returns the peers to keep links to while something is missing */
    std::vector<WeightPeer> peersToLink() const;
    /** @returns bytes of weights that are held */
    std::uint64_t storedBytes() const { return m_storedBytes; }
    /** @returns why a wanted version cannot be held; empty if all can */
    const std::string &problem() const { return m_problem; }

private:
    enum class ChunkPhase : std::uint8_t { Missing, Fetching, Stored };

    struct Version
    {
        VersionPlacement placement;
        /** False while the version is only kept for what may still need it. */
        bool isWanted = true;
        bool isRefused = false;
        bool isFetchingManifest = false;
        std::uint32_t manifestAttempts = 0;
        Instant nextManifestFetch;
        std::optional<Manifest> manifest;
        Instant manifestReceivedAt;
        std::vector<ChunkPhase> chunkPhases;
        std::unordered_map<Digest, std::vector<std::size_t>> index;
        ChunkAssignments assignments;
        std::optional<Duration> ownedChunksTime;
        std::size_t missingChunks = 0;
        Instant retainUntil;
    };

    struct Peer
    {
        WeightPeer info;
        std::map<Digest, ChunkBits> bits;
        std::uint32_t outstanding = 0;
        /** Time that was spent on reading chunks from it. */
        Duration fetchTime {};
        std::uint32_t failures = 0;
        Instant cooldownUntil;
        std::uint64_t tieBreak = 1;
    };

    struct MissingChunk
    {
        std::size_t index = 0;
        std::size_t offerCount = 0;
        std::uint64_t tieBreak = 0;
    };

    struct ActiveFetch
    {
        Chunk chunk;
        ChunkSource source;
        Instant startedAt;
    };

    using Actions = std::vector<TransferAction>;

    /** @returns the versions of which chunks are missing, in the order in which they are read */
    std::vector<Digest> incompleteVersions() const;
    const ZoneName &storeZone(const VersionPlacement &placement) const;

    void apply(const WantedVersionsChanged &event, Instant now, Actions &actions);
    void apply(const PeersChanged &event, Instant now, Actions &actions);
    void apply(const OriginCopiesChanged &event, Instant now, Actions &actions);
    void apply(const ManifestReceived &event, Instant now, Actions &actions);
    void apply(const ManifestFailed &event, Instant now, Actions &actions);
    void apply(const PeerChunksAnnounced &event, Instant now, Actions &actions);
    void apply(const PeerDisconnected &event, Instant now, Actions &actions);
    void apply(const FetchFinished &event, Instant now, Actions &actions);
    void apply(const EngineReadStarted &event, Instant now, Actions &actions);
    void apply(const LiveLoadChanged &event, Instant now, Actions &actions);
    void apply(const TransferTick &event, Instant now, Actions &actions);

    void dropUnneeded(Instant now, Actions &actions);
    void enforceMemoryLimit();
    void planManifests(Instant now, Actions &actions);
    void planChunks(const Digest &digest, Version &version, Instant now, Actions &actions);
    std::vector<MissingChunk> missingRarestFirst(const Digest &digest, const Version &version,
                                                 Instant now) const;
    SourceQuery sourceQueryFor(const Digest &digest, const Version &version, std::size_t index,
                               const FailoverState &state, Instant now) const;
    FailoverState failoverState(const Version &version, Instant now) const;
    void recordOwnedChunksTime(Version &version, Instant now);
    void startFetch(const Chunk &chunk, const ChunkSource &source, Instant now, Actions &actions);
    void backOffSource(const FetchFinished &event, Instant now);
    void setPhase(const Digest &chunk, ChunkPhase phase);
    ChunkPhase phaseOf(const Digest &chunk) const;
    bool isOriginAvailable(Instant now) const;
    bool isLinkSlow() const;
    bool isInOtherZone(const ChunkSource &source) const;
    Duration stallTimeoutFor(const ChunkSource &source) const;

    TransferOptions m_options;
    TransferPolicy m_policy;
    LinkRateLimiter m_linkLimiter;
    LinkRateLimiter m_zoneLinkLimiter;
    std::uint32_t m_originCopies = 1;
    std::map<Digest, Version> m_versions;
    std::map<InstanceId, Peer> m_peers;
    std::unordered_map<Digest, ActiveFetch> m_activeFetches;
    /** Sizes of the chunks that are held; their sum is m_heldBytes. */
    std::unordered_map<Digest, std::uint64_t> m_storedChunks;
    std::uint64_t m_storedBytes = 0;
    std::uint32_t m_originFetches = 0;
    std::uint32_t m_originFailures = 0;
    Instant m_originCooldownUntil;
    /** Time that a chunk took of late, by whether it came from afar. */
    std::map<bool, Duration> m_averageChunkTime;
    std::string m_problem;
};

} // namespace greengageseam
