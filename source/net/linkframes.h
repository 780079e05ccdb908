/**
 * Reads and writes the frames of a link on its socket.
 */
#pragma once

#include "net/mailbox.h"
#include "protocol/framecodec.h"
#include "protocol/messages.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <memory>

namespace greengageseam {

/** Socket of a link. */
using LinkSocket = std::shared_ptr<boost::beast::tcp_stream>;

/** @returns false if the message could not be sent */
Awaitable<bool> writeFrame(const LinkSocket &socket, StreamMessage message);

/**
 * Reads one frame and waits for it without a time limit.
 * @param maxBytes maximum size of the frame, without its length prefix
 * @returns the message; AnswerBroken if the peer closed the connection, or ProtocolViolation if the
 *     frame is malformed or too large
 */
Awaitable<Outcome<StreamMessage>> readFrame(const LinkSocket &socket,
                                            std::size_t maxBytes = maxFrameBytes);

} // namespace greengageseam
