#include "core/fleet/latencyquantiles.h"

#include <algorithm>
#include <cmath>

namespace greengageseam {

namespace {

constexpr std::int64_t slicesPerWindow = 6;
constexpr double bucketsPerDoubling = 8;
constexpr double microsecondsPerMs = 1000;
/** Samples that took longer than a request has waited, below which its future is unknown. */
constexpr std::uint32_t minLongerSamples = 3;

} // namespace

std::size_t LatencyQuantiles::bucketOf(Duration latency)
{
    const double ms = std::max(1.0, static_cast<double>(latency.count()) / microsecondsPerMs);
    const auto bucket = static_cast<std::size_t>(std::log2(ms) * bucketsPerDoubling);
    return std::min(bucket, bucketCount - 1);
}

Duration LatencyQuantiles::upperEnd(std::size_t bucket)
{
    const double ms = std::exp2(static_cast<double>(bucket + 1) / bucketsPerDoubling);
    return Duration(std::llround(ms * microsecondsPerMs));
}

std::int64_t LatencyQuantiles::prune(Instant now)
{
    const std::int64_t number =
            now.time_since_epoch().count() * slicesPerWindow / m_options.window.count();
    while (!m_slices.empty() && m_slices.front().number <= number - slicesPerWindow) {
        const Buckets &counts = m_slices.front().counts;
        for (std::size_t i = 0; i < bucketCount; ++i) {
            m_counts[i] -= counts[i];
            m_total -= counts[i];
        }
        m_slices.pop_front();
    }
    return number;
}

void LatencyQuantiles::record(Duration latency, Instant now)
{
    const std::int64_t number = prune(now);
    if (m_slices.empty() || m_slices.back().number != number) {
        m_slices.push_back({number, {}});
    }
    const std::size_t bucket = bucketOf(latency);
    ++m_slices.back().counts[bucket];
    ++m_counts[bucket];
    ++m_total;
}

std::optional<Duration> LatencyQuantiles::quantile(double share, Instant now)
{
    prune(now);
    if (m_total < m_options.minSamples) {
        return std::nullopt;
    }
    const double rank = share * m_total;
    double counted = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        counted += m_counts[i];
        if (counted > 0 && counted >= rank) {
            return upperEnd(i);
        }
    }
    return upperEnd(bucketCount - 1);
}

std::optional<Duration> LatencyQuantiles::remainingAfter(Duration waited, Instant now)
{
    prune(now);
    const std::size_t first = bucketOf(waited) + 1;
    std::uint32_t longer = 0;
    for (std::size_t i = first; i < bucketCount; ++i) {
        longer += m_counts[i];
    }
    if (longer < minLongerSamples) {
        return std::nullopt;
    }
    std::uint32_t counted = 0;
    for (std::size_t i = first; i < bucketCount; ++i) {
        counted += m_counts[i];
        if (2 * counted >= longer) {
            return upperEnd(i) - waited;
        }
    }
    return std::nullopt;
}

} // namespace greengageseam
