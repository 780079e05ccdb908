/**
 * Which order an engine needs next, from what it should serve and what it does serve.
 */
#pragma once

#include "core/common/common.h"

#include <optional>
#include <set>
#include <variant>

namespace greengageseam {

/** What the decision on the next order rests on. */
struct OrderContext
{
    /** Manifests that the placement gives to the engine. */
    std::set<Digest> wanted;
    /** Manifests whose weights are held complete and verified. */
    std::set<Digest> complete;
    /** Manifests that the engine reports as serving. */
    std::set<Digest> serving;
    /** Manifests that the engine reports as loading. */
    std::set<Digest> loading;
    std::uint32_t slots = 1;

    auto operator<=>(const OrderContext &) const = default;
};

/** Tells the engine to load a version. */
struct LoadVersion
{
    Digest manifest;

    auto operator<=>(const LoadVersion &) const = default;
};

/** Tells the engine to unload a version, after requests in progress on it have ended. */
struct UnloadVersion
{
    Digest manifest;

    auto operator<=>(const UnloadVersion &) const = default;
};

/** The next order, if any. */
using NextOrder = std::optional<std::variant<LoadVersion, UnloadVersion>>;

/**
 * Decides the next order. Never loads what is not held complete; unloads a version that is no
 * longer wanted only where its slot is needed for one that is ready to be loaded, or where nothing
 * that is wanted is missing.
 */
NextOrder nextOrder(const OrderContext &context);

} // namespace greengageseam
