/**
 * Digests of contents, and the fast hash that spreads work over instances.
 */
#pragma once

#include "core/common/ids.h"

#include <cstdint>
#include <string_view>

namespace greengageseam {

/** @returns the SHA-256 of @p bytes */
Digest digestOf(std::string_view bytes);

/** @returns whether @p text has the form of a digest: 64 lower-case hexadecimal digits */
bool isDigest(std::string_view text);

/** Keyed SHA-256 (HMAC). @returns 64 hexadecimal digits */
Digest hmacSha256(std::string_view key, std::string_view bytes);

/** Compares two texts in a time that does not depend on where they differ. */
bool equalInConstantTime(std::string_view left, std::string_view right);

/**
 * Score of a candidate for a subject in rendezvous hashing: the highest score owns the subject, and
 * a candidate that joins or leaves moves only the subjects that it wins or held.
 */
std::uint64_t rendezvousScore(std::string_view subject, std::string_view candidate);

/** @returns a fast 64-bit checksum of @p bytes that continues from @p seed */
std::uint64_t checksumOf(std::string_view bytes, std::uint64_t seed);

} // namespace greengageseam
