/**
 * Frames between processes: Thrift's compact protocol behind a length of four bytes.
 */
#pragma once

#include "core/common/errors.h"
#include "protocol/messages.h"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace greengageseam {

/** Bytes of the length in front of each frame. */
constexpr std::size_t frameHeaderBytes = 4;
/** Largest frame in bytes, without its length. */
constexpr std::size_t maxFrameBytes = 4U * 1024 * 1024;

/** The length in front of a frame, as sent. */
using FrameHeader = std::array<unsigned char, frameHeaderBytes>;

/** @returns the frame for a message, with its length in front */
std::string encodeFrame(const StreamMessage &message);

/** @returns the length that a header states, or ProtocolViolation if it is not allowed */
Result<std::size_t> frameLength(const FrameHeader &header);

/**
 * Reads a frame.
 * @param bytes the frame without its length
 * @returns the message, or ProtocolViolation
 */
Result<StreamMessage> decodeFrame(std::string_view bytes);

} // namespace greengageseam
