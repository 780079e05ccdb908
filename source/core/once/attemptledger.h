/**
 * The agent's memory of attempts: what ran, what never will, and what a cancel may promise.
 */
#pragma once

#include "core/common/common.h"

#include <cstdint>
#include <map>

namespace greengageseam {

/** What the ledger knows of an attempt. */
enum class AttemptPhase { Unseen, Running, Ended, Tombstone };

/** The answer to a request to start an attempt. */
enum class StartVerdict { Start, AlreadySeen, Cancelled };

/** Remembers attempts for a bounded time; a step changes the ledger in place. */
class AttemptLedger
{
public:
    /** @param keepFor how long an ended or cancelled attempt is remembered */
    explicit AttemptLedger(Duration keepFor);

    /** @returns whether the attempt may start; it then counts as running */
    StartVerdict start(const AttemptId &attempt, Instant now);

    /** Marks a running attempt as ended. */
    void end(const AttemptId &attempt, Instant now);

    /**
     * Cancels an attempt. One that was never seen leaves a tombstone and will never start.
     * @returns the phase before the cancel; only Unseen and Tombstone mean that it did not run
     */
    AttemptPhase cancel(const AttemptId &attempt, Instant now);

    /** @returns how many attempts run */
    std::uint32_t running() const { return m_running; }

    /** Forgets what is older than the time given. */
    void expire(Instant now);

private:
    struct Entry
    {
        AttemptPhase phase = AttemptPhase::Unseen;
        Instant since;
    };

    Duration m_keepFor;
    std::map<AttemptId, Entry> m_entries;
    /** Invariant: the number of entries in the phase Running. */
    std::uint32_t m_running = 0;
};

} // namespace greengageseam
