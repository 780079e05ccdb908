/**
 * This entry's share of the retry budget of a service, which is common to all entries.
 */
#pragma once

#include "core/common/time.h"

#include <cstdint>
#include <deque>

namespace greengageseam {

/** Options of the retry budget. */
struct SharedRetryBudgetOptions
{
    /** Length of the window in which retries are counted. */
    Duration window = std::chrono::seconds(10);
    /** Retries allowed per request. */
    double ratio = 0.2;
    /** Retries allowed in each window in addition to the ratio, for the whole fleet. */
    double slack = 100;
    /** Fraction of the budget that is used, because the windows of different entries overlap. */
    double safetyFactor = 0.7;

    SharedRetryBudgetOptions withWindow(Duration value) const;
    SharedRetryBudgetOptions withRatio(double value) const;
    SharedRetryBudgetOptions withSlack(double value) const;
    auto operator<=>(const SharedRetryBudgetOptions &) const = default;
};

/**
 * Counts requests and retries of one service in a sliding window.
 *
 * It is modified in place, because it is on the path of each request.
 */
class SharedRetryBudget
{
public:
    explicit SharedRetryBudget(SharedRetryBudgetOptions options) : m_options(options) { }

    /** Records a request for the service. */
    void recordRequest(Instant now);
    /**
     * @param entries number of entries, which share the slack
     * @returns whether the budget allows a retry
     */
    bool allows(Instant now, std::uint32_t entries);
    /** @returns whether a retry keeps within a share of what the budget allows */
    bool allowsWithin(double share, Instant now, std::uint32_t entries);
    /**
     * Counts a retry if the budget allows one.
     * @param entries number of entries, which share the slack
     * @returns whether the retry is allowed
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
