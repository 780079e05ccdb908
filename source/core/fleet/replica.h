/**
 * Backend servers as they register in the list of backend servers, and their status reports.
 */
#pragma once

#include "core/common/ids.h"
#include "core/common/time.h"

#include <cstdint>
#include <optional>

namespace greengageseam {

/** Id of a backend server's registration. A restarted process usually registers with a new id. */
using ReplicaId = Name<struct ReplicaTag>;

/** Range of layers of one version that an engine has loaded. */
struct LayerRange
{
    std::uint32_t from = 0;
    /** One past the last layer. */
    std::uint32_t to = 0;
    std::uint64_t version = 0;

    auto operator<=>(const LayerRange &) const = default;
};

/** Weights that an engine reports as loaded. */
struct LoadedWeights
{
    ModelName model;
    /** Version of the complete model; 0 if none is loaded. */
    std::uint64_t version = 0;
    /** Empty if the engine does not report layers. */
    std::optional<LayerRange> layers;

    auto operator<=>(const LoadedWeights &) const = default;

    /** @returns the version on which the engine can execute requests; 0 if there is none */
    std::uint64_t runnableVersion() const;
};

/** Registration of a backend server in the list. */
struct ReplicaEntry
{
    ReplicaId id;
    ServiceName service;
    Address address;
    ZoneName zone;
    std::uint32_t slots = 0;
    bool isDraining = false;
    /** Start time of this incarnation in milliseconds since 1970; 0 if not stated. */
    std::uint64_t startedAtMs = 0;
    LoadedWeights loaded;
    /** How much longer the backend server stays cold, as of when it wrote this; zero if warm. */
    Duration coldLeft {};

    auto operator<=>(const ReplicaEntry &) const = default;
};

/** Status report of a backend server. */
struct ReplicaReport
{
    std::uint64_t startedAtMs = 0;
    LoadedWeights loaded;
    /** The engine is executing an order, such as loading weights. */
    bool hasOrderInProgress = false;
    /** Number of orders accepted since the start of the process. */
    std::uint64_t acceptedOrders = 0;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    /** Factor by which the engine is slower than its cost model; 1 is nominal speed. */
    double slowdown = 1;

    auto operator<=>(const ReplicaReport &) const = default;
};

} // namespace greengageseam
