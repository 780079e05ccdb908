/**
 * The transfer planner: decides which chunks an agent fetches, when, and from which source.
 */
#pragma once

#include "core/weights/linkpace.h"
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
    bool makesManifests = false;
    /**
     * Time after which the next-ranked owner of a chunk takes over; 0 to derive
     * the time from how long this agent took for its own chunks.
     */
    Duration ownerPatience {};
    /** Whether to limit fetches to one at a time while they are slow, to relieve a shared link. */
    bool yieldsWhenSlow = false;
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
    std::set<Digest> complete() const;
    /** @returns whether all chunks of a version are stored, whether or not it is wanted */
    bool isWhole(const Digest &manifest) const;
    /** @returns whether a chunk is stored */
    bool holdsChunk(const Digest &chunk) const { return m_held.contains(chunk); }
    /** @returns whether all wanted versions are complete */
    bool isDone() const;
    /** @returns the versions whose manifest is known, so that their chunks can be offered */
    std::vector<Digest> offered() const;
    /** @returns the chunks of a version that are stored */
    ChunkBits held(const Digest &manifest) const;
    /** @returns the manifest of a version, or a null pointer if it is not known */
    const Manifest *manifest(const Digest &digest) const;
    /** @returns the peers to stay linked to while chunks or manifests are missing */
    std::vector<WeightPeer> partners() const;
    /** @returns the number of bytes of weights that are stored */
    std::uint64_t heldBytes() const { return m_heldBytes; }
    /** @returns why a version does not fit into memory; empty if all versions fit */
    const std::string &trouble() const { return m_trouble; }

private:
    enum class ChunkPhase : std::uint8_t { Missing, Reading, Held };

    struct Version
    {
        VersionPlaces places;
        /** False if the version is only retained for an engine or a pending manifest. */
        bool isWanted = true;
        bool isRefused = false;
        bool isManifestRead = false;
        std::uint32_t manifestTries = 0;
        Instant manifestAfter;
        std::optional<Manifest> manifest;
        Instant since;
        std::vector<ChunkPhase> phases;
        std::unordered_map<Digest, std::vector<std::size_t>> index;
        TurnTable turns;
        std::optional<Duration> shareTook;
        std::size_t missing = 0;
        Instant keepUntil;
    };

    struct Peer
    {
        WeightPeer info;
        std::map<Digest, ChunkBits> bits;
        std::uint32_t outstanding = 0;
        /** Total time spent on fetches from the peer. */
        Duration waited {};
        std::uint32_t failures = 0;
        Instant leftAloneUntil;
        std::uint64_t tieBreak = 1;
    };

    struct Wish
    {
        std::size_t index = 0;
        std::size_t offers = 0;
        std::uint64_t tieBreak = 0;
    };

    struct Reading
    {
        Chunk chunk;
        ChunkSource source;
        Instant since;
    };

    using Actions = std::vector<TransferAction>;

    /** @returns the wanted versions with missing chunks, in the order in which to fetch them */
    std::vector<Digest> missingInOrder() const;
    const ZoneName &storeZone(const VersionPlaces &places) const;

    void apply(const VersionsWanted &event, Instant now, Actions &actions);
    void apply(const PeersKnown &event, Instant now, Actions &actions);
    void apply(const OriginCopiesSet &event, Instant now, Actions &actions);
    void apply(const ManifestKnown &event, Instant now, Actions &actions);
    void apply(const ManifestFailed &event, Instant now, Actions &actions);
    void apply(const PeerHas &event, Instant now, Actions &actions);
    void apply(const PeerGone &event, Instant now, Actions &actions);
    void apply(const FetchEnded &event, Instant now, Actions &actions);
    void apply(const EngineReads &event, Instant now, Actions &actions);
    void apply(const LiveLoadSeen &event, Instant now, Actions &actions);
    void apply(const TimePassed &event, Instant now, Actions &actions);

    void dropUnneeded(Instant now, Actions &actions);
    void admit();
    void planManifests(Instant now, Actions &actions);
    void planChunks(const Digest &digest, Version &version, Instant now, Actions &actions);
    std::vector<Wish> wishes(const Digest &digest, const Version &version, Instant now) const;
    SourceQuestion questionFor(const Digest &digest, const Version &version, std::size_t index,
                               const TurnState &state, Instant now) const;
    TurnState turnState(const Version &version, Instant now) const;
    void noteShare(Version &version, Instant now);
    void begin(const Chunk &chunk, const ChunkSource &source, Instant now, Actions &actions);
    void blame(const FetchEnded &event, Instant now);
    void setPhase(const Digest &chunk, ChunkPhase phase);
    ChunkPhase phaseOf(const Digest &chunk) const;
    bool isOriginUsable(Instant now) const;
    bool isLinkSlow() const;
    bool isFar(const ChunkSource &source) const;
    Duration patienceFor(const ChunkSource &source) const;

    TransferOptions m_options;
    TransferPolicy m_policy;
    LinkPace m_pace;
    LinkPace m_zonePace;
    std::uint32_t m_originCopies = 1;
    std::map<Digest, Version> m_versions;
    std::map<InstanceId, Peer> m_peers;
    std::unordered_map<Digest, Reading> m_reading;
    /** Sizes of the stored chunks in bytes; their sum is m_storedBytes. */
    std::unordered_map<Digest, std::uint64_t> m_held;
    std::uint64_t m_heldBytes = 0;
    std::uint32_t m_originReading = 0;
    std::uint32_t m_originFailures = 0;
    Instant m_originAfter;
    /** Moving average of the fetch time of a chunk; the key is whether it came from another zone.
     */
    std::map<bool, Duration> m_chunkTime;
    std::string m_trouble;
};

} // namespace greengageseam
