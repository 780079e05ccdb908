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
    /** Number of reads that must be lost until the topic counts as unavailable to everyone. */
    int unavailableAfter = 2;

    auto operator<=>(const ListeningOptions &) const = default;
};

/** What the earliest time of a change rests on. */
enum class DateBasis {
    /** The process had no view before, so the change dates from when it is heard of. */
    Hearing,
    /** The last complete view. */
    View,
    /** A failed read that is later than the last complete view. */
    LostRead,
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
 * Reads that fail repeatedly while the process runs are taken to show that the topic is unavailable
 * to everyone, so they do not date a change back. Where others could read it all the same, they
 * know the change for longer, and correct the date.
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
    /** Records a view that is complete as of a time. Call it after applying its changes. */
    void recordView(Instant completeAsOf);
    /** Records a read that failed. */
    void recordLostRead(Instant now);
    /** @returns the earliest time at which a change can have been made that is heard of now */
    Instant earliestChange(Instant now) const;
    /** @returns what that time rests on */
    DateBasis basis() const;
    /** @returns the time as of which the last view was complete; empty before the first one */
    std::optional<Instant> completeAsOf() const { return m_completeAsOf; }
    /** @returns the number of reads that were lost since then, or since the last pause */
    int lostReads() const { return m_lostReads; }

private:
    ListeningOptions m_options;
    /** When the process last recorded that it runs; empty before the first time. */
    std::optional<Instant> m_lastRunning;
    /** Every change before this time was heard of; empty before the first view. */
    std::optional<Instant> m_completeAsOf;
    /** Number of reads that were lost since then, or since the last pause. */
    int m_lostReads = 0;
    /** When a read was last lost. */
    Instant m_lastLostAt;
};

} // namespace greengageseam
