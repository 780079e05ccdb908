#include "core/routing/accountmeter.h"

namespace greengageseam {

namespace {

std::optional<TokenBucket> adjustedBucket(const std::optional<TokenBucket> &bucket,
                                          const std::optional<double> &rate, Instant now)
{
    if (!rate) {
        return std::nullopt;
    }
    if (!bucket) {
        return TokenBucket(*rate, *rate, now);
    }
    return bucket->at(now).withRate(*rate, *rate);
}

std::optional<double> scaledLimit(const std::optional<std::uint32_t> &limit, ShareMillionths share)
{
    if (!limit) {
        return std::nullopt;
    }
    return static_cast<double>(*limit) * share / fullShare;
}

} // namespace

AccountLimits limitsForShare(const Account &account, ShareMillionths share)
{
    AccountLimits limits;
    limits.requestsPerSecond = scaledLimit(account.requestsPerSecond, share);
    limits.tokensPerSecond = scaledLimit(account.tokensPerSecond, share);
    if (account.concurrency) {
        const std::uint64_t product = std::uint64_t {*account.concurrency} * share;
        limits.concurrency = static_cast<std::uint32_t>(product / fullShare);
    }
    return limits;
}

AccountMeter::AccountMeter(const AccountLimits &limits, Instant now)
    : m_requests(adjustedBucket(std::nullopt, limits.requestsPerSecond, now)),
      m_tokens(adjustedBucket(std::nullopt, limits.tokensPerSecond, now)),
      m_concurrency(limits.concurrency)
{ }

AccountMeter AccountMeter::withLimits(const AccountLimits &limits, Instant now) const
{
    AccountMeter next = *this;
    next.m_requests = adjustedBucket(m_requests, limits.requestsPerSecond, now);
    next.m_tokens = adjustedBucket(m_tokens, limits.tokensPerSecond, now);
    next.m_concurrency = limits.concurrency;
    return next;
}

AccountMeter AccountMeter::at(Instant now) const
{
    AccountMeter next = *this;
    if (m_requests) {
        next.m_requests = m_requests->at(now);
    }
    if (m_tokens) {
        next.m_tokens = m_tokens->at(now);
    }
    return next;
}

ExceededLimit AccountMeter::exceededLimit(double tokens) const
{
    if (m_concurrency && m_inProgress >= *m_concurrency) {
        return ExceededLimit::Concurrency;
    }
    if (m_requests && !m_requests->hasOrIsFull(1)) {
        return ExceededLimit::Requests;
    }
    if (m_tokens && !m_tokens->hasOrIsFull(tokens)) {
        return ExceededLimit::Tokens;
    }
    return ExceededLimit::None;
}

AccountMeter AccountMeter::admitted(double tokens) const
{
    AccountMeter next = *this;
    ++next.m_inProgress;
    if (m_requests) {
        next.m_requests = m_requests->taken(1);
    }
    if (m_tokens) {
        next.m_tokens = m_tokens->taken(tokens);
    }
    return next;
}

AccountMeter AccountMeter::finished(double charged, double used) const
{
    AccountMeter next = *this;
    next.m_inProgress -= m_inProgress > 0 ? 1 : 0;
    if (m_tokens) {
        next.m_tokens = m_tokens->taken(used - charged);
    }
    return next;
}

} // namespace greengageseam
