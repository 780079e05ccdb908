#include "agent/weightreads.h"

#include "core/common/hashing.h"

#include <memory>

namespace greengageseam {

namespace {

constexpr std::uint64_t maxManifestBytes = 64ULL * 1024 * 1024;
constexpr auto manifestStallTimeout = std::chrono::seconds(2);

/** @returns the bytes if they match their digest, CorruptData otherwise */
Outcome<ChunkBytes> verifyChunk(Outcome<std::string> read, const Chunk &chunk)
{
    if (const Failure *failure = failureOf(read)) {
        return *failure;
    }
    if (digestOf(std::get<std::string>(read)) != chunk.digest) {
        return Failure {ErrorKind::CorruptData,
                        "chunk " + chunk.digest.text() + " does not match its digest"};
    }
    return std::make_shared<const std::string>(std::get<std::string>(std::move(read)));
}

} // namespace

Awaitable<ManifestFetched> readManifest(const asio::any_io_executor &executor,
                                        const WeightSources &sources, FetchManifest action)
{
    Outcome<Manifest> manifest = Failure {};
    if (action.source.isOrigin()) {
        manifest = co_await sources.readManifest(action.digest);
    } else {
        PeerReadRequest read {action.source.peer, action.digest, maxManifestBytes,
                              manifestStallTimeout, makeReadEvents(executor)};
        const Outcome<std::string> text = co_await sources.readPeer(std::move(read));
        const Failure *failure = failureOf(text);
        manifest = failure != nullptr ? Outcome<Manifest>(*failure) : toOutcome([&] {
            return parseManifest(std::get<std::string>(text), action.digest);
        });
    }
    co_return ManifestFetched {action.digest, std::move(manifest)};
}

Awaitable<ChunkFetched> readChunk(const WeightSources &sources, FetchChunk action,
                                  MailboxPtr<StreamEvent> events)
{
    Outcome<std::string> bytes = Failure {};
    Duration retryAfter {};
    if (action.source.isOrigin()) {
        OriginResponse response = co_await sources.readOrigin(action.chunk);
        bytes = std::move(response.bytes);
        retryAfter = response.retryAfter;
    } else {
        PeerReadRequest read {action.source.peer, action.chunk.digest, action.chunk.size,
                              action.stallTimeout, std::move(events)};
        bytes = co_await sources.readPeer(std::move(read));
    }
    Outcome<ChunkBytes> checked = verifyChunk(std::move(bytes), action.chunk);
    co_return ChunkFetched {action.chunk, action.source, std::move(checked), retryAfter};
}

} // namespace greengageseam
