#include "agent/peerchunks.h"

namespace greengageseam {

namespace {

/** Large enough for all parts of the largest chunk. */
constexpr std::size_t streamCapacity = 4096;
constexpr auto linkTimeout = std::chrono::seconds(3);

/** Collects the parts of the requested bytes. */
Awaitable<Outcome<std::string>> collectParts(PeerReadRequest request)
{
    std::string bytes;
    while (true) {
        const std::optional<StreamEvent> event =
                co_await request.events->receiveWithin(request.stallTimeout);
        const auto *message = event ? std::get_if<Message>(&*event) : nullptr;
        if (message == nullptr) {
            co_return Failure {
                    ErrorKind::DeadlineExceeded,
                    "a peer sent no further part of a chunk in time, or the read was cancelled"};
        }
        if (const auto *failed = std::get_if<FailedMessage>(message)) {
            co_return failed->failure;
        }
        const auto *part = std::get_if<ChunkPartMessage>(message);
        if (part == nullptr || bytes.size() + part->bytes.size() > request.maxBytes) {
            co_return Failure {
                    ErrorKind::ProtocolViolation,
                    "a peer sent an unexpected message or more bytes than the chunk has"};
        }
        bytes += part->bytes;
        if (part->isLast) {
            co_return bytes;
        }
    }
}

Awaitable<Outcome<std::string>> readFromPeer(asio::any_io_executor executor,
                                             MailboxPtr<ChunkLinksCommand> links,
                                             PeerReadRequest request)
{
    const auto reply = makeMailbox<Outcome<PeerStream>>(executor, 1);
    ChunkLinksCommand open = OpenPeerStream {request.peer, reply};
    co_await links->send(std::move(open));
    const std::optional<Outcome<PeerStream>> opened = co_await reply->receiveWithin(linkTimeout);
    if (!opened) {
        co_return Failure {ErrorKind::DeadlineExceeded, "a peer could not be reached in time"};
    }
    if (const Failure *failure = failureOf(*opened)) {
        co_return *failure;
    }
    const auto &[link, stream] = std::get<PeerStream>(*opened);
    const MailboxPtr<StreamEvent> events = request.events;
    link.subscribe(stream, events);
    link.post(stream, ChunkRequestMessage {request.digest});
    Outcome<std::string> bytes = co_await collectParts(std::move(request));
    link.unsubscribe(stream);
    co_return bytes;
}

} // namespace

MailboxPtr<StreamEvent> makeReadEvents(const asio::any_io_executor &executor)
{
    return makeMailbox<StreamEvent>(executor, streamCapacity);
}

ReadPeer makePeerReader(const asio::any_io_executor &executor, MailboxPtr<ChunkLinksCommand> links)
{
    return [executor, links = std::move(links)](PeerReadRequest request) {
        return readFromPeer(executor, links, std::move(request));
    };
}

} // namespace greengageseam
