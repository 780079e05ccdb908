/**
 * This entry's part of the retries that all entries together may send to a service.
 */
#pragma once

#include "core/common/time.h"

#include <cstdint>
#include <deque>

namespace greengageseam {

/** Bounds of the allowance. */
struct SharedRetryBudgetOptions
{
    /** Length of the window in which retries are counted. */
    Duration window = std::chrono::seconds(10);
    /** Retries allowed for each request. */
    double ratio = 0.2;
    /** Retries allowed besides, for the whole fleet. */
    double slack = 100;
    /** Share of the fleet's bound that is used, since windows of several entries overlap. */
    double safetyFactor = 0.7;

    SharedRetryBudgetOptions withWindow(Duration value) const;
    SharedRetryBudgetOptions withRatio(double value) const;
    SharedRetryBudgetOptions withSlack(double value) const;
    auto operator<=>(const SharedRetryBudgetOptions &) const = default;
};

/**
 * Counts requests and retries of one service in a sliding window.
 *
 * It changes in place, because it stands in the path of each request.
 */
class SharedRetryBudget
{
public:
    explicit SharedRetryBudget(SharedRetryBudgetOptions options) : m_options(options) { }

    /** A request came for the service. */
    void recordRequest(Instant now);
    /**
     * Asks for a retry, and counts it if there is one.
     * @param entries how many entries there may be; they share the slack
     */
    bool tryAcquire(Instant now, std::uint32_t entries);

private:
    /** Counts of a tenth of the window. */
    struct Slice
    {
        std::int64_t number = 0;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    Slice &slice(Instant now);

    SharedRetryBudgetOptions m_options;
    std::deque<Slice> m_slices;
};

} // namespace greengageseam
