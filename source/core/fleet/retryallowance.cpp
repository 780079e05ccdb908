#include "core/fleet/retryallowance.h"

namespace greengageseam {

namespace {

constexpr std::int64_t slicesPerWindow = 10;

} // namespace

RetryAllowanceOptions RetryAllowanceOptions::withWindow(Duration value) const
{
    RetryAllowanceOptions options = *this;
    options.window = value;
    return options;
}

RetryAllowanceOptions RetryAllowanceOptions::withRatio(double value) const
{
    RetryAllowanceOptions options = *this;
    options.ratio = value;
    return options;
}

RetryAllowanceOptions RetryAllowanceOptions::withSlack(double value) const
{
    RetryAllowanceOptions options = *this;
    options.slack = value;
    return options;
}

RetryAllowance::Slice &RetryAllowance::slice(Instant now)
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

void RetryAllowance::countRequest(Instant now)
{
    ++slice(now).requests;
}

bool RetryAllowance::take(Instant now, std::uint32_t entries)
{
    Slice &current = slice(now);
    double requests = 0;
    double retries = 0;
    for (const Slice &each : m_slices) {
        requests += each.requests;
        retries += each.retries;
    }
    const double slack = m_options.slack / (entries == 0 ? 1 : entries);
    if (retries + 1 > m_options.caution * (m_options.ratio * requests + slack)) {
        return false;
    }
    ++current.retries;
    return true;
}

} // namespace greengageseam
