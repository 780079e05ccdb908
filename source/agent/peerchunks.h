/**
 * Reads chunks of weights from other agents.
 */
#pragma once

#include "agent/weightkeeper.h"
#include "net/log.h"
#include "net/peerlink.h"

namespace greengageseam {

/**
 * @param identity what this agent says of itself to its peers
 * @param limit time without any progress after which a peer is given up
 * @returns a hook that reads a chunk over a link of its own; the bytes are not yet verified
 */
ReadPeerChunk makePeerChunkReader(const asio::any_io_executor &executor, PeerIdentity identity,
                                  Duration limit, Log log);

} // namespace greengageseam
