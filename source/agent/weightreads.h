/**
 * Reads of manifests and chunks from the origin or from a peer, with their verification.
 */
#pragma once

#include "agent/chunkserver.h"
#include "agent/peerchunks.h"
#include "core/weights/weights.h"
#include "logservice/storeclient.h"

namespace greengageseam {

/** Reading a manifest has succeeded or failed. */
struct ManifestFetched
{
    Digest digest;
    Outcome<Manifest> manifest;
};

/** Reading and verifying a chunk has succeeded or failed. */
struct ChunkFetched
{
    Chunk chunk;
    ChunkSource source;
    Outcome<ChunkBytes> bytes;
    /** Delay before the next read that the origin requested; 0 if it requested none. */
    Duration retryAfter {};
};

/** Hooks that read weights from the origin and from peers. */
struct WeightSources
{
    ReadOriginManifest readManifest;
    ReadOriginChunk readOrigin;
    ReadPeer readPeer;
};

/** Reads a manifest from the source that the planner has chosen, and verifies its digest. */
Awaitable<ManifestFetched> readManifest(const asio::any_io_executor &executor,
                                        const WeightSources &sources, FetchManifest action);

/**
 * Reads a chunk from the source that the planner has chosen, and verifies its digest.
 * @param events mailbox of the read, through which it can be cancelled
 */
Awaitable<ChunkFetched> readChunk(const WeightSources &sources, FetchChunk action,
                                  MailboxPtr<StreamEvent> events);

} // namespace greengageseam
