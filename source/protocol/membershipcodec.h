/**
 * Conversion of membership data between the core types and the generated Thrift types.
 */
#pragma once

#include "core/membership/membership.h"
#include "protocol/generated/wire_types.h"

#include <string>

namespace greengageseam {

/** Converts an offset to its wire format. */
std::int64_t toWire(Offset offset);
/** Converts an offset from its wire format. */
Offset toOffset(std::int64_t value);

/** Converts a digest to 32 binary bytes, half the size of its hexadecimal text. */
std::string packDigest(const Digest &digest);
/** Converts a binary digest back to its text. @see packDigest */
Digest unpackDigest(const std::string &packed);
/** @see packDigest */
std::vector<std::string> packDigests(const std::vector<Digest> &digests);
/** @see unpackDigest */
std::vector<Digest> unpackDigests(const std::vector<std::string> &packed);

/** Converts a value to its wire format. */
wire::HeartbeatBody toWire(const Heartbeat &heartbeat);
/** @see toWire */
wire::MemberChanges toWire(const MemberChanges &changes);
/** @see toWire */
wire::ZoneDigest toWire(const ZoneDigest &digest);
/** @see toWire */
wire::ZoneSummary toWire(const ZoneSummary &summary);

/** Converts a value from its wire format. */
Heartbeat fromWire(const wire::HeartbeatBody &body);
/** @see fromWire */
MemberChanges fromWire(const wire::MemberChanges &changes);
/** @see fromWire */
ZoneDigest fromWire(const wire::ZoneDigest &digest);
/** @see fromWire */
ZoneSummary fromWire(const wire::ZoneSummary &summary);

} // namespace greengageseam
