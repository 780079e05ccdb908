/**
 * The pieces that a version of a model's weights consists of.
 */
#pragma once

#include "core/common/ids.h"

#include <cstdint>
#include <vector>

namespace greengageseam {

/** What the origin says of a version. */
struct PieceList
{
    ModelName model;
    std::uint64_t version = 0;
    /** Size of each piece in bytes. */
    std::uint64_t pieceBytes = 0;
    /** Digests of the pieces in order. */
    std::vector<Digest> digests;

    auto operator<=>(const PieceList &) const = default;
};

} // namespace greengageseam
