/**
 * Frames on the links between processes: a length prefix of four bytes (big-endian), followed by a
 * message in Thrift's compact protocol.
 */
#pragma once

#include "core/common/errors.h"
#include "core/fleet/storerecords.h"
#include "protocol/messages.h"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace greengageseam {

/** Size of the length prefix in bytes. */
constexpr std::size_t frameHeaderBytes = 4;
/** Maximum size of a frame in bytes, without the length prefix. */
constexpr std::size_t maxFrameBytes = 4U * 1024 * 1024;

/** Length prefix of a frame as transmitted. */
using FrameHeader = std::array<unsigned char, frameHeaderBytes>;

/** Encodes a message as a frame, including the length prefix. */
std::string encodeFrame(const StreamMessage &message);

/** Decodes a length prefix. @returns the length, or ProtocolViolation if it is out of range */
Result<std::size_t> frameLength(const FrameHeader &header);

/**
 * Decodes a frame.
 * @param bytes the frame without the length prefix
 * @returns the message, or ProtocolViolation if the frame is malformed
 */
Result<StreamMessage> decodeFrame(std::string_view bytes);

/** Encodes records of a topic, whose bytes are sent in the parts of a TopicPartMessage. */
std::string encodeRecords(const std::vector<KeyedRecord> &records);

/** Decodes the records of a topic. @returns the records, or ProtocolViolation */
Result<std::vector<KeyedRecord>> decodeRecords(std::string_view bytes);

} // namespace greengageseam
