/**
 * Decides on the next order for an engine by comparing the versions that it should serve with those
 * that it serves.
 */
#pragma once

#include "core/common/common.h"

#include <optional>
#include <set>
#include <variant>

namespace greengageseam {

/** The input of nextOrder(). */
struct OrderContext
{
    /** Manifests that the placement assigns to the engine. */
    std::set<Digest> wanted;
    /** Manifests whose weights are stored completely and verified. */
    std::set<Digest> complete;
    /** Manifests that the engine reports as being served. */
    std::set<Digest> serving;
    /** Manifests that the engine reports as being loaded. */
    std::set<Digest> loading;
    std::uint32_t slots = 1;

    auto operator<=>(const OrderContext &) const = default;
};

/** An order to load a version. */
struct LoadVersion
{
    Digest manifest;

    auto operator<=>(const LoadVersion &) const = default;
};

/** An order to unload a version once the requests in progress on it have finished. */
struct UnloadVersion
{
    Digest manifest;

    auto operator<=>(const UnloadVersion &) const = default;
};

/** The next order; empty if the engine needs none. */
using NextOrder = std::optional<std::variant<LoadVersion, UnloadVersion>>;

/**
 * Decides on the next order. A version is loaded only if its weights are complete. A version that
 * is no longer wanted is unloaded only if a version that is ready to load needs its slot, or if all
 * wanted versions are served or being loaded.
 */
NextOrder nextOrder(const OrderContext &context);

} // namespace greengageseam
