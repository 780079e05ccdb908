#include "core/fleet/hedgetracker.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Hedges of a service that an entry may save up for a burst. */
constexpr double maxSavedHedges = 10;
constexpr double medianShare = 0.5;
constexpr double highShare = 0.8;
constexpr std::size_t maxPastAttempts = 256;
/** Time for which a backend server that was silent gets no hedges. */
constexpr auto silenceMemory = std::chrono::seconds(3);
constexpr int maxLogsPerSecond = 5;

/** Upper ends, in tokens, of the sizes of prompts that are told apart. */
constexpr std::array<double, 3> sizeLimits {512, 2048, 8192};

int sizeClass(double promptTokens)
{
    int sizeClass = 0;
    for (const double limit : sizeLimits) {
        sizeClass += promptTokens >= limit ? 1 : 0;
    }
    return sizeClass;
}

} // namespace

void HedgeTracker::recordRequest(const ServiceName &service)
{
    if (isEnabled()) {
        double &budget = m_services[service].budget;
        budget = std::min(maxSavedHedges, budget + m_ratio);
    }
}

LatencyQuantiles &HedgeTracker::latencies(const AwaitedAttempt &attempt)
{
    return m_services[attempt.service].latencies[sizeClass(attempt.promptTokens)];
}

std::optional<UsualLatency> HedgeTracker::usualLatency(const AwaitedAttempt &attempt, Instant now)
{
    LatencyQuantiles &known = latencies(attempt);
    const std::optional<Duration> median = known.quantile(medianShare, now);
    const std::optional<Duration> high = known.quantile(highShare, now);
    const std::optional<Duration> tail = known.quantile(1 - m_ratio, now);
    if (!median || !high || !tail) {
        return std::nullopt;
    }
    return UsualLatency {*median, *high, *tail};
}

std::optional<HedgeDelay> HedgeTracker::started(AwaitedAttempt attempt,
                                                std::optional<Duration> forecast)
{
    if (!isEnabled()) {
        return std::nullopt;
    }
    attempt.delay.reset();
    if (const auto usual = usualLatency(attempt, attempt.sentAt)) {
        attempt.delay = hedgeDelay(*usual, forecast);
    }
    const std::optional<HedgeDelay> delay = attempt.delay;
    m_awaited.emplace(attempt.lease, std::move(attempt));
    return delay;
}

void HedgeTracker::responseStarted(std::uint64_t lease, Instant now)
{
    const auto it = m_awaited.find(lease);
    if (it == m_awaited.end()) {
        return;
    }
    latencies(it->second).record(now - it->second.sentAt, now);
    endWait(it, now);
}

void HedgeTracker::endWait(std::map<std::uint64_t, AwaitedAttempt>::iterator it, Instant now)
{
    const AwaitedAttempt &attempt = it->second;
    ServiceState &state = m_services[attempt.service];
    state.lateInProgress -= attempt.isLate ? 1 : 0;
    if (attempt.delay) {
        state.past.push_back({now, now - attempt.sentAt > attempt.delay->delay});
        if (state.past.size() > maxPastAttempts) {
            state.past.pop_front();
        }
    }
    m_awaited.erase(it);
}

void HedgeTracker::released(std::uint64_t lease, Instant now)
{
    const auto it = m_awaited.find(lease);
    if (it == m_awaited.end()) {
        return;
    }
    const AwaitedAttempt attempt = it->second;
    const Duration waited = now - attempt.sentAt;
    if (!attempt.delay || waited < attempt.delay->delay) {
        // A failure or a withdrawal that says nothing of how long responses take.
        m_services[attempt.service].lateInProgress -= attempt.isLate ? 1 : 0;
        m_awaited.erase(it);
        return;
    }
    endWait(it, now);
    // How long it would have taken is unknown. It counts as long again, so that cancelled attempts
    // don't make late responses look rare or short.
    latencies(attempt).record(waited * 2, now);
}

void HedgeTracker::recordSilence(const ReplicaId &replica, Instant now)
{
    if (isEnabled()) {
        m_silentAt[replica] = now;
    }
}

std::set<ReplicaId> HedgeTracker::silentReplicas(Instant now)
{
    std::erase_if(m_silentAt, [now](const auto &it) { return now - it.second > silenceMemory; });
    std::set<ReplicaId> replicas;
    for (const auto &[replica, at] : m_silentAt) {
        replicas.insert(replica);
    }
    return replicas;
}

LateShare HedgeTracker::lateShare(const ServiceState &state, Duration time, Instant now)
{
    LateShare share;
    share.late = state.lateInProgress;
    for (auto it = state.past.rbegin(); it != state.past.rend() && now - it->endedAt <= time;
         ++it) {
        share.late += it->wasLate ? 1 : 0;
        share.inTime += it->wasLate ? 0 : 1;
    }
    return share;
}

std::optional<HedgeConditions>
HedgeTracker::conditions(std::uint64_t lease, std::optional<Duration> forecast, Instant now)
{
    const auto it = m_awaited.find(lease);
    if (it == m_awaited.end()) {
        return std::nullopt;
    }
    AwaitedAttempt &first = it->second;
    ServiceState &state = m_services[first.service];
    state.lateInProgress += first.isLate ? 0 : 1;
    first.isLate = true;
    const Duration waited = now - first.sentAt;
    HedgeConditions conditions;
    conditions.recent = lateShare(state, waited, now);
    conditions.hasHedgeBudget = state.budget >= 1;
    // Without similar samples, an attempt is expected to take as long again as it has taken so far.
    conditions.firstRemaining = latencies(first).remainingAfter(waited, now).value_or(waited);
    if (forecast) {
        const Duration usual = latencies(first).quantile(medianShare, now).value_or(*forecast);
        conditions.second = std::max(*forecast, usual);
    }
    return conditions;
}

HedgeGrant HedgeTracker::grant(std::uint64_t lease, Instant now)
{
    const AwaitedAttempt &first = m_awaited.at(lease);
    recordSilence(first.replica, now);
    double &budget = m_services[first.service].budget;
    budget -= 1;
    HedgeGrant grant;
    grant.waited = now - first.sentAt;
    grant.delay = first.delay.value_or(HedgeDelay());
    grant.budgetLeft = static_cast<std::uint32_t>(std::max(0.0, budget));
    grant.isLogged = takeLogAllowance(now);
    return grant;
}

bool HedgeTracker::takeLogAllowance(Instant now)
{
    const std::int64_t second =
            std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    m_logsInSecond = second == m_logSecond ? m_logsInSecond + 1 : 1;
    m_logSecond = second;
    return m_logsInSecond <= maxLogsPerSecond;
}

} // namespace greengageseam
