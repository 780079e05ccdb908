#include "core/fleet/loadbalancer.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace greengageseam {

namespace {

/** Backoff after a backend server rejected a request. */
constexpr auto rejectionBackoff = std::chrono::milliseconds(60);
/** Backoff after a misdirected request, until the list or a report corrects the record. */
constexpr auto misdirectionBackoff = std::chrono::milliseconds(700);
/**
 * Number of candidates with capacity that are compared for a request, in the entry's own zone and
 * in the other zones each. Comparing only a few random ones keeps the entries from all choosing the
 * same backend server.
 */
constexpr std::size_t maxCandidates = 3;
/** Number of backend servers that are remembered after they have left the list. */
constexpr std::size_t maxPastStatements = 256;

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

ReplicaProcess processOf(const ReplicaEntry &entry)
{
    return {entry.id, entry.address, entry.startedAtMs};
}

void LoadBalancer::setReplicas(const std::vector<ReplicaEntry> &entries, Instant now)
{
    m_cold.setReplicas(entries, now);
    std::map<ReplicaId, ReplicaState> previous = std::move(m_replicas);
    m_replicas.clear();
    m_byAddress.clear();
    m_byService.clear();
    for (const ReplicaEntry &entry : entries) {
        ReplicaState next;
        const auto it = previous.find(entry.id);
        if (it != previous.end() && processOf(it->second.entry) == processOf(entry)) {
            next = std::move(it->second);
            previous.erase(it);
        } else {
            next.availability = rememberedAvailability(processOf(entry));
        }
        next.entry = entry;
        next.region = regionOf(entry.zone);
        next.availability = next.availability.listed(entry.isDraining);
        m_replicas.emplace(entry.id, std::move(next));
        m_byService[entry.service].push_back(entry.id);
        const auto [other, isFirst] = m_byAddress.emplace(entry.address, entry.id);
        if (!isFirst && m_replicas.at(other->second).entry.startedAtMs < entry.startedAtMs) {
            other->second = entry.id;
        }
    }
    for (const auto &[id, state] : previous) {
        rememberStatement({processOf(state.entry), state.availability});
    }
}

/** The list may drop a backend server for a moment, while it is alive. */
void LoadBalancer::rememberStatement(const PastStatement &statement)
{
    if (!statement.availability.hasStatement()) {
        return;
    }
    m_pastStatements.push_back(statement);
    if (m_pastStatements.size() > maxPastStatements) {
        m_pastStatements.pop_front();
    }
}

ReplicaAvailability LoadBalancer::rememberedAvailability(const ReplicaProcess &incarnation) const
{
    const auto it = std::find_if(
            m_pastStatements.rbegin(), m_pastStatements.rend(),
            [&](const PastStatement &past) { return past.incarnation == incarnation; });
    return it == m_pastStatements.rend() ? ReplicaAvailability() : it->availability;
}

void LoadBalancer::applyStatement(const ReplicaProcess &incarnation,
                                  const ReplicaStatement &statement, Instant now)
{
    const auto it = m_replicas.find(incarnation.id);
    const bool isListed = it != m_replicas.end() && processOf(it->second.entry) == incarnation;
    ReplicaAvailability next =
            isListed ? it->second.availability : rememberedAvailability(incarnation);
    if (statement.isLeaving) {
        next = next.leaving();
    }
    next = next.paused(now, statement.pause.value_or(Duration::zero()));
    if (isListed) {
        it->second.availability = next;
    } else {
        rememberStatement({incarnation, next});
    }
}

std::map<ReplicaId, UnavailableCause> LoadBalancer::unavailableReplicas(Instant now) const
{
    std::map<ReplicaId, UnavailableCause> causes;
    for (const auto &[id, state] : m_replicas) {
        if (const auto cause = state.availability.cause(now)) {
            causes.emplace(id, *cause);
        }
    }
    return causes;
}

bool LoadBalancer::isLeaving(const ReplicaId &id) const
{
    const auto it = m_replicas.find(id);
    return it != m_replicas.end() && it->second.availability.isLeaving();
}

void LoadBalancer::setServices(const std::map<ServiceName, Service> &services)
{
    m_cold.setServices(services);
    m_engineCosts.clear();
    for (const auto &[name, service] : services) {
        if (service.engine) {
            m_engineCosts.emplace(name, *service.engine);
        }
    }
}

void LoadBalancer::setEntryCount(std::uint32_t entries)
{
    m_entryCount = entries;
    m_cold.setEntryCount(entries);
}

void LoadBalancer::setSaturated(const ServiceName &service, bool isSaturated)
{
    if (isSaturated) {
        m_saturatedServices.insert(service);
    } else {
        m_saturatedServices.erase(service);
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
    const bool isOnTime = m_cold.applyReport(state.entry.id, report.coldLeft, report.sentAt, now);
    state.creditsLeft = isOnTime ? report.credits.value_or(0) : 0;
    state.localInFlightAtReport = state.localInFlight;
    state.awaitingResponseAtReport = state.awaitingResponse;
}

bool LoadBalancer::hasFreshReport(const ReplicaState &state, Instant now) const
{
    return state.report && now - state.reportedAt <= m_options.reportLifetime;
}

RegionName LoadBalancer::regionOf(const ZoneName &zone) const
{
    const auto it = m_options.zoneRegions.find(zone);
    return it == m_options.zoneRegions.end() ? RegionName() : it->second;
}

bool LoadBalancer::isUsable(const ReplicaState &state, const WeightsRequirement &weights,
                            const RegionRule &regions, Instant now) const
{
    if (!regions.allows(state.region)) {
        return false;
    }
    // A backend server that restarts under the same address usually registers with another id, so
    // the old entry of the list must not be used for the new process.
    const bool isReplaced = state.report && state.entry.startedAtMs != 0
            && state.report->startedAtMs > state.entry.startedAtMs;
    const bool isSuperseded = m_byAddress.at(state.entry.address) != state.entry.id;
    if (isReplaced || isSuperseded || m_evacuatedZones.contains(state.entry.zone)
        || !state.availability.isInService(now)) {
        return false;
    }
    if (!m_engineCosts.contains(state.entry.service)) {
        return true;
    }
    const bool isLoading = hasFreshReport(state, now) && state.report->hasOrderInProgress;
    const std::uint64_t version = effectiveWeightsVersion(state, now);
    // A silent one may stand still, and would begin a request only when it runs again.
    const bool isSilent = state.report && !hasFreshReport(state, now);
    const bool mayBeginLate = isSilent && version < weights.targetVersion
            && state.report->weightsVersion < weights.targetVersion;
    return !isLoading && !mayBeginLate && version > 0 && version >= weights.minVersion;
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
        if (!isCandidate || !isUsable(state, requirements.weights, requirements.regions, now)
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

LoadBalancer::ReplicaState *LoadBalancer::choose(const ReplicaRequirements &requirements,
                                                 Instant now, std::uint64_t random)
{
    const auto pool = m_byService.find(requirements.service);
    if (pool == m_byService.end()) {
        return nullptr;
    }
    ReplicaState *sameZone = cheapestCandidate(pool->second, requirements, true, now, random);
    ReplicaState *crossZone = cheapestCandidate(pool->second, requirements, false, now, random);
    const bool isSameZone = crossZone == nullptr
            || (sameZone != nullptr
                && costMs(*sameZone, requirements, now) <= costMs(*crossZone, requirements, now));
    return isSameZone ? sameZone : crossZone;
}

std::optional<Duration> LoadBalancer::forecast(const ReplicaRequirements &requirements, Instant now,
                                               std::uint64_t random)
{
    const ReplicaState *best = choose(requirements, now, random);
    if (best == nullptr) {
        return std::nullopt;
    }
    const std::chrono::duration<double, std::milli> cost(costMs(*best, requirements, now));
    return std::chrono::duration_cast<Duration>(cost);
}

std::optional<ReplicaEntry> LoadBalancer::acquire(const ReplicaRequirements &requirements,
                                                  Instant now, std::uint64_t random)
{
    ReplicaState *best = choose(requirements, now, random);
    if (best == nullptr) {
        return std::nullopt;
    }
    best->availability = best->availability.at(now);
    if (m_cold.isCold(best->entry, now) && !hasColdCredits(*best, now)) {
        m_cold.recordShareUse(best->entry.id, now);
    }
    best->creditsLeft -= best->creditsLeft > 0 ? 1 : 0;
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

bool LoadBalancer::isAgentSilent(const ReplicaId &id, Instant now) const
{
    const auto it = m_replicas.find(id);
    return it != m_replicas.end() && it->second.report && !hasFreshReport(it->second, now);
}

void LoadBalancer::recordSilence(const ReplicaId &id, Instant now)
{
    const auto it = m_replicas.find(id);
    if (it != m_replicas.end()) {
        it->second.availability = it->second.availability.failed(now, m_options.health);
    }
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
        state.availability = state.availability.succeeded(now, m_options.health);
        break;
    case ReplicaVerdict::Full:
        state.availability = state.availability.rejected(now, rejectionBackoff);
        break;
    case ReplicaVerdict::Misdirected:
        state.availability = state.availability.rejected(now, misdirectionBackoff);
        break;
    case ReplicaVerdict::Failed:
        state.availability = state.availability.failed(now, m_options.health);
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

Occupancy LoadBalancer::occupancy(const ServiceName &service, const WeightsRequirement &weights,
                                  Instant now, const RegionRule &regions) const
{
    Occupancy sum;
    const auto pool = m_byService.find(service);
    if (pool == m_byService.end()) {
        return sum;
    }
    Instant firstReturn = Instant::max();
    for (const ReplicaId &id : pool->second) {
        const ReplicaState &state = m_replicas.at(id);
        if (!isUsable(state, weights, regions, now)) {
            continue;
        }
        const std::uint32_t load = estimatedLoad(state, now);
        ++sum.usableReplicas;
        sum.slots += state.entry.slots;
        sum.inUse += state.availability.isPaused(now) ? std::max(load, state.entry.slots) : load;
        firstReturn = std::min(firstReturn, state.availability.pausedUntil());
    }
    if (sum.usableReplicas > 0 && firstReturn > now) {
        sum.pauseLeft = firstReturn - now;
    }
    return sum;
}

Duration LoadBalancer::meanSlotReleaseTime(const ServiceName &service,
                                           const RegionRule &regions) const
{
    const auto pool = m_byService.find(service);
    const auto isAllowed = [&](const ReplicaId &id) {
        return regions.allows(m_replicas.at(id).region);
    };
    const auto n = pool == m_byService.end()
            ? 1
            : std::count_if(pool->second.begin(), pool->second.end(), isAllowed);
    constexpr double microsecondsPerMs = 1000;
    return Duration(std::llround(slotReleaseMs(service) * microsecondsPerMs
                                 / static_cast<double>(std::max<std::ptrdiff_t>(1, n))));
}

bool LoadBalancer::hasUsable(const ServiceName &service, const WeightsRequirement &weights,
                             Instant now, const RegionRule &regions) const
{
    return occupancy(service, weights, now, regions).usableReplicas > 0;
}

bool LoadBalancer::hasListed(const ServiceName &service, const RegionRule &regions) const
{
    const auto pool = m_byService.find(service);
    if (pool == m_byService.end()) {
        return false;
    }
    return std::any_of(pool->second.begin(), pool->second.end(), [&](const ReplicaId &id) {
        const ReplicaState &state = m_replicas.at(id);
        return regions.allows(state.region) && !m_evacuatedZones.contains(state.entry.zone)
                && !state.entry.isDraining && !state.availability.isLeaving();
    });
}

} // namespace greengageseam
