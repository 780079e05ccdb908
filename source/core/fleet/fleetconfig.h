/**
 * The operator's configuration of a fleet as value types: routes, services, client accounts and
 * limits.
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

/** Name of a region, which is a group of availability zones. */
using RegionName = Name<struct RegionTag>;
using RouteName = Name<struct RouteTag>;

/** Whether requests of a route may be executed more than once, and whether they stream. */
enum class RouteKind { Idempotent, NonIdempotent, Streaming };

/**
 * Regions in which requests may be executed, and whatever belongs to them may be held. Empty if
 * there is no restriction.
 */
using AllowedRegions = std::vector<RegionName>;

/** A service to which a route sends requests, with its weight in the traffic split. */
struct RouteTarget
{
    ServiceName service;
    double weight = 1;

    auto operator<=>(const RouteTarget &) const = default;
};

/** One route: the requests that it matches, and how they are handled. */
struct Route
{
    RouteName name;
    /** Host to match, in lower case and without a port. */
    std::string host;
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    /** Maximum time that a caller waits for the response. */
    Duration timeout {};
    /**
     * Latency objective: time to the response, or to the first event of a stream (time to first
     * token).
     */
    Duration latencyObjective {};
    /** Objective for the longest gap between two events of a stream; zero if there is none. */
    Duration interEventObjective {};
    /** 0 is the highest priority. */
    std::uint32_t priority = 1;
    /** Invariant: not empty in a decoded configuration. */
    std::vector<RouteTarget> targets;
    /** Maximum number of upstream attempts for one attempt of a caller, including the first. */
    std::uint32_t maxAttempts = 1;
    bool isAnonymous = false;
    /** Whether a stream may be resumed at another backend server. */
    bool canResume = false;
    AllowedRegions allowedRegions;

    auto operator<=>(const Route &) const = default;
};

/** Cost parameters of the model engines of a service, and the size of their weights. */
struct EngineCosts
{
    std::uint32_t slots = 0;
    /** Milliseconds of one decode step, apart from the parts that depend on the batch. */
    double stepMs = 0;
    /** Milliseconds that each request in the decode phase adds to a step. */
    double perSequenceMs = 0;
    /** Milliseconds that a thousand tokens of context of a request add to a step. */
    double contextMsPerThousandTokens = 0;
    double prefillTokensPerSecond = 0;
    /** Milliseconds of prefill attention for a million pairs of a token and an earlier token. */
    double attentionMsPerMillionPairs = 0;
    /** Maximum number of prompt tokens processed in one step (chunked prefill). */
    std::uint32_t prefillChunkTokens = 0;
    /** Decode steps in one pass; the engine emits tokens after each pass. */
    std::uint32_t stepsPerPass = 1;
    double typicalPromptTokens = 0;
    double typicalOutputTokens = 0;
    /** Seconds that the engine takes to load staged weights. */
    double weightLoadSeconds = 0;
    /** Model whose weights the engines of the service run. */
    ModelName model;
    std::uint32_t pieceCount = 0;
    std::uint64_t pieceBytes = 0;
    /** Tokens of requests that the memory of an engine holds beside the weights; 0 if unknown. */
    std::uint64_t memoryTokens = 0;

    auto operator<=>(const EngineCosts &) const = default;
};

/** A group of interchangeable backend servers. */
struct Service
{
    ServiceName name;
    std::string healthPath;
    std::uint32_t maxConnections = 0;
    std::optional<EngineCosts> engine;
    /** Address from which weights are read; empty unless the service is an origin of weights. */
    Address origin;
    ZoneName originZone;
    /** Time after its start for which a backend server is cold; zero if it never is. */
    Duration coldStart {};
    /** Requests a second that a cold backend server tolerates, from all entries together. */
    double coldRequestsPerSecond = 0;

    auto operator<=>(const Service &) const = default;
};

/** Limits on the size of requests and on the time that a caller may take to send them. */
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    auto operator<=>(const CallerLimits &) const = default;
};

/** A client account and the API keys that identify it. */
struct FleetAccount
{
    AccountName name;
    std::vector<std::string> keys;
    /** Overrides the priority of the route if set. */
    std::optional<std::uint32_t> priority;
    /** Restricts requests in addition to the regions of the route. */
    AllowedRegions allowedRegions;

    auto operator<=>(const FleetAccount &) const = default;
};

/** One version of the configuration. */
struct FleetConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<ServiceName, Service> services;
    CallerLimits limits;
    /** Empty if callers need no API key. */
    std::optional<std::vector<FleetAccount>> accounts;

    auto operator<=>(const FleetConfig &) const = default;
};

/** Version of a model's weights that the operator has announced; a higher number replaces it. */
struct TargetVersion
{
    ModelName model;
    std::uint64_t version = 0;

    auto operator<=>(const TargetVersion &) const = default;
};

} // namespace greengageseam
