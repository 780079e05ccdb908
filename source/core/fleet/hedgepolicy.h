/**
 * Decides when a second attempt is asked for beside one that has not answered, before that one
 * counts as silent, and whether the second attempt is worth its cost.
 */
#pragma once

#include "core/common/time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace greengageseam {

/** Largest share of the requests that may be set for hedges. */
constexpr double maxHedgeRatio = 0.2;

/** @returns the share of the requests that a text sets for hedges; empty if it is no valid one */
std::optional<double> parseHedgeRatio(std::string_view text);

/** What the delay of a hedge rests on. */
enum class HedgeBasis {
    /** The smallest delay. */
    Floor,
    /** A multiple of the median of recent latencies. */
    Median,
    /** A quantile of recent latencies. */
    Quantile,
    /** The forecast for the backend server that was chosen first. */
    Forecast,
};

/** Name of a basis in logs. */
std::string_view nameOf(HedgeBasis basis);

/** Time without a response after which a second attempt is asked for. */
struct HedgeDelay
{
    Duration delay {};
    HedgeBasis basis = HedgeBasis::Floor;

    auto operator<=>(const HedgeDelay &) const = default;
};

/** Recent times to the first response of requests of a service and size. */
struct UsualLatency
{
    Duration median {};
    /** Four fifths of the requests are answered by then. */
    Duration high {};
    /** All but the share of the requests that may be hedged are answered by then. */
    Duration tail {};

    auto operator<=>(const UsualLatency &) const = default;
};

/** @param forecast expected time to the response of the chosen backend server; empty if unknown */
HedgeDelay hedgeDelay(const UsualLatency &usual, std::optional<Duration> forecast);

/** Why no second attempt is made. */
enum class HedgeDenial {
    /** Callers ask for more than the backend servers can do. */
    Saturated,
    /** Requests wait for a backend server, and have no attempt at all. */
    RequestsWait,
    /** Many recent requests are late, so that the first backend server is no exception. */
    ManyLate,
    HedgeBudget,
    RetryBudget,
    /** No other backend server has room, or a credit, for the request. */
    NoServer,
    /** The other backend server is not expected to answer clearly earlier. */
    NoGain,
};

/** Name of a denial in metrics. */
std::string_view nameOf(HedgeDenial denial);

/** How many of some attempts are or were late, and how many were answered in time. */
struct LateShare
{
    std::uint32_t late = 0;
    std::uint32_t inTime = 0;

    auto operator<=>(const LateShare &) const = default;
};

/** @returns whether so many attempts are late that the cause is not one backend server */
bool isWidespread(const LateShare &share);

/** What the decision on a second attempt rests on. */
struct HedgeConditions
{
    bool isSaturated = false;
    bool hasPendingRequests = false;
    /** Attempts that are late, or have ended while the first one has waited. */
    LateShare recent;
    bool hasHedgeBudget = false;
    bool hasRetryBudget = false;
    /** Expected time to the response of the first attempt, from now on. */
    Duration firstRemaining {};
    /** That of the second attempt; empty if no backend server can take it. */
    std::optional<Duration> second;

    auto operator<=>(const HedgeConditions &) const = default;
};

/** @returns why no second attempt is made; empty if one is */
std::optional<HedgeDenial> hedgeDenial(const HedgeConditions &conditions);

} // namespace greengageseam
