/**
 * The transfer planner: decides which chunks an agent fetches, when, and from which source.
 */
#pragma once

#include "core/weights/linkratelimiter.h"
#include "core/weights/transferevents.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace greengageseam {

/** Configuration and limits of the transfer planner. */
struct TransferOptions
{
    InstanceId self;
    ZoneName zone;
    /** The zone of the weight store; empty if the store is equally close to all zones. */
    ZoneName storeZone;
    /** Maximum number of concurrent fetches. */
    std::uint32_t maxFetches = 12;
    /** Whether manifests are built locally, so that none is requested from a peer. */
    bool buildsManifestsLocally = false;
    /**
     * Time after which the next-ranked owner of a chunk takes over; 0 to derive the time from how
     * long this agent took for its own chunks.
     */
    Duration ownerTimeout {};
    /** Whether to limit fetches to one at a time while they are slow, to relieve a shared link. */
    bool singleFetchWhenSlow = false;
    std::uint32_t maxFetchesPerPeer = 2;
    std::uint32_t maxOriginFetches = 2;
    /** Maximum rate of requested weights in bytes per second; 0 for no limit. */
    std::uint64_t linkBytesPerSecond = 0;
    /** Maximum rate of weights requested from other zones in bytes per second; 0 for no limit. */
    std::uint64_t zoneLinkBytesPerSecond = 0;
    /** Maximum number of bytes of weights to store; 0 for no limit. */
    std::uint64_t memoryBytes = 0;

    TransferOptions withLinkBytesPerSecond(std::uint64_t value) const;
    TransferOptions withZoneLinkBytesPerSecond(std::uint64_t value) const;
    TransferOptions withMemoryBytes(std::uint64_t value) const;
    auto operator<=>(const TransferOptions &) const = default;
};

/**
 * Plans the weight transfers of one agent. It takes events and the current time as input, and
 * returns actions for the caller to carry out; it performs no I/O itself.
 *
 * Unlike most core types it is modified in place, since copying its tables for each event would
 * cost more than handling the event. A chunk is offered to peers, counted as stored, or counted
 * towards a complete version only after its fetch was reported as FetchResult::Verified.
 *
 * @see WeightExchange
 */
class TransferPlanner
{
public:
    TransferPlanner(TransferOptions options, TransferPolicy policy, Instant now);

    /**
     * Handles an event. PeerChunksAnnounced only updates the state and returns no actions; the next
     * event of another kind takes the announcement into account.
     *
     * @param event the event
     * @param now the current time
     * @returns the actions to carry out, in order
     */
    std::vector<TransferAction> step(const TransferEvent &event, Instant now);

    /** @returns the wanted versions of which all chunks are stored */
    std::set<Digest> completeVersions() const;
    /** @returns whether all chunks of a version are stored, whether or not it is wanted */
    bool isComplete(const Digest &manifest) const;
    /** @returns whether a chunk is stored */
    bool hasChunk(const Digest &chunk) const { return m_storedChunks.contains(chunk); }
    /** @returns whether all wanted versions are complete */
    bool isDone() const;
    /** @returns the versions whose manifest is known, so that their chunks can be offered */
    std::vector<Digest> offeredVersions() const;
    /** @returns the chunks of a version that are stored */
    ChunkBits storedChunks(const Digest &manifest) const;
    /** @returns the manifest of a version, or a null pointer if it is not known */
    const Manifest *manifest(const Digest &digest) const;
    /** @returns the peers to stay linked to while chunks or manifests are missing */
    std::vector<WeightPeer> peersToLink() const;
    /** @returns the number of bytes of weights that are stored */
    std::uint64_t storedBytes() const { return m_storedBytes; }
    /** @returns why a version does not fit into memory; empty if all versions fit */
    const std::string &problem() const { return m_problem; }

private:
    enum class ChunkPhase : std::uint8_t { Missing, Fetching, Stored };

    struct Version
    {
        VersionPlacement placement;
        /** False if the version is only retained for an engine or a pending manifest. */
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
        /** Total time spent on fetches from the peer. */
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

    /** @returns the wanted versions with missing chunks, in the order in which to fetch them */
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
    /** Sizes of the stored chunks in bytes; their sum is m_storedBytes. */
    std::unordered_map<Digest, std::uint64_t> m_storedChunks;
    std::uint64_t m_storedBytes = 0;
    std::uint32_t m_originFetches = 0;
    std::uint32_t m_originFailures = 0;
    Instant m_originCooldownUntil;
    /** Moving averages of the fetch time of a chunk, by whether it came from another zone. */
    std::map<bool, Duration> m_averageChunkTime;
    std::string m_problem;
};

} // namespace greengageseam
