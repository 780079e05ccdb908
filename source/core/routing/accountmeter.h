/**
 * What one client account has used of its limits at one entry.
 */
#pragma once

#include "core/config/table.h"
#include "core/routing/tokenbucket.h"

#include <cstdint>
#include <optional>

namespace greengageseam {

/** Shares of a limit are counted in millionths of it. */
using ShareMillionths = std::uint32_t;

/** The whole of a limit. */
constexpr ShareMillionths fullShare = 1'000'000;

/** What an entry may let through of an account; a limit that is not set does not bind. */
struct AccountLimits
{
    std::optional<double> requestsPerSecond;
    std::optional<double> tokensPerSecond;
    std::optional<std::uint32_t> concurrency;

    auto operator<=>(const AccountLimits &) const = default;
};

/** @returns the part of an account's limits that belongs to an entry with this share */
AccountLimits limitsForShare(const Account &account, ShareMillionths share);

/** Which limit binds. */
enum class ExceededLimit { None, Requests, Tokens, Concurrency };

/** Counts one account's requests and tokens; a step makes a new meter. */
class AccountMeter
{
public:
    AccountMeter(const AccountLimits &limits, Instant now);

    /** @returns the meter under other limits; a change refills nothing */
    AccountMeter withLimits(const AccountLimits &limits, Instant now) const;
    /** @returns the meter at a later time */
    AccountMeter at(Instant now) const;
    /** @returns which limit stands against a request now; tokens are the estimate of its cost */
    ExceededLimit exceededLimit(double tokens) const;
    /** @returns the meter after a request was let in and charged with the estimate */
    AccountMeter admitted(double tokens) const;
    /** @returns the meter after a request ended: the estimate is replaced by what was used */
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
