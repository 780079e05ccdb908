/**
 * Rate limiting of one client account at one entry.
 */
#pragma once

#include "core/config/table.h"
#include "core/routing/tokenbucket.h"

#include <cstdint>
#include <optional>

namespace greengageseam {

/** Share of a limit, in millionths. */
using ShareMillionths = std::uint32_t;

/** The complete limit. */
constexpr ShareMillionths fullShare = 1'000'000;

/** Limits that an entry enforces for an account; a limit that is not set does not apply. */
struct AccountLimits
{
    std::optional<double> requestsPerSecond;
    std::optional<double> tokensPerSecond;
    std::optional<std::uint32_t> concurrency;

    auto operator<=>(const AccountLimits &) const = default;
};

/** @returns an account's limits scaled to the share that an entry holds */
AccountLimits limitsForShare(const Account &account, ShareMillionths share);

/** The limit that a request would exceed. */
enum class ExceededLimit { None, Requests, Tokens, Concurrency };

/** Immutable usage of one account: requests, tokens, concurrency. Each step returns a new one. */
class AccountMeter
{
public:
    AccountMeter(const AccountLimits &limits, Instant now);

    /** @returns the meter with other limits; the change does not refill the token buckets */
    AccountMeter withLimits(const AccountLimits &limits, Instant now) const;
    /** @returns the meter at a later time, with refilled token buckets */
    AccountMeter at(Instant now) const;
    /**
     * @param tokens estimated cost of the request
     * @returns the limit that the request would exceed now
     */
    ExceededLimit exceededLimit(double tokens) const;
    /** @returns the meter after a request was admitted and charged with its estimated tokens */
    AccountMeter admitted(double tokens) const;
    /**
     * Replaces the charged estimate of a finished request by its actual usage.
     * @param charged tokens charged at admission
     * @param used tokens that the request used
     */
    AccountMeter finished(double charged, double used) const;

    std::uint32_t inProgress() const { return m_inProgress; }

    auto operator<=>(const AccountMeter &) const = default;

private:
    std::optional<TokenBucket> m_requests;
    std::optional<TokenBucket> m_tokens;
    std::optional<std::uint32_t> m_concurrency;
    std::uint32_t m_inProgress = 0;
};

} // namespace greengageseam
