/**
 * The operator's configuration of a fleet: routes, services, client accounts and limits, as values.
 */
#pragma once

#include "core/common/ids.h"
#include "core/common/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengageseam {

/** Name of a region, a group of availability zones. */
using RegionName = Name<struct RegionTag>;
/** Name of a route. */
using RouteName = Name<struct RouteTag>;

/** What may be repeated of the requests of a route. */
enum class RouteKind { Idempotent, NonIdempotent, Streaming };

/** A service that a route sends to, and its share of the requests. */
struct RouteTarget
{
    ServiceName service;
    double weight = 1;

    auto operator<=>(const RouteTarget &) const = default;
};

/** One route: which requests it takes, and how they are treated. */
struct Route
{
    RouteName name;
    /** Lower case, without a port. */
    std::string host;
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    /** Longest time that a caller is kept waiting. */
    Duration timeout {};
    /** Time to the answer, or to the first event of a stream, that the operator wants. */
    Duration latencyObjective {};
    /** Longest pause between two events that the operator wants; zero if none is named. */
    Duration interEventObjective {};
    /** 0 is the most important. */
    std::uint32_t priority = 1;
    /** Invariant: not empty in a decoded configuration. */
    std::vector<RouteTarget> targets;
    /** Backend servers that one attempt of a caller may be sent to. */
    std::uint32_t maxAttempts = 1;
    bool isAnonymous = false;
    /** Whether a stream may go on at another backend server. */
    bool canResume = false;

    auto operator<=>(const Route &) const = default;
};

/** What a model engine's work costs, and what its weights consist of. */
struct EngineCosts
{
    std::uint32_t slots = 0;
    /** Milliseconds of one step of all requests that are generating. */
    double stepMs = 0;
    /** Milliseconds that each generating request adds to a step. */
    double perSequenceMs = 0;
    /** Milliseconds that a thousand tokens of context add to a step. */
    double contextMsPerThousandTokens = 0;
    double prefillTokensPerSecond = 0;
    /** Milliseconds for a million pairs of a token and an earlier one. */
    double attentionMsPerMillionPairs = 0;
    /** Tokens that are read in one step at most. */
    std::uint32_t prefillChunkTokens = 0;
    /** Steps of one pass while requests are generating. */
    std::uint32_t stepsPerPass = 1;
    double typicalPromptTokens = 0;
    double typicalOutputTokens = 0;
    /** Seconds in which staged weights are loaded. */
    double weightLoadSeconds = 0;
    /** Model whose weights the engines of the service run. */
    ModelName model;
    std::uint32_t pieceCount = 0;
    std::uint64_t pieceBytes = 0;

    auto operator<=>(const EngineCosts &) const = default;
};

/** A group of backend servers that are alike. */
struct Service
{
    ServiceName name;
    std::string healthPath;
    std::uint32_t maxConnections = 0;
    std::optional<EngineCosts> engine;
    /** Where weights are read from; empty unless the service is the origin of weights. */
    Address origin;
    ZoneName originZone;

    auto operator<=>(const Service &) const = default;
};

/** Bounds of what a caller may send, and how slowly. */
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    auto operator<=>(const CallerLimits &) const = default;
};

/** A client account and the keys that stand for it. */
struct FleetAccount
{
    AccountName name;
    std::vector<std::string> keys;
    /** Goes before the priority of the route, if there is one. */
    std::optional<std::uint32_t> priority;

    auto operator<=>(const FleetAccount &) const = default;
};

/** One version of the configuration. */
struct FleetConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<ServiceName, Service> services;
    CallerLimits limits;
    /** Nothing if callers need no key. */
    std::optional<std::vector<FleetAccount>> accounts;

    auto operator<=>(const FleetConfig &) const = default;
};

/** Weights that the operator has named for a model; later numbers replace earlier ones. */
struct TargetVersion
{
    ModelName model;
    std::uint64_t version = 0;

    auto operator<=>(const TargetVersion &) const = default;
};

} // namespace greengageseam
