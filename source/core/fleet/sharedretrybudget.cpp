#include "core/fleet/sharedretrybudget.h"

namespace greengageseam {

namespace {

constexpr std::int64_t slicesPerWindow = 10;

} // namespace

SharedRetryBudgetOptions SharedRetryBudgetOptions::withWindow(Duration value) const
{
    SharedRetryBudgetOptions options = *this;
    options.window = value;
    return options;
}

SharedRetryBudgetOptions SharedRetryBudgetOptions::withRatio(double value) const
{
    SharedRetryBudgetOptions options = *this;
    options.ratio = value;
    return options;
}

SharedRetryBudgetOptions SharedRetryBudgetOptions::withSlack(double value) const
{
    SharedRetryBudgetOptions options = *this;
    options.slack = value;
    return options;
}

SharedRetryBudget::Slice &SharedRetryBudget::slice(Instant now)
{
    const std::int64_t number =
            now.time_since_epoch().count() * slicesPerWindow / m_options.window.count();
    // Keeps one slice more than the window holds, so that every retry of a sliding window counts.
    while (!m_slices.empty() && m_slices.front().number < number - slicesPerWindow) {
        m_slices.pop_front();
    }
    if (m_slices.empty() || m_slices.back().number != number) {
        m_slices.push_back({number, 0, 0});
    }
    return m_slices.back();
}

void SharedRetryBudget::recordRequest(Instant now)
{
    ++slice(now).requests;
}

bool SharedRetryBudget::allows(Instant now, std::uint32_t entries)
{
    return allowsWithin(1, now, entries);
}

bool SharedRetryBudget::allowsWithin(double share, Instant now, std::uint32_t entries)
{
    slice(now);
    double requests = 0;
    double retries = 0;
    for (const Slice &each : m_slices) {
        requests += each.requests;
        retries += each.retries;
    }
    const double slack = m_options.slack / (entries == 0 ? 1 : entries);
    return retries + 1 <= share * m_options.safetyFactor * (m_options.ratio * requests + slack);
}

bool SharedRetryBudget::tryAcquire(Instant now, std::uint32_t entries)
{
    const bool isAllowed = allows(now, entries);
    slice(now).retries += isAllowed ? 1 : 0;
    return isAllowed;
}

} // namespace greengageseam
