/**
 * Retries as a share of requests, so that they cannot multiply an overload.
 */
#pragma once

#include <algorithm>
#include <compare>

namespace greengageseam {

/** Each request pays in, each retry takes out; a step makes a new value. */
class RetryBudget
{
public:
    /** Retries allowed for each request in the long run. */
    static constexpr double ratio = 0.2;
    /** Retries that can be saved up. */
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

    /** Invariant: from 0 to highest. */
    double m_balance = 10;
};

} // namespace greengageseam
