/**
 * Manifest of the pieces that make up a version of a model's weights. A piece is a chunk that the
 * origin publishes under a number; the Manifest of the version is built from the list of pieces.
 */
#pragma once

#include "core/common/ids.h"

#include <cstdint>
#include <vector>

namespace greengageseam {

/** Manifest of a version as published by the origin of weights. */
struct PieceList
{
    ModelName model;
    std::uint64_t version = 0;
    /** Size of each piece in bytes. */
    std::uint64_t pieceBytes = 0;
    /** Digest of each piece, in the order of the pieces. */
    std::vector<Digest> digests;

    auto operator<=>(const PieceList &) const = default;
};

} // namespace greengageseam
