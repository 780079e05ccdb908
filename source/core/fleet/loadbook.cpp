#include "core/fleet/loadbook.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace greengageseam {

namespace {

/** Assumed duration in milliseconds of a request to a service without an engine cost model. */
constexpr double plainRequestMs = 25;
/** Fraction of the objective that a request may queue at a backend server for a slot. */
constexpr double waitShare = 0.15;
/** Backoff after a backend server rejected a request. */
constexpr auto restAfterRejection = std::chrono::milliseconds(60);
/** Backoff after a misdirected request, until the list or a report corrects the record. */
constexpr auto restAfterMisdirection = std::chrono::milliseconds(700);
/** Time constant in milliseconds with which the excess latency decays (to 1/e). */
constexpr double lateFadeMs = 1500;
/** Weight of a new sample in the moving average of the excess latency. */
constexpr double lateWeight = 0.3;
/** Typical milliseconds to the start of a response beyond the estimate of the cost model. */
constexpr double usualExtraMs = 30;
constexpr double longestLateMs = 3000;
/** Cost penalty in milliseconds for a backend server whose load reports have become stale. */
constexpr double silentPenaltyMs = 300;
/** Fraction of the slots up to which requests that miss their objective may fill an engine. */
constexpr double lateShare = 0.7;
/** A request is sent only where its response is expected within this part of the objective. */
constexpr double beginShare = 0.8;
/** Requests beyond its slots that may queue at a backend server without an engine. */
constexpr std::uint32_t plainQueue = 6;
/** Assumed fraction of the other entries that send to the same backend server as this one. */
constexpr double othersAlike = 0.25;
/**
 * Number of candidates with capacity that are compared for a request, in the entry's own zone and
 * in the other zones each. Comparing only a few random ones keeps the entries from all choosing the
 * same backend server.
 */
constexpr std::size_t mostCompared = 3;

/** @returns a random step that is coprime to @p n, so that it visits each of n positions once */
std::size_t strideFor(std::size_t n, std::uint64_t random)
{
    constexpr std::uint64_t mix = 0x9e3779b97f4a7c15;
    std::size_t step = 1 + (random * mix >> 33U) % std::max<std::size_t>(1, n);
    while (std::gcd(step, n) != 1) {
        ++step;
    }
    return step;
}

} // namespace

void LoadBook::setReplicas(const std::vector<ReplicaEntry> &entries)
{
    std::map<ReplicaId, Known> known;
    m_byAddress.clear();
    m_byService.clear();
    for (const ReplicaEntry &entry : entries) {
        Known next;
        const auto it = m_known.find(entry.id);
        const bool isSame = it != m_known.end() && it->second.entry.bornMs == entry.bornMs
                && it->second.entry.address == entry.address;
        if (isSame) {
            next = std::move(it->second);
        }
        next.entry = entry;
        known.emplace(entry.id, std::move(next));
        m_byService[entry.service].push_back(entry.id);
        const auto [other, isFirst] = m_byAddress.emplace(entry.address, entry.id);
        if (!isFirst && known.at(other->second).entry.bornMs < entry.bornMs) {
            other->second = entry.id;
        }
    }
    m_known = std::move(known);
}

void LoadBook::setServices(const std::map<ServiceName, Service> &services)
{
    m_engines.clear();
    for (const auto &[name, service] : services) {
        if (service.engine) {
            m_engines.emplace(name, *service.engine);
        }
    }
}

void LoadBook::hear(const LoadReport &report, Instant now)
{
    const auto id = m_byAddress.find(report.backend);
    if (id == m_byAddress.end()) {
        return;
    }
    Known &known = m_known.at(id->second);
    if (known.entry.bornMs != 0 && report.bornMs != 0 && report.bornMs < known.entry.bornMs) {
        return;
    }
    known.report = report;
    known.reportedAt = now;
    known.ownAtReport = known.own;
    known.unbegunAtReport = known.unbegun;
}

bool LoadBook::isFresh(const Known &known, Instant now) const
{
    return known.report && now - known.reportedAt <= m_options.reportLife;
}

std::uint64_t LoadBook::weightsOf(const Known &known, Instant now) const
{
    const std::uint64_t listed = known.entry.loaded.wholeVersion();
    return isFresh(known, now) ? known.report->weights : listed;
}

bool LoadBook::isUsable(const Known &known, std::uint64_t oldestWeights, Instant now) const
{
    // A backend server that restarts under the same address mostly registers with another id, so
    // the old entry of the list must not be used for the new process.
    const bool isReplaced =
            known.report && known.entry.bornMs != 0 && known.report->bornMs > known.entry.bornMs;
    const bool isSuperseded = m_byAddress.at(known.entry.address) != known.entry.id;
    if (known.entry.isDraining || isReplaced || isSuperseded || known.health.at(now).isEjected()) {
        return false;
    }
    if (!m_engines.contains(known.entry.service)) {
        return true;
    }
    const bool isLoading = isFresh(known, now) && known.report->isOrderBusy;
    const std::uint64_t weights = weightsOf(known, now);
    return !isLoading && weights > 0 && weights >= oldestWeights;
}

std::uint32_t LoadBook::load(const Known &known, Instant now) const
{
    if (!isFresh(known, now)) {
        return known.own * std::max<std::uint32_t>(1, m_entries);
    }
    const std::uint32_t reported = known.report->running + known.report->waiting;
    const std::uint32_t others = reported > known.ownAtReport ? reported - known.ownAtReport : 0;
    return known.own + others + static_cast<std::uint32_t>(othersSince(known));
}

/** Other entries receive the same reports, so some of them choose the same backend server. */
double LoadBook::othersSince(const Known &known) const
{
    const std::uint32_t since = known.own > known.ownAtReport ? known.own - known.ownAtReport : 0;
    return since * (m_entries - 1) * othersAlike;
}

const EngineCosts *LoadBook::engine(const ServiceName &service) const
{
    const auto it = m_engines.find(service);
    return it == m_engines.end() || it->second.slots == 0 ? nullptr : &it->second;
}

double LoadBook::slotMs(const ServiceName &service) const
{
    const EngineCosts *costs = engine(service);
    return costs == nullptr ? plainRequestMs : placeMs(*costs);
}

/** Requests that the report counts as waiting still need their prefill, whoever sent them. */
EngineWork LoadBook::workOf(const Known &known, const EngineCosts &costs, Instant now) const
{
    EngineWork work;
    const double usualMs = promptMs(costs, 0);
    if (!isFresh(known, now)) {
        work.running = known.own * m_entries;
        work.unreadMs = known.unreadMs * m_entries;
        return work;
    }
    const LoadReport &report = *known.report;
    const double others =
            report.waiting > known.unbegunAtReport ? report.waiting - known.unbegunAtReport : 0;
    const double pace = std::max(1.0, report.pace);
    work.running = report.running;
    work.unreadMs = (known.unreadMs + (others + othersSince(known)) * usualMs) * pace;
    return work;
}

/** @returns the expected milliseconds to the start of a response */
double LoadBook::waitMs(const Known &known, double promptTokens, Instant now) const
{
    const std::uint32_t slots = std::max<std::uint32_t>(1, known.entry.slots);
    const std::uint32_t taken = load(known, now);
    const double queued = taken < slots ? 0 : (taken - slots + 1) * slotMs(known.entry.service);
    if (const EngineCosts *costs = engine(known.entry.service)) {
        return queued + firstEventMs(*costs, workOf(known, *costs, now), promptTokens);
    }
    // Without a cost model, latency is assumed to rise linearly with the use of the slots.
    return queued + plainRequestMs * std::min(taken, slots) / slots;
}

double LoadBook::penaltyMs(const Known &known, Instant now) const
{
    // If the reports have become stale, the backend server or its agent may be unreachable.
    const double silent = known.report && !isFresh(known, now) ? silentPenaltyMs : 0;
    const double far = known.entry.zone == m_options.zone ? 0 : m_options.zonePenaltyMs;
    return silent + far;
}

bool LoadBook::hasRoom(const Known &known, const ReplicaWish &wish, Instant now) const
{
    const std::uint32_t slots = std::max<std::uint32_t>(1, known.entry.slots);
    const std::uint32_t taken = load(known, now);
    if (known.own >= known.health.at(now).allowance() || now < known.restUntil) {
        return false;
    }
    if (const EngineCosts *costs = engine(wish.service)) {
        return hasEngineRoom(known, *costs, wish, now);
    }
    return taken < slots + plainQueue;
}

/**
 * An engine has capacity if the response is likely to start within the objective. Requests that
 * miss their objective use only spare capacity: few slots in use and little pending prefill.
 */
bool LoadBook::hasEngineRoom(const Known &known, const EngineCosts &costs, const ReplicaWish &wish,
                             Instant now) const
{
    const std::uint32_t slots = std::max<std::uint32_t>(1, known.entry.slots);
    const std::uint32_t taken = load(known, now);
    if (wish.isLate) {
        return taken < slots * lateShare && workOf(known, costs, now).unreadMs < promptMs(costs, 0);
    }
    const double objectiveMs = std::chrono::duration<double, std::milli>(wish.objective).count();
    if (taken >= slots) {
        const double queued = (taken - slots + 1) * slotMs(wish.service);
        return isFresh(known, now) && queued <= objectiveMs * waitShare;
    }
    return taken == 0 || waitMs(known, wish.promptTokens, now) <= objectiveMs * beginShare;
}

double LoadBook::costMs(const Known &known, const ReplicaWish &wish, Instant now) const
{
    return waitMs(known, wish.promptTokens, now) + penaltyMs(known, now) + lateMs(known, now);
}

/** @returns the candidate with the lowest cost of a few random ones with capacity, or null */
LoadBook::Known *LoadBook::cheapest(const std::vector<ReplicaId> &pool, const ReplicaWish &wish,
                                    bool isNear, Instant now, std::uint64_t random)
{
    Known *best = nullptr;
    const std::size_t n = pool.size();
    const std::size_t step = strideFor(n, random);
    std::size_t compared = 0;
    for (std::size_t i = 0; i < n && compared < mostCompared; ++i) {
        Known &known = m_known.at(pool[(random + i * step) % n]);
        const bool isMeant = (known.entry.zone == m_options.zone) == isNear
                && !wish.tried.contains(known.entry.id);
        if (!isMeant || !isUsable(known, wish.oldestWeights, now) || !hasRoom(known, wish, now)) {
            continue;
        }
        ++compared;
        if (best == nullptr || costMs(known, wish, now) < costMs(*best, wish, now)) {
            best = &known;
        }
    }
    return best;
}

std::optional<ReplicaEntry> LoadBook::take(const ReplicaWish &wish, Instant now,
                                           std::uint64_t random)
{
    const auto pool = m_byService.find(wish.service);
    if (pool == m_byService.end()) {
        return std::nullopt;
    }
    Known *near = cheapest(pool->second, wish, true, now, random);
    Known *far = cheapest(pool->second, wish, false, now, random);
    const bool isNear = far == nullptr
            || (near != nullptr && costMs(*near, wish, now) <= costMs(*far, wish, now));
    Known *best = isNear ? near : far;
    if (best == nullptr) {
        return std::nullopt;
    }
    best->health = best->health.at(now);
    ++best->own;
    if (const EngineCosts *costs = engine(wish.service)) {
        ++best->unbegun;
        best->unreadMs += promptMs(*costs, wish.promptTokens);
    }
    return best->entry;
}

void LoadBook::begun(const ReplicaId &id, double promptTokens)
{
    const auto it = m_known.find(id);
    const EngineCosts *costs = it == m_known.end() ? nullptr : engine(it->second.entry.service);
    if (costs != nullptr) {
        noteBegun(it->second, promptMs(*costs, promptTokens));
    }
}

void LoadBook::noteBegun(Known &known, double promptMs)
{
    known.unbegun -= known.unbegun > 0 ? 1 : 0;
    known.unbegunAtReport -= known.unbegunAtReport > 0 ? 1 : 0;
    known.unreadMs = known.unbegun == 0 ? 0 : std::max(0.0, known.unreadMs - promptMs);
}

double LoadBook::lateMs(const Known &known, Instant now) const
{
    const double ageMs = std::chrono::duration<double, std::milli>(now - known.lateAt).count();
    return known.lateMs * std::exp(-ageMs / lateFadeMs);
}

void LoadBook::noteAnswer(Known &known, Duration answeredAfter, Instant now)
{
    const double took = std::chrono::duration<double, std::milli>(answeredAfter).count();
    const double expected = usualExtraMs + waitMs(known, 0, now);
    const double late = std::clamp(took - expected, 0.0, longestLateMs);
    known.lateMs = lateMs(known, now) * (1 - lateWeight) + late * lateWeight;
    known.lateAt = now;
}

void LoadBook::ended(const ReplicaId &id, ReplicaVerdict verdict,
                     std::optional<Duration> answeredAfter, Instant now)
{
    const auto it = m_known.find(id);
    if (it == m_known.end()) {
        return;
    }
    Known &known = it->second;
    known.own -= known.own > 0 ? 1 : 0;
    known.ownAtReport -= known.ownAtReport > 0 ? 1 : 0;
    if (answeredAfter) {
        noteAnswer(known, *answeredAfter, now);
    }
    switch (verdict) {
    case ReplicaVerdict::Answered:
        known.health = known.health.succeeded(m_options.health);
        break;
    case ReplicaVerdict::Full:
        known.restUntil = now + restAfterRejection;
        break;
    case ReplicaVerdict::Misdirected:
        known.restUntil = now + restAfterMisdirection;
        break;
    case ReplicaVerdict::Failed:
        known.health = known.health.failed(now, m_options.health);
        break;
    case ReplicaVerdict::Neutral:
        break;
    }
}

std::uint64_t LoadBook::weights(const ReplicaId &id, Instant now) const
{
    const auto it = m_known.find(id);
    return it == m_known.end() ? 0 : weightsOf(it->second, now);
}

Occupancy LoadBook::occupancy(const ServiceName &service, std::uint64_t oldestWeights,
                              Instant now) const
{
    Occupancy sum;
    const auto pool = m_byService.find(service);
    if (pool == m_byService.end()) {
        return sum;
    }
    for (const ReplicaId &id : pool->second) {
        const Known &known = m_known.at(id);
        if (isUsable(known, oldestWeights, now)) {
            ++sum.usable;
            sum.slots += known.entry.slots;
            sum.taken += load(known, now);
        }
    }
    return sum;
}

Duration LoadBook::turnover(const ServiceName &service) const
{
    const auto pool = m_byService.find(service);
    const std::size_t n = pool == m_byService.end() ? 1 : pool->second.size();
    constexpr double microsecondsPerMs = 1000;
    return Duration(std::llround(slotMs(service) * microsecondsPerMs
                                 / static_cast<double>(std::max<std::size_t>(1, n))));
}

bool LoadBook::hasUsable(const ServiceName &service, std::uint64_t oldestWeights, Instant now) const
{
    return occupancy(service, oldestWeights, now).usable > 0;
}

} // namespace greengageseam
