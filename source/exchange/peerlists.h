/**
 * Reads lists of pieces from other processes.
 */
#pragma once

#include "agent/chunklinks.h"
#include "core/fleet/pieces.h"

#include <functional>

namespace greengageseam {

/** Hook that asks a process for the list of a version's pieces. @returns DeadlineExceeded if it
 * has none in time */
using ReadPeerList = std::function<Awaitable<Outcome<PieceList>>(InstanceId peer, ModelName model,
                                                                 std::uint64_t version)>;

/** @returns a hook that asks over the links that @p links keeps */
ReadPeerList makeListReader(const asio::any_io_executor &executor,
                            MailboxPtr<ChunkLinksCommand> links);

} // namespace greengageseam
