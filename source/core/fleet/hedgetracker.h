/**
 * What one entry knows for its decisions on hedges: how long attempts take, which of them are
 * late, and how many hedges its share of the requests allows.
 */
#pragma once

#include "core/fleet/hedgepolicy.h"
#include "core/fleet/latencyquantiles.h"
#include "core/fleet/replica.h"

#include <deque>
#include <map>
#include <set>

namespace greengageseam {

/** An attempt for which the response has not started. */
struct AwaitedAttempt
{
    /** Increases from attempt to attempt. */
    std::uint64_t lease = 0;
    ServiceName service;
    ReplicaId replica;
    /** Length of the prompt in tokens; 0 if unknown. */
    double promptTokens = 0;
    Instant sentAt;
    /** Empty while it is unknown how long such a request usually takes. */
    std::optional<HedgeDelay> delay;
    /** Whether a hedge was asked for, since the response is late. */
    bool isLate = false;

    auto operator<=>(const AwaitedAttempt &) const = default;
};

/** A hedge that was granted. */
struct HedgeGrant
{
    /** Since the first attempt was sent. */
    Duration waited {};
    HedgeDelay delay;
    /** Hedges of the service that the entry may still send. */
    std::uint32_t budgetLeft = 0;
    /** Whether a log record is due; their number is limited. */
    bool isLogged = false;

    auto operator<=>(const HedgeGrant &) const = default;
};

/** It is modified in place, because it is on the path of each request. */
class HedgeTracker
{
public:
    /** @param ratio share of the requests that may be hedged; 0: nothing is tracked nor hedged */
    explicit HedgeTracker(double ratio) : m_ratio(ratio) { }

    bool isEnabled() const { return m_ratio > 0; }
    /** Records a request for the service, which adds to its budget. */
    void recordRequest(const ServiceName &service);
    /**
     * Records an attempt. @param attempt its delay is ignored
     * @param forecast expected time to its response; empty if unknown
     * @returns when it may be hedged; empty if that is unknown
     */
    std::optional<HedgeDelay> started(AwaitedAttempt attempt, std::optional<Duration> forecast);
    /** Records that the response to an attempt has started. */
    void responseStarted(std::uint64_t lease, Instant now);
    /** Records the end of an attempt; ignored if its response has started. */
    void released(std::uint64_t lease, Instant now);
    /** Records that a backend server was silent during a request. */
    void recordSilence(const ReplicaId &replica, Instant now);
    /** @returns backend servers that were silent or late within the last 3 s, which get no hedges
     */
    std::set<ReplicaId> silentReplicas(Instant now);

    /**
     * Records that an attempt is late.
     * @param lease of the attempt
     * @param forecast expected time to the response of a second attempt; empty if none can be made
     * @returns the conditions that are known here; empty if the attempt is not in progress
     */
    std::optional<HedgeConditions> conditions(std::uint64_t lease, std::optional<Duration> forecast,
                                              Instant now);
    /** Takes a hedge from the budget. @param lease of the attempt that is late */
    HedgeGrant grant(std::uint64_t lease, Instant now);

private:
    /** An attempt that is no longer awaited. */
    struct PastAttempt
    {
        Instant endedAt;
        bool wasLate = false;
    };

    struct ServiceState
    {
        double budget = 0;
        std::map<int, LatencyQuantiles> latencies;
        /** Attempts in progress that are late. */
        std::uint32_t lateInProgress = 0;
        /** The last attempts of which it was known when they would be late. */
        std::deque<PastAttempt> past;
    };

    LatencyQuantiles &latencies(const AwaitedAttempt &attempt);
    std::optional<UsualLatency> usualLatency(const AwaitedAttempt &attempt, Instant now);
    /** Removes an attempt from those that are awaited. */
    void endWait(std::map<std::uint64_t, AwaitedAttempt>::iterator it, Instant now);
    /** @returns how many attempts are late now, or have ended within @p time */
    static LateShare lateShare(const ServiceState &state, Duration time, Instant now);
    bool takeLogAllowance(Instant now);

    double m_ratio;
    std::map<ServiceName, ServiceState> m_services;
    std::map<std::uint64_t, AwaitedAttempt> m_awaited;
    std::map<ReplicaId, Instant> m_silentAt;
    /** The second in which log records were last due, and their number in it. */
    std::int64_t m_logSecond = 0;
    int m_logsInSecond = 0;
};

} // namespace greengageseam
