/**
 * Retry budget: limits retries to a ratio of requests, so that they cannot amplify an overload.
 */
#pragma once

#include <algorithm>
#include <compare>

namespace greengageseam {

/** Immutable balance: each request deposits a fraction of a retry, each retry withdraws one. */
class RetryBudget
{
public:
    /** Retries allowed per request in the long run. */
    static constexpr double ratio = 0.2;
    /** Maximum number of retries that can accumulate. */
    static constexpr double maxBalance = 100;

    /** @returns the budget after a request was admitted */
    RetryBudget admitted() const { return RetryBudget(std::min(maxBalance, m_balance + ratio)); }
    /** @returns whether a retry is allowed now */
    bool canRetry() const { return m_balance >= 1; }
    /** @returns the budget after a retry */
    RetryBudget retried() const { return RetryBudget(std::max(0.0, m_balance - 1)); }

    RetryBudget() = default;
    auto operator<=>(const RetryBudget &) const = default;

private:
    explicit RetryBudget(double balance) : m_balance(balance) { }

    /** Invariant: between 0 and maxBalance. */
    double m_balance = 10;
};

} // namespace greengageseam
