/**
 * The part of LoadBalancer that estimates load, latency and capacity of a backend server.
 */
#include "core/fleet/creditallocator.h"
#include "core/fleet/loadbalancer.h"

#include <algorithm>
#include <cmath>

namespace greengageseam {

namespace {

/** Assumed duration in milliseconds of a request to a service without an engine cost model. */
constexpr double plainServiceRequestMs = 25;
/** Fraction of the objective that a request may queue at a backend server for a slot. */
constexpr double maxQueueingShare = 0.15;
/** Time constant in milliseconds with which the excess latency decays (to 1/e). */
constexpr double excessLatencyDecayMs = 1500;
/** Weight of a new sample in the moving average of the excess latency. */
constexpr double excessLatencyWeight = 0.3;
/** Typical milliseconds to the start of a response beyond the estimate of the cost model. */
constexpr double typicalOverheadMs = 30;
constexpr double maxExcessLatencyMs = 3000;
/** Cost penalty in milliseconds for a backend server whose load reports have become stale. */
constexpr double staleReportPenaltyMs = 300;
/** Fraction of the slots up to which requests that miss their objective may fill an engine. */
constexpr double overdueSlotShare = 0.7;
/**
 * An engine in use gets a request only if the response is expected to start within this fraction of
 * the objective.
 */
constexpr double responseStartShare = 0.8;
/** Requests beyond its slots that may queue at a backend server without an engine. */
constexpr std::uint32_t plainServiceQueue = 6;
/** Assumed fraction of the other entries that send to the same backend server as this one. */
constexpr double sameChoiceShare = 0.25;
/** Time after a report for which its credits hold; later the backend server may have been filled.
 */
constexpr auto creditLifetime = std::chrono::milliseconds(60);

} // namespace

std::uint64_t LoadBalancer::effectiveWeightsVersion(const ReplicaState &state, Instant now) const
{
    const std::uint64_t listed = state.entry.loaded.runnableVersion();
    return hasFreshReport(state, now) ? state.report->weightsVersion : listed;
}

std::uint32_t LoadBalancer::estimatedLoad(const ReplicaState &state, Instant now) const
{
    if (!hasFreshReport(state, now)) {
        return state.localInFlight * std::max<std::uint32_t>(1, m_entryCount);
    }
    const std::uint32_t reported = state.report->running + state.report->waiting;
    const std::uint32_t others =
            reported > state.localInFlightAtReport ? reported - state.localInFlightAtReport : 0;
    return state.localInFlight + others
            + static_cast<std::uint32_t>(estimatedRemoteSinceReport(state, now));
}

bool LoadBalancer::needsCredit(const ReplicaState &state, Instant now) const
{
    if (m_cold.isCold(state.entry, now)) {
        return true;
    }
    if (!hasFreshReport(state, now) || !state.report->credits) {
        return false;
    }
    // Under saturation, all entries would send to the first backend server with many free slots.
    return m_saturatedServices.contains(state.entry.service)
            || isContended({state.entry.slots, state.report->running + state.report->waiting});
}

bool LoadBalancer::hasColdCredits(const ReplicaState &state, Instant now) const
{
    return hasFreshReport(state, now) && state.report->coldLeft && state.report->credits;
}

bool LoadBalancer::hasCredit(const ReplicaState &state, Instant now) const
{
    if (m_cold.isCold(state.entry, now) && !hasColdCredits(state, now)) {
        return m_cold.hasShare(state.entry, now);
    }
    return state.creditsLeft > 0 && now - state.reportedAt <= creditLifetime;
}

/**
 * Other entries receive the same reports, so some of them choose the same backend server, unless
 * credits keep them from it.
 */
double LoadBalancer::estimatedRemoteSinceReport(const ReplicaState &state, Instant now) const
{
    if (needsCredit(state, now)) {
        return 0;
    }
    const std::uint32_t sentSinceReport = state.localInFlight > state.localInFlightAtReport
            ? state.localInFlight - state.localInFlightAtReport
            : 0;
    return sentSinceReport * (m_entryCount - 1) * sameChoiceShare;
}

const EngineCosts *LoadBalancer::engineCosts(const ServiceName &service) const
{
    const auto it = m_engineCosts.find(service);
    return it == m_engineCosts.end() || it->second.slots == 0 ? nullptr : &it->second;
}

double LoadBalancer::slotReleaseMs(const ServiceName &service) const
{
    const EngineCosts *costs = engineCosts(service);
    return costs == nullptr ? plainServiceRequestMs : engineSlotReleaseMs(*costs);
}

/** Requests that the report counts as waiting still need their prefill, whoever sent them. */
EngineWorkload LoadBalancer::estimatedWorkload(const ReplicaState &state, const EngineCosts &costs,
                                               Instant now) const
{
    EngineWorkload workload;
    const double typicalPrefillMs = prefillMs(costs, 0);
    if (!hasFreshReport(state, now)) {
        workload.running = state.localInFlight * m_entryCount;
        workload.pendingPrefillMs = state.pendingPrefillMs * m_entryCount;
        return workload;
    }
    const LoadReport &report = *state.report;
    const double others = report.waiting > state.awaitingResponseAtReport
            ? report.waiting - state.awaitingResponseAtReport
            : 0;
    const double pace = std::max(1.0, report.slowdown);
    workload.running = report.running;
    workload.pendingPrefillMs =
            (state.pendingPrefillMs
             + (others + estimatedRemoteSinceReport(state, now)) * typicalPrefillMs)
            * pace;
    return workload;
}

/** @returns the expected milliseconds to the start of a response */
double LoadBalancer::expectedResponseMs(const ReplicaState &state, double promptTokens,
                                        Instant now) const
{
    const std::uint32_t slots = std::max<std::uint32_t>(1, state.entry.slots);
    const std::uint32_t inUse = estimatedLoad(state, now);
    const double queueingMs =
            inUse < slots ? 0 : (inUse - slots + 1) * slotReleaseMs(state.entry.service);
    if (const EngineCosts *costs = engineCosts(state.entry.service)) {
        return queueingMs
                + timeToFirstTokenMs(*costs, estimatedWorkload(state, *costs, now), promptTokens);
    }
    // Without a cost model, latency is assumed to rise linearly with the use of the slots.
    return queueingMs + plainServiceRequestMs * std::min(inUse, slots) / slots;
}

double LoadBalancer::penaltyMs(const ReplicaState &state, Instant now) const
{
    // If the reports have become stale, the backend server or its agent may be unreachable.
    const double staleReport =
            state.report && !hasFreshReport(state, now) ? staleReportPenaltyMs : 0;
    const double crossZone = state.entry.zone == m_options.zone ? 0 : m_options.crossZonePenaltyMs;
    const bool isElsewhere = m_prefersOwnRegion && state.region != regionOf(m_options.zone);
    const double crossRegion = isElsewhere ? m_options.crossRegionPenaltyMs : 0;
    return staleReport + crossZone + crossRegion;
}

bool LoadBalancer::hasCapacity(const ReplicaState &state, const ReplicaRequirements &requirements,
                               Instant now) const
{
    const std::uint32_t slots = std::max<std::uint32_t>(1, state.entry.slots);
    const std::uint32_t inUse = estimatedLoad(state, now);
    if (state.localInFlight >= state.availability.allowedInFlight(now)) {
        return false;
    }
    if (const EngineCosts *costs = engineCosts(requirements.service)) {
        return hasEngineCapacity(state, *costs, requirements, now);
    }
    return inUse < slots + plainServiceQueue && (!needsCredit(state, now) || hasCredit(state, now));
}

/**
 * An engine has capacity if the response is likely to start within the objective. Requests that
 * miss their objective use only spare capacity: few slots in use and little pending prefill.
 */
bool LoadBalancer::hasEngineCapacity(const ReplicaState &state, const EngineCosts &costs,
                                     const ReplicaRequirements &requirements, Instant now) const
{
    const std::uint32_t slots = std::max<std::uint32_t>(1, state.entry.slots);
    const std::uint32_t inUse = estimatedLoad(state, now);
    const bool isRationed = needsCredit(state, now);
    if (isRationed && !hasCredit(state, now)) {
        return false;
    }
    if (requirements.missesObjective) {
        return inUse < slots * overdueSlotShare
                && estimatedWorkload(state, costs, now).pendingPrefillMs < prefillMs(costs, 0);
    }
    const double objectiveMs =
            std::chrono::duration<double, std::milli>(requirements.latencyObjective).count();
    if (inUse >= slots && !isRationed) {
        const double queueingMs = (inUse - slots + 1) * slotReleaseMs(requirements.service);
        return hasFreshReport(state, now) && queueingMs <= objectiveMs * maxQueueingShare;
    }
    return inUse == 0
            || expectedResponseMs(state, requirements.promptTokens, now)
            <= objectiveMs * responseStartShare;
}

double LoadBalancer::costMs(const ReplicaState &state, const ReplicaRequirements &requirements,
                            Instant now) const
{
    return expectedResponseMs(state, requirements.promptTokens, now) + penaltyMs(state, now)
            + decayedExcessLatencyMs(state, now);
}

double LoadBalancer::decayedExcessLatencyMs(const ReplicaState &state, Instant now) const
{
    const double ageMs =
            std::chrono::duration<double, std::milli>(now - state.excessLatencyAt).count();
    return state.excessLatencyMs * std::exp(-ageMs / excessLatencyDecayMs);
}

void LoadBalancer::recordLatency(ReplicaState &state, Duration responseLatency, Instant now)
{
    const double latencyMs = std::chrono::duration<double, std::milli>(responseLatency).count();
    const double expectedMs = typicalOverheadMs + expectedResponseMs(state, 0, now);
    const double excessMs = std::clamp(latencyMs - expectedMs, 0.0, maxExcessLatencyMs);
    state.excessLatencyMs = decayedExcessLatencyMs(state, now) * (1 - excessLatencyWeight)
            + excessMs * excessLatencyWeight;
    state.excessLatencyAt = now;
}

} // namespace greengageseam
