/**
 * Deduplication of attempts at an agent: decides whether an attempt may start, and whether a
 * cancelled attempt is known not to have been executed.
 */
#pragma once

#include "core/common/common.h"

#include <cstdint>
#include <deque>
#include <map>

namespace greengageseam {

/** State of an attempt in the registry. */
enum class AttemptPhase { Unseen, Running, Finished, Tombstone, Evicted };

/** Result of a request to start an attempt. */
enum class StartResult { Start, AlreadySeen, Cancelled, TooOld };

/** Bounds on the memory of a registry. */
struct AttemptRegistryOptions
{
    /** How long a finished or cancelled attempt is kept. */
    Duration retention = std::chrono::minutes(15);
    /** Maximum number of finished or cancelled attempts that are kept. */
    std::size_t capacity = 32'768;

    AttemptRegistryOptions withRetention(Duration value) const;
    AttemptRegistryOptions withCapacity(std::size_t value) const;
    auto operator<=>(const AttemptRegistryOptions &) const = default;
};

/**
 * Tracks attempts in bounded memory; each step changes the registry in place.
 *
 * Each attempt carries the agent's clock, as its entry knew it before it created the attempt. An
 * evicted attempt finished after its own clock value. So if the clock value of an unknown attempt
 * is later than the end of every evicted attempt, the attempt is certainly new. For any other
 * unknown attempt the registry gives no guarantee: it does not start, and a cancel cannot confirm
 * that it was not executed.
 */
class AttemptRegistry
{
public:
    explicit AttemptRegistry(AttemptRegistryOptions options = {});

    /**
     * Starts an attempt unless it is a duplicate, was cancelled, or is too old to tell.
     * @param agentClock the agent's clock as the entry knew it before it created the attempt
     * @returns Start if the attempt may start; it then counts as running
     */
    StartResult start(const AttemptId &attempt, Instant agentClock, Instant now);

    /** Marks a running attempt as finished. */
    void finish(const AttemptId &attempt, Instant now);

    /**
     * Cancels an attempt. An unseen attempt leaves a tombstone, so that it can never start.
     * @param agentClock the agent's clock as the entry knew it before it created the attempt
     * @returns the phase before the cancellation; only Unseen and Tombstone guarantee that the
     * attempt was not executed
     */
    AttemptPhase cancel(const AttemptId &attempt, Instant agentClock, Instant now);

    /** @returns whether an attempt is tracked: it runs, has finished, or was cancelled */
    bool isTracked(const AttemptId &attempt) const { return m_phases.contains(attempt); }

    /** @returns how many attempts are running */
    std::uint32_t runningCount() const { return m_running; }

    /** @returns how many attempts are tracked, including running ones */
    std::size_t size() const { return m_phases.size(); }

    /** Evicts attempts whose retention has elapsed at @p now. */
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
    /** Invariant: the finished and cancelled attempts of m_phases, oldest first. */
    std::deque<FinishedAttempt> m_finished;
    /** Invariant: not earlier than the end of any evicted attempt. */
    Instant m_evictedUntil = Instant::min();
    /** Invariant: the number of attempts in the phase Running. */
    std::uint32_t m_running = 0;
};

} // namespace greengageseam
