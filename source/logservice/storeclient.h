/**
 * Client of the weight store, the origin of all weights.
 */
#pragma once

#include "core/weights/weights.h"
#include "net/mailbox.h"

#include <functional>
#include <string>

namespace greengageseam {

/** What the origin answered to the reading of a chunk. */
struct OriginResponse
{
    /** The chunk; Overloaded while the origin limits its rate. */
    Outcome<std::string> bytes;
    /** How long the origin asks to be left alone; 0 if it does not say. */
    Duration retryAfter {};

    auto operator<=>(const OriginResponse &) const = default;
};

/** Hook that reads a chunk from the origin. */
using ReadOriginChunk = std::function<Awaitable<OriginResponse>(Chunk chunk)>;
/** Hook that reads a manifest from the origin. */
using ReadOriginManifest = std::function<Awaitable<Outcome<Manifest>>(Digest digest)>;

/** Speaks to the weight store over HTTP, and checks all that it gives. */
class StoreClient
{
public:
    /** @param limit time for one call */
    StoreClient(const asio::any_io_executor &executor, Address address, Duration timeout);

    /** @returns the manifest; CorruptData if it does not match, NotFound if there is none */
    Awaitable<Outcome<Manifest>> readManifest(Digest digest) const;
    /** @returns the chunk's bytes; CorruptData if they do not match */
    Awaitable<OriginResponse> readChunk(Chunk chunk) const;
    /** @returns whether the store has a chunk */
    Awaitable<Outcome<bool>> hasChunk(Digest digest) const;
    /** Stores a chunk. */
    Awaitable<VoidOutcome> writeChunk(Digest digest, std::string bytes) const;
    /** Stores a manifest under its digest. */
    Awaitable<VoidOutcome> writeManifest(Manifest manifest) const;

    /** @returns readChunk() as a hook */
    ReadOriginChunk chunkReader() const;
    /** @returns readManifest() as a hook */
    ReadOriginManifest manifestReader() const;

private:
    Awaitable<OriginResponse> get(std::string target, std::size_t maxBytes) const;
    Awaitable<VoidOutcome> put(std::string target, std::string body) const;

    asio::any_io_executor m_executor;
    Address m_address;
    Duration m_timeout;
};

} // namespace greengageseam
