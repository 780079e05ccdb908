#include "core/fleet/hedgepolicy.h"

#include <algorithm>
#include <charconv>

namespace greengageseam {

namespace {

/** Shorter delays are within the variation of a healthy backend server and its links. */
constexpr auto minHedgeDelay = std::chrono::milliseconds(30);
/** Multiple of the median from which a response is late even where the tail is long. */
constexpr int lateMedians = 3;
/** A second attempt must be expected to take at most this share of the first one's time. */
constexpr double maxSecondShare = 0.7;
/** Share of late attempts from which the cause is not one backend server. */
constexpr double maxLateShare = 0.4;
/** Fewer late attempts may be chance. */
constexpr std::uint32_t minLateAttempts = 3;

} // namespace

std::optional<double> parseHedgeRatio(std::string_view text)
{
    double ratio = 0;
    const char *begin = text.data();
    const char *end = begin + text.size();
    const auto [parsedTo, ec] = std::from_chars(begin, end, ratio, std::chars_format::fixed);
    const bool isWhole = ec == std::errc() && parsedTo == end;
    const bool isInRange = ratio >= 0 && ratio <= maxHedgeRatio;
    return isWhole && isInRange ? std::optional<double>(ratio) : std::nullopt;
}

std::string_view nameOf(HedgeBasis basis)
{
    switch (basis) {
    case HedgeBasis::Floor:
        return "floor";
    case HedgeBasis::Median:
        return "median";
    case HedgeBasis::Quantile:
        return "quantile";
    case HedgeBasis::Forecast:
        return "forecast";
    }
    return {};
}

std::string_view nameOf(HedgeDenial denial)
{
    switch (denial) {
    case HedgeDenial::Saturated:
        return "saturated";
    case HedgeDenial::RequestsWait:
        return "requests-wait";
    case HedgeDenial::ManyLate:
        return "many-late";
    case HedgeDenial::HedgeBudget:
        return "hedge-budget";
    case HedgeDenial::RetryBudget:
        return "retry-budget";
    case HedgeDenial::NoServer:
        return "no-server";
    case HedgeDenial::NoGain:
        return "no-gain";
    }
    return {};
}

HedgeDelay hedgeDelay(const UsualLatency &usual, std::optional<Duration> forecast)
{
    const Duration late = std::max<Duration>(usual.median * lateMedians, usual.high);
    HedgeDelay chosen = late < usual.tail ? HedgeDelay {late, HedgeBasis::Median}
                                          : HedgeDelay {usual.tail, HedgeBasis::Quantile};
    if (forecast && *forecast > chosen.delay) {
        chosen = {*forecast, HedgeBasis::Forecast};
    }
    return chosen.delay < minHedgeDelay ? HedgeDelay {minHedgeDelay, HedgeBasis::Floor} : chosen;
}

bool isWidespread(const LateShare &share)
{
    return share.late >= minLateAttempts && share.late > maxLateShare * (share.late + share.inTime);
}

std::optional<HedgeDenial> hedgeDenial(const HedgeConditions &conditions)
{
    if (conditions.isSaturated) {
        return HedgeDenial::Saturated;
    }
    if (conditions.hasPendingRequests) {
        return HedgeDenial::RequestsWait;
    }
    if (isWidespread(conditions.recent)) {
        return HedgeDenial::ManyLate;
    }
    if (!conditions.hasHedgeBudget) {
        return HedgeDenial::HedgeBudget;
    }
    if (!conditions.hasRetryBudget) {
        return HedgeDenial::RetryBudget;
    }
    if (!conditions.second) {
        return HedgeDenial::NoServer;
    }
    const double second = static_cast<double>(conditions.second->count());
    const double remaining = static_cast<double>(conditions.firstRemaining.count());
    return second > maxSecondShare * remaining ? std::optional(HedgeDenial::NoGain) : std::nullopt;
}

} // namespace greengageseam
