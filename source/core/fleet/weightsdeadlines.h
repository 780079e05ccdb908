/**
 * When the target versions of weights become due: from when on requests must not be sent to older
 * weights, and by when a request that was sent to them must have begun.
 */
#pragma once

#include "core/common/ids.h"
#include "core/common/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace greengageseam {

/** Options of WeightsDeadlines. */
struct WeightsDeadlineOptions
{
    /** Time from the announcement of a version after which no request may begin on older ones. */
    Duration bound = std::chrono::seconds(8);
    /** A version is required this long before its bound expires. */
    Duration requiredBefore = std::chrono::milliseconds(1000);
    /** A request on older weights that has not begun is aborted this long before the bound. */
    Duration abortedBefore = std::chrono::milliseconds(400);

    WeightsDeadlineOptions withBound(Duration value) const
    {
        WeightsDeadlineOptions next = *this;
        next.bound = value;
        return next;
    }

    auto operator<=>(const WeightsDeadlineOptions &) const = default;
};

/** The target versions of each model's weights, with the times at which they were announced. */
class WeightsDeadlines
{
public:
    explicit WeightsDeadlines(WeightsDeadlineOptions options = {}) : m_options(options) { }

    /**
     * Adds a target version. Of two times for the same version the earlier one counts, since both
     * are times at which somebody knew of it.
     */
    WeightsDeadlines withAnnouncement(const ModelName &model, std::uint64_t version,
                                      Instant announcedAt) const;

    /** @returns the newest target version of a model; 0 if there is none */
    std::uint64_t newest(const ModelName &model) const;
    /** @returns when a version was announced; empty if it was not */
    std::optional<Instant> announcedAt(const ModelName &model, std::uint64_t version) const;
    /** @returns the time from which a version is required that was announced at @p announcedAt */
    Instant requiredFrom(Instant announcedAt) const;
    /** @returns the oldest version that requests may be sent to; 0 if any version will do */
    std::uint64_t required(const ModelName &model, Instant now) const;
    /**
     * @returns the time by which a request must have begun that is sent to a version; empty if no
     *          newer version was announced
     */
    std::optional<Instant> startDeadline(const ModelName &model, std::uint64_t version) const;

    auto operator<=>(const WeightsDeadlines &) const = default;

private:
    using AnnouncementTimes = std::map<std::uint64_t, Instant>;

    WeightsDeadlineOptions m_options;
    /** Invariant: no model is without versions. */
    std::map<ModelName, AnnouncementTimes> m_announced;
};

} // namespace greengageseam
