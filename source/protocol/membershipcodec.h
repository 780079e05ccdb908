/**
 * Conversion of membership's values between the core and the wire.
 */
#pragma once

#include "core/membership/membership.h"
#include "protocol/generated/wire_types.h"

#include <string>

namespace greengageseam {

/** @returns an offset as the wire has it */
std::int64_t toWire(Offset offset);
/** @returns an offset of the wire */
Offset toOffset(std::int64_t value);

/** Digests travel as 32 bytes, which is half of their text. */
std::string packDigest(const Digest &digest);
/** @returns the text of a packed digest */
Digest unpackDigest(const std::string &packed);
/** @see packDigest */
std::vector<std::string> packDigests(const std::vector<Digest> &digests);
/** @see unpackDigest */
std::vector<Digest> unpackDigests(const std::vector<std::string> &packed);

/** @returns the value as the wire has it */
wire::HeartbeatBody toWire(const Heartbeat &heartbeat);
/** @see toWire */
wire::MemberChanges toWire(const MemberChanges &changes);
/** @see toWire */
wire::ZoneDigest toWire(const ZoneDigest &digest);
/** @see toWire */
wire::ZoneSummary toWire(const ZoneSummary &summary);

/** @returns the value of the wire */
Heartbeat fromWire(const wire::HeartbeatBody &body);
/** @see fromWire */
MemberChanges fromWire(const wire::MemberChanges &changes);
/** @see fromWire */
ZoneDigest fromWire(const wire::ZoneDigest &digest);
/** @see fromWire */
ZoneSummary fromWire(const wire::ZoneSummary &summary);

} // namespace greengageseam
