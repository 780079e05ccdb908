/**
 * Requests the piece lists of versions from other processes.
 */
#pragma once

#include "agent/chunklinks.h"
#include "core/fleet/pieces.h"

#include <functional>

namespace greengageseam {

/**
 * Hook that requests the list of a version's pieces from a peer.
 *
 * @returns the list; DeadlineExceeded if the peer cannot be reached or does not send the list in
 *          time; ProtocolViolation if it sends the list of another version
 */
using ReadPeerList = std::function<Awaitable<Outcome<PieceList>>(InstanceId peer, ModelName model,
                                                                 std::uint64_t version)>;

/** @returns a hook that sends its requests over the links that the task @p links manages */
ReadPeerList makeListReader(const asio::any_io_executor &executor,
                            MailboxPtr<ChunkLinksCommand> links);

} // namespace greengageseam
