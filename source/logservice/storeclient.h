/**
 * HTTP client of the weight store, the origin of all weights.
 */
#pragma once

#include "core/weights/weights.h"
#include "net/mailbox.h"

#include <functional>
#include <string>

namespace greengageseam {

/** Response of the origin to the read of a chunk. */
struct OriginResponse
{
    /** The chunk; or Overloaded while the origin limits the request rate. */
    Outcome<std::string> bytes;
    /** Delay before the next read that the origin requests (`Retry-After`); 0 if none. */
    Duration retryAfter {};

    auto operator<=>(const OriginResponse &) const = default;
};

/** Hook that reads a chunk from the origin. */
using ReadOriginChunk = std::function<Awaitable<OriginResponse>(Chunk chunk)>;
/** Hook that reads a manifest from the origin. */
using ReadOriginManifest = std::function<Awaitable<Outcome<Manifest>>(Digest digest)>;

/** Calls the weight store over HTTP, and verifies digests of what it reads. */
class StoreClient
{
public:
    /** @param timeout time limit for one call */
    StoreClient(const asio::any_io_executor &executor, Address address, Duration timeout);

    /** @returns the manifest; CorruptData if its digest does not match, NotFound if missing */
    Awaitable<Outcome<Manifest>> readManifest(Digest digest) const;
    /** @returns the chunk's bytes; CorruptData if their digest does not match */
    Awaitable<OriginResponse> readChunk(Chunk chunk) const;
    /** @returns true if the store has the chunk */
    Awaitable<Outcome<bool>> hasChunk(Digest digest) const;
    /** Stores a chunk under @p digest. */
    Awaitable<VoidOutcome> writeChunk(Digest digest, std::string bytes) const;
    /** Stores a manifest under its digest. */
    Awaitable<VoidOutcome> writeManifest(Manifest manifest) const;

    /** @returns readChunk() as a hook that holds a copy of this client */
    ReadOriginChunk chunkReader() const;
    /** @returns readManifest() as a hook that holds a copy of this client */
    ReadOriginManifest manifestReader() const;

private:
    Awaitable<OriginResponse> get(std::string target, std::size_t maxBytes) const;
    Awaitable<VoidOutcome> put(std::string target, std::string body) const;

    asio::any_io_executor m_executor;
    Address m_address;
    Duration m_timeout;
};

} // namespace greengageseam
