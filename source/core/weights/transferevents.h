/**
 * What the transfer planner is told, and what it wants done.
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

/** The versions that belong here, and where else they belong. */
struct WantedVersionsChanged
{
    std::map<Digest, VersionPlacement> versions;
};

/** The agents that weights may be read from. */
struct PeersChanged
{
    std::vector<WeightPeer> peers;
};

/** How many copies of a version may be read from the origin. */
struct OriginCopiesChanged
{
    std::uint32_t copies = 1;
};

/** A manifest was read and matches its digest. */
struct ManifestReceived
{
    Digest digest;
    Manifest manifest;
};

/** A manifest could not be read. */
struct ManifestFailed
{
    Digest digest;
};

/** A peer says which chunks it offers. */
struct PeerChunksAnnounced
{
    InstanceId peer;
    ZoneName zone;
    Digest manifest;
    ChunkBits bits;
};

/** The link to a peer has ended; what it offered is no longer known. */
struct PeerDisconnected
{
    InstanceId peer;
};

/** How the reading of a chunk went. Verified only after its digest was checked. */
enum class FetchResult { Verified, Corrupt, Busy, NotAvailable, Failed };

/** The reading of a chunk has ended. */
struct FetchFinished
{
    Chunk chunk;
    ChunkSource source;
    FetchResult result = FetchResult::Failed;
    /** How long the source asks to be left alone; 0 if it does not say. */
    Duration retryAfter {};
};

/** The engine reads a version, which has to stay until it has done so. */
struct EngineReadStarted
{
    Digest manifest;
};

/** Many live requests are in progress, or few again. */
struct LiveLoadChanged
{
    bool isHigh = false;
};

/** Time passes. */
struct TransferTick
{ };

/** Events of the planner. */
using TransferEvent =
        std::variant<WantedVersionsChanged, PeersChanged, OriginCopiesChanged, ManifestReceived,
                     ManifestFailed, PeerChunksAnnounced, PeerDisconnected, FetchFinished,
                     EngineReadStarted, LiveLoadChanged, TransferTick>;

/** Read a manifest. */
struct FetchManifest
{
    Digest digest;
    ChunkSource source;

    auto operator<=>(const FetchManifest &) const = default;
};

/** Read a chunk, check it, and tell the planner. */
struct FetchChunk
{
    Chunk chunk;
    ChunkSource source;
    /** Time without progress after which the source counts as stalled. */
    Duration stallTimeout {};

    auto operator<=>(const FetchChunk &) const = default;
};

/** Stop the reading of a chunk that nobody wants any more; nothing is to be told of it. */
struct CancelFetch
{
    Digest chunk;

    auto operator<=>(const CancelFetch &) const = default;
};

/** Forget the bytes of a chunk. */
struct DropChunk
{
    Digest chunk;

    auto operator<=>(const DropChunk &) const = default;
};

/** Actions of the planner. */
using TransferAction = std::variant<FetchManifest, FetchChunk, CancelFetch, DropChunk>;

} // namespace greengageseam
