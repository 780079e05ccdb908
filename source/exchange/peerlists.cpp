#include "exchange/peerlists.h"

#include "agent/peerchunks.h"

namespace greengageseam {

namespace {

/** A peer that does not have the list yet sends it as soon as it does. */
constexpr auto answerLimit = std::chrono::milliseconds(500);

Awaitable<Outcome<PieceList>> readList(asio::any_io_executor executor,
                                       MailboxPtr<ChunkLinksCommand> links, InstanceId peer,
                                       ListWantedMessage wanted)
{
    const auto reply = makeMailbox<Outcome<PeerStream>>(executor, 1);
    ChunkLinksCommand open = OpenPeerStream {peer, reply};
    co_await links->send(std::move(open));
    const std::optional<Outcome<PeerStream>> opened = co_await reply->receiveWithin(answerLimit);
    if (!opened) {
        co_return Failure {ErrorKind::DeadlineExceeded, "the peer could not be reached in time"};
    }
    if (const Failure *failure = failureOf(*opened)) {
        co_return *failure;
    }
    const auto &[link, stream] = std::get<PeerStream>(*opened);
    const MailboxPtr<StreamEvent> events = makeReadEvents(executor);
    link.listen(stream, events);
    link.post(stream, wanted);
    const std::optional<StreamEvent> event = co_await events->receiveWithin(answerLimit);
    link.forget(stream);
    const auto *message = event ? std::get_if<Message>(&*event) : nullptr;
    const auto *answer = message == nullptr ? nullptr : std::get_if<PieceListMessage>(message);
    if (answer == nullptr) {
        co_return Failure {ErrorKind::DeadlineExceeded,
                           "the peer did not send the piece list in time"};
    }
    const bool isMeant =
            answer->list.model == wanted.model && answer->list.version == wanted.version;
    if (!isMeant || answer->list.digests.empty()) {
        co_return Failure {ErrorKind::ProtocolViolation,
                           "the peer sent an empty piece list or that of another version"};
    }
    co_return answer->list;
}

} // namespace

ReadPeerList makeListReader(const asio::any_io_executor &executor,
                            MailboxPtr<ChunkLinksCommand> links)
{
    return [executor, links = std::move(links)](InstanceId peer, ModelName model,
                                                std::uint64_t version) {
        return readList(executor, links, std::move(peer),
                        ListWantedMessage {std::move(model), version});
    };
}

} // namespace greengageseam
