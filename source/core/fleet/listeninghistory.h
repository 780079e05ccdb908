/**
 * Dates a change that a process hears of late, by as of when it had heard of every change.
 */
#pragma once

#include "core/common/time.h"

#include <optional>
#include <string_view>

namespace greengageseam {

/** Options of ListeningHistory. */
struct ListeningOptions
{
    /** A longer time between two signs that the process runs counts as a pause. */
    Duration pauseThreshold = std::chrono::milliseconds(300);
    /** Time after a pause within which messages are handled that may have waited during it. */
    Duration settleTime = std::chrono::milliseconds(300);

    auto operator<=>(const ListeningOptions &) const = default;
};

/** What the earliest time of a change rests on. */
enum class DateBasis {
    /** The process had no view before, so the change dates from when it is heard of. */
    Hearing,
    /** The last complete view. */
    View,
    /** The end of an outage in which nobody could read the topic. */
    Outage,
    /** Another process has known the change for longer. */
    Peer
};

/** @returns the name of a basis, for the log */
std::string_view nameOf(DateBasis basis);

/**
 * Tells the earliest time at which a change can have been made that the process hears of now: the
 * time as of which its view was complete before. It does not matter why the view is old: the
 * process was paused, a read was hanging, or the process that it reads from was behind.
 *
 * A read that fails shows nothing about what others could read or announce meanwhile: the link of
 * this process may be full, or the process that it reads from be behind. Where another process was
 * listening, it knows the change for longer, and its knowledge is a proof. Only an outage that
 * others confirm moves the date.
 *
 * It is modified in place, because a process records several times per second that it runs.
 */
class ListeningHistory
{
public:
    explicit ListeningHistory(ListeningOptions options = {}) : m_options(options) { }

    /**
     * Records that the process runs.
     * @returns the length of the pause that has just ended, if there was one
     */
    std::optional<Duration> recordRunning(Instant now);
    /**
     * @returns the earliest time at which a message that is handled now can have arrived; its
     *     sender could not know for how long it would wait here
     */
    Instant earliestArrival(Instant now) const;
    /** Records a view that is complete as of a time. Call it after applying its changes. */
    void recordView(Instant completeAsOf);
    /** Records that nobody could read the topic until now. */
    void recordOutage(Instant now);
    /** @returns the earliest time at which a change can have been made that is heard of now */
    Instant earliestChange(Instant now) const;
    /** @returns what that time rests on */
    DateBasis basis() const;
    /** @returns the time as of which the last view was complete; empty before the first one */
    std::optional<Instant> completeAsOf() const { return m_completeAsOf; }

private:
    ListeningOptions m_options;
    /** When the process last recorded that it runs; empty before the first time. */
    std::optional<Instant> m_lastRunning;
    /** Start and end of the last pause. */
    Instant m_pausedAt;
    Instant m_resumedAt;
    /** Every change before this time was heard of; empty before the first view. */
    std::optional<Instant> m_completeAsOf;
    /** Until then, as far as is known, nobody could read the topic. */
    Instant m_unreadableUntil;
};

} // namespace greengageseam
