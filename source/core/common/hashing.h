/**
 * Content digests, and the fast hash that distributes work over instances.
 */
#pragma once

#include "core/common/ids.h"

#include <cstdint>
#include <string_view>

namespace greengageseam {

/** @returns the SHA-256 of @p bytes */
Digest digestOf(std::string_view bytes);

/** @returns true if @p text is formatted as a digest: 64 lower-case hexadecimal digits */
bool isDigest(std::string_view text);

/**
 * Computes HMAC-SHA-256, for messages that only a holder of the key may produce.
 * @returns 64 lower-case hexadecimal digits
 */
Digest hmacSha256(std::string_view key, std::string_view bytes);

/**
 * Compares two texts in constant time, so that the duration does not reveal where a secret differs.
 * Texts of different lengths are unequal, and their lengths are not kept secret.
 */
bool equalInConstantTime(std::string_view left, std::string_view right);

/**
 * Scores a candidate for a subject in rendezvous (highest random weight) hashing.
 *
 * The candidate with the highest score owns the subject. A candidate that joins takes over only the
 * subjects for which it has the highest score; one that leaves releases only those that it owned.
 */
std::uint64_t rendezvousScore(std::string_view subject, std::string_view candidate);

/**
 * Computes a fast, non-cryptographic 64-bit checksum.
 * @param seed the checksum of the preceding bytes, or an arbitrary start value
 */
std::uint64_t checksumOf(std::string_view bytes, std::uint64_t seed);

} // namespace greengageseam
