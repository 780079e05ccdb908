#include "core/fleet/loadbalancer.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace greengageseam {

namespace {

/** Assumed duration in milliseconds of a request to a service without an engine cost model. */
constexpr double plainServiceRequestMs = 25;
/** Fraction of the objective that a request may queue at a backend server for a slot. */
constexpr double maxQueueingShare = 0.15;
/** Backoff after a backend server rejected a request. */
constexpr auto rejectionBackoff = std::chrono::milliseconds(60);
/** Backoff after a misdirected request, until the list or a report corrects the record. */
constexpr auto misdirectionBackoff = std::chrono::milliseconds(700);
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
/**
 * Number of candidates with capacity that are compared for a request, in the entry's own zone and
 * in the other zones each. Comparing only a few random ones keeps the entries from all choosing the
 * same backend server.
 */
constexpr std::size_t maxCandidates = 3;

/** @returns a random step that is coprime to @p n, so that it visits each of n positions once */
std::size_t coprimeStep(std::size_t n, std::uint64_t random)
{
    constexpr std::uint64_t mix = 0x9e3779b97f4a7c15;
    std::size_t step = 1 + (random * mix >> 33U) % std::max<std::size_t>(1, n);
    while (std::gcd(step, n) != 1) {
        ++step;
    }
    return step;
}

} // namespace

void LoadBalancer::setReplicas(const std::vector<ReplicaEntry> &entries)
{
    std::map<ReplicaId, ReplicaState> state;
    m_byAddress.clear();
    m_byService.clear();
    for (const ReplicaEntry &entry : entries) {
        ReplicaState next;
        const auto it = m_replicas.find(entry.id);
        const bool isSame = it != m_replicas.end()
                && it->second.entry.startedAtMs == entry.startedAtMs
                && it->second.entry.address == entry.address;
        if (isSame) {
            next = std::move(it->second);
        }
        next.entry = entry;
        state.emplace(entry.id, std::move(next));
        m_byService[entry.service].push_back(entry.id);
        const auto [other, isFirst] = m_byAddress.emplace(entry.address, entry.id);
        if (!isFirst && state.at(other->second).entry.startedAtMs < entry.startedAtMs) {
            other->second = entry.id;
        }
    }
    m_replicas = std::move(state);
}

void LoadBalancer::setServices(const std::map<ServiceName, Service> &services)
{
    m_engineCosts.clear();
    for (const auto &[name, service] : services) {
        if (service.engine) {
            m_engineCosts.emplace(name, *service.engine);
        }
    }
}

void LoadBalancer::applyReport(const LoadReport &report, Instant now)
{
    const auto id = m_byAddress.find(report.backend);
    if (id == m_byAddress.end()) {
        return;
    }
    ReplicaState &state = m_replicas.at(id->second);
    if (state.entry.startedAtMs != 0 && report.startedAtMs != 0
        && report.startedAtMs < state.entry.startedAtMs) {
        return;
    }
    state.report = report;
    state.reportedAt = now;
    state.localInFlightAtReport = state.localInFlight;
    state.awaitingResponseAtReport = state.awaitingResponse;
}

bool LoadBalancer::hasFreshReport(const ReplicaState &state, Instant now) const
{
    return state.report && now - state.reportedAt <= m_options.reportLifetime;
}

std::uint64_t LoadBalancer::effectiveWeightsVersion(const ReplicaState &state, Instant now) const
{
    const std::uint64_t listed = state.entry.loaded.runnableVersion();
    return hasFreshReport(state, now) ? state.report->weightsVersion : listed;
}

bool LoadBalancer::isUsable(const ReplicaState &state, std::uint64_t minWeightsVersion,
                            Instant now) const
{
    // A backend server that restarts under the same address usually registers with another id, so
    // the old entry of the list must not be used for the new process.
    const bool isReplaced = state.report && state.entry.startedAtMs != 0
            && state.report->startedAtMs > state.entry.startedAtMs;
    const bool isSuperseded = m_byAddress.at(state.entry.address) != state.entry.id;
    if (state.entry.isDraining || isReplaced || isSuperseded || state.health.at(now).isEjected()) {
        return false;
    }
    if (!m_engineCosts.contains(state.entry.service)) {
        return true;
    }
    const bool isLoading = hasFreshReport(state, now) && state.report->hasOrderInProgress;
    const std::uint64_t weights = effectiveWeightsVersion(state, now);
    return !isLoading && weights > 0 && weights >= minWeightsVersion;
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
            + static_cast<std::uint32_t>(estimatedRemoteSinceReport(state));
}

/** Other entries receive the same reports, so some of them choose the same backend server. */
double LoadBalancer::estimatedRemoteSinceReport(const ReplicaState &state) const
{
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
    workload.pendingPrefillMs = (state.pendingPrefillMs
                                 + (others + estimatedRemoteSinceReport(state)) * typicalPrefillMs)
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
    return staleReport + crossZone;
}

bool LoadBalancer::hasCapacity(const ReplicaState &state, const ReplicaRequirements &requirements,
                               Instant now) const
{
    const std::uint32_t slots = std::max<std::uint32_t>(1, state.entry.slots);
    const std::uint32_t inUse = estimatedLoad(state, now);
    if (state.localInFlight >= state.health.at(now).allowedInFlight() || now < state.backoffUntil) {
        return false;
    }
    if (const EngineCosts *costs = engineCosts(requirements.service)) {
        return hasEngineCapacity(state, *costs, requirements, now);
    }
    return inUse < slots + plainServiceQueue;
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
    if (requirements.missesObjective) {
        return inUse < slots * overdueSlotShare
                && estimatedWorkload(state, costs, now).pendingPrefillMs < prefillMs(costs, 0);
    }
    const double objectiveMs =
            std::chrono::duration<double, std::milli>(requirements.latencyObjective).count();
    if (inUse >= slots) {
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

/** @returns the candidate with the lowest cost of a few random ones with capacity, or null */
LoadBalancer::ReplicaState *LoadBalancer::cheapestCandidate(const std::vector<ReplicaId> &pool,
                                                            const ReplicaRequirements &requirements,
                                                            bool isSameZone, Instant now,
                                                            std::uint64_t random)
{
    ReplicaState *best = nullptr;
    const std::size_t n = pool.size();
    const std::size_t step = coprimeStep(n, random);
    std::size_t compared = 0;
    for (std::size_t i = 0; i < n && compared < maxCandidates; ++i) {
        ReplicaState &state = m_replicas.at(pool[(random + i * step) % n]);
        const bool isCandidate = (state.entry.zone == m_options.zone) == isSameZone
                && !requirements.tried.contains(state.entry.id);
        if (!isCandidate || !isUsable(state, requirements.minWeightsVersion, now)
            || !hasCapacity(state, requirements, now)) {
            continue;
        }
        ++compared;
        if (best == nullptr
            || costMs(state, requirements, now) < costMs(*best, requirements, now)) {
            best = &state;
        }
    }
    return best;
}

std::optional<ReplicaEntry> LoadBalancer::acquire(const ReplicaRequirements &requirements,
                                                  Instant now, std::uint64_t random)
{
    const auto pool = m_byService.find(requirements.service);
    if (pool == m_byService.end()) {
        return std::nullopt;
    }
    ReplicaState *sameZone = cheapestCandidate(pool->second, requirements, true, now, random);
    ReplicaState *crossZone = cheapestCandidate(pool->second, requirements, false, now, random);
    const bool isSameZone = crossZone == nullptr
            || (sameZone != nullptr
                && costMs(*sameZone, requirements, now) <= costMs(*crossZone, requirements, now));
    ReplicaState *best = isSameZone ? sameZone : crossZone;
    if (best == nullptr) {
        return std::nullopt;
    }
    best->health = best->health.at(now);
    ++best->localInFlight;
    if (const EngineCosts *costs = engineCosts(requirements.service)) {
        ++best->awaitingResponse;
        best->pendingPrefillMs += prefillMs(*costs, requirements.promptTokens);
    }
    return best->entry;
}

void LoadBalancer::responseStarted(const ReplicaId &id, double promptTokens)
{
    const auto it = m_replicas.find(id);
    const EngineCosts *costs =
            it == m_replicas.end() ? nullptr : engineCosts(it->second.entry.service);
    if (costs != nullptr) {
        removePendingPrefill(it->second, prefillMs(*costs, promptTokens));
    }
}

void LoadBalancer::removePendingPrefill(ReplicaState &state, double prefillMs)
{
    state.awaitingResponse -= state.awaitingResponse > 0 ? 1 : 0;
    state.awaitingResponseAtReport -= state.awaitingResponseAtReport > 0 ? 1 : 0;
    state.pendingPrefillMs =
            state.awaitingResponse == 0 ? 0 : std::max(0.0, state.pendingPrefillMs - prefillMs);
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

void LoadBalancer::finished(const ReplicaId &id, ReplicaVerdict verdict,
                            std::optional<Duration> responseLatency, Instant now)
{
    const auto it = m_replicas.find(id);
    if (it == m_replicas.end()) {
        return;
    }
    ReplicaState &state = it->second;
    state.localInFlight -= state.localInFlight > 0 ? 1 : 0;
    state.localInFlightAtReport -= state.localInFlightAtReport > 0 ? 1 : 0;
    if (responseLatency) {
        recordLatency(state, *responseLatency, now);
    }
    switch (verdict) {
    case ReplicaVerdict::Answered:
        state.health = state.health.succeeded(m_options.health);
        break;
    case ReplicaVerdict::Full:
        state.backoffUntil = now + rejectionBackoff;
        break;
    case ReplicaVerdict::Misdirected:
        state.backoffUntil = now + misdirectionBackoff;
        break;
    case ReplicaVerdict::Failed:
        state.health = state.health.failed(now, m_options.health);
        break;
    case ReplicaVerdict::Neutral:
        break;
    }
}

std::uint64_t LoadBalancer::weightsVersion(const ReplicaId &id, Instant now) const
{
    const auto it = m_replicas.find(id);
    return it == m_replicas.end() ? 0 : effectiveWeightsVersion(it->second, now);
}

std::optional<Duration> LoadBalancer::reportAge(const ReplicaId &id, Instant now) const
{
    const auto it = m_replicas.find(id);
    const bool isKnown = it != m_replicas.end() && hasFreshReport(it->second, now);
    return isKnown ? std::optional<Duration>(now - it->second.reportedAt) : std::nullopt;
}

Occupancy LoadBalancer::occupancy(const ServiceName &service, std::uint64_t minWeightsVersion,
                                  Instant now) const
{
    Occupancy sum;
    const auto pool = m_byService.find(service);
    if (pool == m_byService.end()) {
        return sum;
    }
    for (const ReplicaId &id : pool->second) {
        const ReplicaState &state = m_replicas.at(id);
        if (isUsable(state, minWeightsVersion, now)) {
            ++sum.usableReplicas;
            sum.slots += state.entry.slots;
            sum.inUse += estimatedLoad(state, now);
        }
    }
    return sum;
}

Duration LoadBalancer::meanSlotReleaseTime(const ServiceName &service) const
{
    const auto pool = m_byService.find(service);
    const std::size_t n = pool == m_byService.end() ? 1 : pool->second.size();
    constexpr double microsecondsPerMs = 1000;
    return Duration(std::llround(slotReleaseMs(service) * microsecondsPerMs
                                 / static_cast<double>(std::max<std::size_t>(1, n))));
}

bool LoadBalancer::hasUsable(const ServiceName &service, std::uint64_t minWeightsVersion,
                             Instant now) const
{
    return occupancy(service, minWeightsVersion, now).usableReplicas > 0;
}

} // namespace greengageseam
