/**
 * The agent's memory of attempts: what ran, what never will, and what a cancel may promise.
 */
#pragma once

#include "core/common/common.h"

#include <cstdint>
#include <deque>
#include <map>

namespace greengageseam {

/** What the ledger knows of an attempt. */
enum class AttemptPhase { Unseen, Running, Finished, Tombstone, Evicted };

/** The answer to a request to start an attempt. */
enum class StartResult { Start, AlreadySeen, Cancelled, TooOld };

/** How much a ledger remembers. */
struct AttemptRegistryOptions
{
    /** How long an ended or cancelled attempt is remembered. */
    Duration retention = std::chrono::minutes(15);
    /** How many ended or cancelled attempts are remembered at most. */
    std::size_t capacity = 32'768;

    AttemptRegistryOptions withRetention(Duration value) const;
    AttemptRegistryOptions withCapacity(std::size_t value) const;
    auto operator<=>(const AttemptRegistryOptions &) const = default;
};

/**
 * Remembers attempts within bounds; a step changes the ledger in place.
 *
 * Each attempt comes with the stamp of the agent's clock that its entry had heard before it made
 * the attempt. What was forgotten had ended after its own stamp, so an attempt whose stamp is later
 * than all that was forgotten is known for sure. Of others the ledger promises nothing.
 */
class AttemptRegistry
{
public:
    explicit AttemptRegistry(AttemptRegistryOptions options = {});

    /**
     * @param stamp the agent's clock as the entry knew it before the attempt was made
     * @returns whether the attempt may start; it then counts as running
     */
    StartResult start(const AttemptId &attempt, Instant agentClock, Instant now);

    /** Marks a running attempt as ended. */
    void finish(const AttemptId &attempt, Instant now);

    /**
     * Cancels an attempt. One that was never seen leaves a tombstone and will never start.
     * @param stamp the agent's clock as the entry knew it before the attempt was made
     * @returns the phase before the cancel; only Unseen and Tombstone mean that it did not run
     */
    AttemptPhase cancel(const AttemptId &attempt, Instant agentClock, Instant now);

    /** @returns how many attempts run */
    std::uint32_t runningCount() const { return m_running; }

    /** @returns how many attempts are remembered, with those that run */
    std::size_t size() const { return m_phases.size(); }

    /** Forgets what is older than the time given. */
    void expire(Instant now);

private:
    struct FinishedAttempt
    {
        Instant finishedAt;
        AttemptId attempt;
    };

    void recordFinished(const AttemptId &attempt, Instant now);
    void evictOldest();

    AttemptRegistryOptions m_options;
    std::map<AttemptId, AttemptPhase> m_phases;
    /** Invariant: the ended and cancelled attempts of m_phases, oldest first. */
    std::deque<FinishedAttempt> m_finished;
    /** Invariant: not earlier than the end of any attempt that was forgotten. */
    Instant m_evictedUntil = Instant::min();
    /** Invariant: the number of entries in the phase Running. */
    std::uint32_t m_running = 0;
};

} // namespace greengageseam
