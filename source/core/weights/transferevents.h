/**
 * The input events of the transfer planner, and the actions that it returns.
 */
#pragma once

#include "core/common/common.h"
#include "core/weights/chunkbits.h"
#include "core/weights/chunkownership.h"
#include "core/weights/manifest.h"
#include "core/weights/sources.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace greengageseam {

/** The set of versions that this agent should store, and where else each of them is placed. */
struct WantedVersionsChanged
{
    std::map<Digest, VersionPlacement> versions;
};

/** The set of peers from which weights may be fetched. */
struct PeersChanged
{
    std::vector<WeightPeer> peers;
};

/** The maximum number of copies of a version that may be read from the origin. */
struct OriginCopiesChanged
{
    std::uint32_t copies = 1;
};

/** A manifest was fetched and matches its digest. */
struct ManifestReceived
{
    Digest digest;
    Manifest manifest;
};

/** A manifest could not be fetched. */
struct ManifestFailed
{
    Digest digest;
};

/** A peer announced which chunks of a version it has. */
struct PeerChunksAnnounced
{
    InstanceId peer;
    ZoneName zone;
    Digest manifest;
    ChunkBits bits;
};

/** The link to a peer is closed; the peer's announcements are no longer valid. */
struct PeerDisconnected
{
    InstanceId peer;
};

/** The result of a fetch. Verified means that the chunk's digest was checked. */
enum class FetchResult { Verified, Corrupt, Busy, NotAvailable, Failed };

/** The fetch of a chunk has finished, successfully or not. */
struct FetchFinished
{
    Chunk chunk;
    ChunkSource source;
    FetchResult result = FetchResult::Failed;
    /** The back-off that the source requested; 0 if it requested none. */
    Duration retryAfter {};
};

/** The engine has started to read a version, which must be retained until it has finished. */
struct EngineReadStarted
{
    Digest manifest;
};

/** The number of live requests in progress has become high, or low again. */
struct LiveLoadChanged
{
    bool isHigh = false;
};

/** A periodic timer event. */
struct TransferTick
{ };

/** An input event of the transfer planner. */
using TransferEvent =
        std::variant<WantedVersionsChanged, PeersChanged, OriginCopiesChanged, ManifestReceived,
                     ManifestFailed, PeerChunksAnnounced, PeerDisconnected, FetchFinished,
                     EngineReadStarted, LiveLoadChanged, TransferTick>;

/** Fetch a manifest, and report ManifestReceived or ManifestFailed. */
struct FetchManifest
{
    Digest digest;
    ChunkSource source;

    auto operator<=>(const FetchManifest &) const = default;
};

/** Fetch a chunk, verify its digest, and report FetchFinished. */
struct FetchChunk
{
    Chunk chunk;
    ChunkSource source;
    /** Time without progress after which the fetch is abandoned as stalled. */
    Duration stallTimeout {};

    auto operator<=>(const FetchChunk &) const = default;
};

/** Cancel the fetch of a chunk that is no longer needed. Do not report a result for it. */
struct CancelFetch
{
    Digest chunk;

    auto operator<=>(const CancelFetch &) const = default;
};

/** Discard the bytes of a chunk. */
struct DropChunk
{
    Digest chunk;

    auto operator<=>(const DropChunk &) const = default;
};

/** An action that the transfer planner requests. */
using TransferAction = std::variant<FetchManifest, FetchChunk, CancelFetch, DropChunk>;

} // namespace greengageseam
