#include "exchange/peerlists.h"

#include "agent/peerchunks.h"

namespace greengageseam {

namespace {

/**
 * Timeout for opening the stream and for the response. A peer that does not have the list yet sends
 * it as soon as it does.
 */
constexpr auto responseTimeout = std::chrono::milliseconds(500);

Awaitable<Outcome<PieceList>> requestList(asio::any_io_executor executor,
                                          MailboxPtr<ChunkLinksCommand> links, InstanceId peer,
                                          PieceListRequestMessage wanted)
{
    const auto reply = makeMailbox<Outcome<PeerStream>>(executor, 1);
    ChunkLinksCommand open = OpenPeerStream {peer, reply};
    co_await links->send(std::move(open));
    const std::optional<Outcome<PeerStream>> opened =
            co_await reply->receiveWithin(responseTimeout);
    if (!opened) {
        co_return Failure {ErrorKind::DeadlineExceeded, "the peer could not be reached in time"};
    }
    if (const Failure *failure = failureOf(*opened)) {
        co_return *failure;
    }
    const auto &[link, stream] = std::get<PeerStream>(*opened);
    const MailboxPtr<StreamEvent> events = makeReadEvents(executor);
    link.subscribe(stream, events);
    link.post(stream, wanted);
    const std::optional<StreamEvent> event = co_await events->receiveWithin(responseTimeout);
    link.unsubscribe(stream);
    const auto *message = event ? std::get_if<Message>(&*event) : nullptr;
    const auto *response = message == nullptr ? nullptr : std::get_if<PieceListMessage>(message);
    if (response == nullptr) {
        co_return Failure {ErrorKind::DeadlineExceeded,
                           "the peer did not send the piece list in time"};
    }
    const bool isRequestedVersion =
            response->list.model == wanted.model && response->list.version == wanted.version;
    if (!isRequestedVersion || response->list.digests.empty()) {
        co_return Failure {ErrorKind::ProtocolViolation,
                           "the peer sent an empty piece list or that of another version"};
    }
    co_return response->list;
}

} // namespace

ReadPeerList makeListReader(const asio::any_io_executor &executor,
                            MailboxPtr<ChunkLinksCommand> links)
{
    return [executor, links = std::move(links)](InstanceId peer, ModelName model,
                                                std::uint64_t version) {
        return requestList(executor, links, std::move(peer),
                           PieceListRequestMessage {std::move(model), version});
    };
}

} // namespace greengageseam
