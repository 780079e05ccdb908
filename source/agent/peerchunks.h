/**
 * Reads chunks and manifests of weights from other agents.
 */
#pragma once

#include "agent/chunklinks.h"

namespace greengageseam {

/** A request to read a chunk, or the text of a manifest, from a peer. */
struct PeerReadRequest
{
    InstanceId peer;
    Digest digest;
    /** Maximum size of the result; a longer one is a protocol violation. */
    std::uint64_t maxBytes = 0;
    /** Time without progress after which the read fails. */
    Duration stallTimeout {};
    /** Receives the peer's messages. Posting LinkClosed cancels the read. */
    MailboxPtr<StreamEvent> events;
};

/** Hook that reads unverified bytes from a peer. @returns Overloaded if its upload queue is full */
using ReadPeer = std::function<Awaitable<Outcome<std::string>>(PeerReadRequest request)>;

/** @returns a mailbox for the messages of one read */
MailboxPtr<StreamEvent> makeReadEvents(const asio::any_io_executor &executor);

/** @returns a hook that reads over the links of the ChunkLinks task behind @p links */
ReadPeer makePeerReader(const asio::any_io_executor &executor, MailboxPtr<ChunkLinksCommand> links);

} // namespace greengageseam
