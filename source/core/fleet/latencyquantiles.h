/**
 * Distribution of recent latencies, from which quantiles are read without keeping the samples.
 */
#pragma once

#include "core/common/time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

namespace greengageseam {

/** Options of LatencyQuantiles. */
struct LatencyQuantilesOptions
{
    /** Time for which a sample counts. */
    Duration window = std::chrono::seconds(30);
    /** Samples below which no quantile is given. */
    std::uint32_t minSamples = 20;

    auto operator<=>(const LatencyQuantilesOptions &) const = default;
};

/**
 * Counts latencies from 1 ms to 65 s in buckets that are 9 % wide, in a sliding window.
 *
 * It is modified in place, because it is on the path of each request.
 */
class LatencyQuantiles
{
public:
    explicit LatencyQuantiles(LatencyQuantilesOptions options = {}) : m_options(options) { }

    void record(Duration latency, Instant now);
    /**
     * @param share share of the samples that are at most as large as the quantile, from 0 to 1
     * @returns the quantile; empty while there are too few samples
     */
    std::optional<Duration> quantile(double share, Instant now);
    /**
     * @returns the median of the further time that samples have taken which took longer than
     *          @p waited; empty if there are too few of them
     */
    std::optional<Duration> remainingAfter(Duration waited, Instant now);

private:
    static constexpr std::size_t bucketCount = 128;
    using Buckets = std::array<std::uint32_t, bucketCount>;

    /** Counts of a part of the window. */
    struct Slice
    {
        std::int64_t number = 0;
        Buckets counts {};
    };

    static std::size_t bucketOf(Duration latency);
    static Duration upperEnd(std::size_t bucket);
    /** Removes what is older than the window. @returns the number of the current slice */
    std::int64_t prune(Instant now);

    LatencyQuantilesOptions m_options;
    std::deque<Slice> m_slices;
    /** Sum of the slices. */
    Buckets m_counts {};
    std::uint32_t m_total = 0;
};

} // namespace greengageseam
