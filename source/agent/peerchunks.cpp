#include "agent/peerchunks.h"

namespace greengageseam {

namespace {

constexpr std::size_t streamCapacity = 1024;

/** Collects the parts of a chunk. */
Awaitable<Outcome<std::string>> collectParts(MailboxPtr<StreamEvent> events, std::uint64_t size,
                                             Duration limit)
{
    std::string bytes;
    while (true) {
        const std::optional<StreamEvent> event = co_await events->receiveWithin(limit);
        const auto *message = event ? std::get_if<Message>(&*event) : nullptr;
        if (message == nullptr) {
            co_return Failure {ErrorKind::DeadlineExceeded, "a peer stopped sending a chunk"};
        }
        if (const auto *failed = std::get_if<FailedMessage>(message)) {
            co_return failed->failure;
        }
        const auto *part = std::get_if<ChunkPartMessage>(message);
        if (part == nullptr || bytes.size() + part->bytes.size() > size) {
            co_return Failure {ErrorKind::ProtocolViolation, "a peer sent what is no chunk"};
        }
        bytes += part->bytes;
        if (part->isLast) {
            co_return bytes;
        }
    }
}

Awaitable<Outcome<std::string>> readChunk(asio::any_io_executor executor, PeerIdentity identity,
                                          Address peer, Chunk chunk, Duration limit, Log log)
{
    LinkHooks hooks;
    hooks.receive = [](const PeerLinkHandle &, const StreamMessage &) { };
    hooks.ended = [](const PeerLinkHandle &, const LinkClosed &) { };
    const Outcome<PeerLinkHandle> dialed =
            co_await dialPeer(executor, peer, identity, hooks, limit, log);
    if (const Failure *failure = failureOf(dialed)) {
        co_return *failure;
    }
    const auto &link = std::get<PeerLinkHandle>(dialed);
    const StreamId stream = link.nextStream();
    const auto events = makeMailbox<StreamEvent>(executor, streamCapacity);
    link.listen(stream, events);
    link.post(stream, ChunkWantedMessage {chunk.digest});
    Outcome<std::string> bytes = co_await collectParts(events, chunk.size, limit);
    link.close("the chunk was read");
    co_return bytes;
}

} // namespace

ReadPeerChunk makePeerChunkReader(const asio::any_io_executor &executor, PeerIdentity identity,
                                  Duration limit, Log log)
{
    return [executor, identity = std::move(identity), limit, log = std::move(log)](Address peer,
                                                                                   Chunk chunk) {
        return readChunk(executor, identity, std::move(peer), std::move(chunk), limit, log);
    };
}

} // namespace greengageseam
