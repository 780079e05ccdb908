/**
 * Backend servers as they register themselves, and what they report of their load.
 */
#pragma once

#include "core/common/ids.h"
#include "core/common/time.h"

#include <cstdint>
#include <optional>

namespace greengageseam {

/** Identifier of a backend server's registration; a restart mostly has a new one. */
using ReplicaId = Name<struct ReplicaTag>;

/** Layers that an engine holds, of one version. */
struct LayerRange
{
    std::uint32_t from = 0;
    /** One past the last layer. */
    std::uint32_t to = 0;
    std::uint64_t version = 0;

    auto operator<=>(const LayerRange &) const = default;
};

/** What an engine has loaded, as it says. */
struct LoadedWeights
{
    ModelName model;
    /** Version of the model as a whole; 0 without one. */
    std::uint64_t version = 0;
    /** Nothing if the engine does not tell of layers. */
    std::optional<LayerRange> layers;

    auto operator<=>(const LoadedWeights &) const = default;

    /** @returns the version that can be run, or 0 */
    std::uint64_t runnableVersion() const;
};

/** What a backend server says of itself in the list. */
struct ReplicaEntry
{
    ReplicaId id;
    ServiceName service;
    Address address;
    ZoneName zone;
    std::uint32_t slots = 0;
    bool isDraining = false;
    /** Start of this incarnation in milliseconds since 1970; 0 if it does not say. */
    std::uint64_t startedAtMs = 0;
    LoadedWeights loaded;

    auto operator<=>(const ReplicaEntry &) const = default;
};

/** What a backend server reports when it is asked. */
struct ReplicaReport
{
    std::uint64_t startedAtMs = 0;
    LoadedWeights loaded;
    /** An order is being carried out. */
    bool hasOrderInProgress = false;
    /** Orders accepted since its start. */
    std::uint64_t acceptedOrders = 0;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    /** Above 1 it works more slowly than it should. */
    double slowdown = 1;

    auto operator<=>(const ReplicaReport &) const = default;
};

} // namespace greengageseam
