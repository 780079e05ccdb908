/**
 * History of when a process was able to hear of changes. It dates a change that the process hears
 * of late, because the process was paused or its read of the change was hanging.
 */
#pragma once

#include "core/common/time.h"

#include <optional>

namespace greengageseam {

/** Options of ListeningHistory. */
struct ListeningOptions
{
    /** A longer time between two signs that the process runs counts as a pause. */
    Duration pauseThreshold = std::chrono::milliseconds(300);
    /** Time after a pause within which the process catches up with the changes of that time. */
    Duration catchUpTime = std::chrono::milliseconds(1500);
    /** Maximum time for which a lost read may have been hanging before it was given up. */
    Duration maxHangingRead = std::chrono::seconds(2);

    auto operator<=>(const ListeningOptions &) const = default;
};

/**
 * Tells the earliest time at which a change can have been made that the process hears of now.
 * Usually it hears of a change at once. After a pause, or after a read that was lost, the change
 * may be as old as the last time at which the process was listening.
 *
 * Reads that fail repeatedly show that the topic is unavailable, not that this process missed
 * something that others have heard of, so they do not date a change back.
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
    /** Records a read that returned every change up to now. Call it after applying the changes. */
    void recordRead(Instant now);
    /** Records a read that failed, or that was given up before it returned anything. */
    void recordLostRead();
    /** @returns the earliest time at which a change can have been made that is heard of now */
    Instant earliestChange(Instant now) const;

private:
    ListeningOptions m_options;
    /** When the process last recorded that it runs; empty before the first time. */
    std::optional<Instant> m_lastRunning;
    /** Start of the last pause, or of several that followed each other closely. */
    Instant m_pausedSince;
    /** Until this time, changes may date from the last pause; empty if there was no pause. */
    std::optional<Instant> m_catchUpUntil;
    /** When a read last returned everything; empty before the first time. */
    std::optional<Instant> m_lastRead;
    /** Number of reads that were lost since then. */
    int m_lostReads = 0;
};

} // namespace greengageseam
