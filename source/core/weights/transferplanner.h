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
    bool makesManifests = false;
    /** Time after which the next owner of a chunk may read it; 0 to tell by the own share. */
    Duration ownerPatience {};
    /** Whether chunks are read one by one while they are slow, since others use the link. */
    bool yieldsWhenSlow = false;
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
    std::set<Digest> complete() const;
    /** @returns whether a version is held complete, wanted or not */
    bool isComplete(const Digest &manifest) const;
    /** @returns whether a chunk is held */
    bool holdsChunk(const Digest &chunk) const { return m_held.contains(chunk); }
    /** @returns whether all wanted versions are held complete */
    bool isDone() const;
    /** @returns the versions of which something may be offered */
    std::vector<Digest> offered() const;
    /** @returns the chunks that are held of a version */
    ChunkBits held(const Digest &manifest) const;
    /** @returns the manifest of a version, or null */
    const Manifest *manifest(const Digest &digest) const;
    /** @returns the peers to keep links to while something is missing */
    std::vector<WeightPeer> partners() const;
    /** @returns bytes of weights that are held */
    std::uint64_t heldBytes() const { return m_heldBytes; }
    /** @returns why a wanted version cannot be held; empty if all can */
    const std::string &trouble() const { return m_trouble; }

private:
    enum class ChunkPhase : std::uint8_t { Missing, Reading, Held };

    struct Version
    {
        VersionPlaces places;
        /** False while the version is only kept for what may still need it. */
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
        /** Time that was spent on reading chunks from it. */
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

    /** @returns the versions of which chunks are missing, in the order in which they are read */
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
    /** Sizes of the chunks that are held; their sum is m_heldBytes. */
    std::unordered_map<Digest, std::uint64_t> m_held;
    std::uint64_t m_heldBytes = 0;
    std::uint32_t m_originReading = 0;
    std::uint32_t m_originFailures = 0;
    Instant m_originAfter;
    /** Time that a chunk took of late, by whether it came from afar. */
    std::map<bool, Duration> m_chunkTime;
    std::string m_trouble;
};

} // namespace greengageseam
