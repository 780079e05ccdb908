/**
 * Reads weights from other agents.
 */
#pragma once

#include "agent/chunklinks.h"

namespace greengageseam {

/** What is to be read from a peer: a chunk, or the text of a manifest. */
struct PeerReadRequest
{
    InstanceId peer;
    Digest digest;
    std::uint64_t maxBytes = 0;
    /** Time without any progress after which the peer is given up. */
    Duration stallTimeout {};
    /** Gets the peer's messages; LinkClosed ends the reading at once. */
    MailboxPtr<StreamEvent> events;
};

/** Hook that reads from a peer, not yet verified. @returns Overloaded if all slots are taken */
using ReadPeer = std::function<Awaitable<Outcome<std::string>>(PeerReadRequest request)>;

/** @returns a mailbox for the messages of one reading */
MailboxPtr<StreamEvent> makeReadEvents(const asio::any_io_executor &executor);

/** @returns a hook that reads over the links that @p links keeps */
ReadPeer makePeerReader(const asio::any_io_executor &executor, MailboxPtr<ChunkLinksCommand> links);

} // namespace greengageseam
