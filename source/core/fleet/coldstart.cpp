#include "core/fleet/coldstart.h"

#include "core/common/hashing.h"

#include <algorithm>
#include <cmath>

namespace greengageseam {

namespace {

/**
 * Seconds within which requests can arrive that were permitted within one second: a credit may be
 * 60 ms on its way and is used within 60 ms, and requests take different times to arrive.
 */
constexpr double spreadSeconds = 1.25;
constexpr auto shareWindow = std::chrono::milliseconds(1250);
/** Part of the rate that may be handed out at once; at least one credit. */
constexpr double burstShare = 0.1;
/** Lower limit of the rate of credits, as part of the rate that the server tolerates. */
constexpr double leastRateShare = 0.5;
/** Delay beyond the shortest one at which a report is late. */
constexpr auto maxReportDelay = std::chrono::milliseconds(60);
/**
 * Time for which reports are watched before their delay is trusted. What waited in the socket while
 * the process was paused is read in less.
 */
constexpr auto delayLearningTime = std::chrono::milliseconds(150);
/** The clock of an agent may have another origin after a longer silence. */
constexpr auto delayLifetime = std::chrono::seconds(5);

} // namespace

double ColdStartRules::creditBurst() const
{
    return std::max(1.0, perSecond * burstShare);
}

/** In any second, the credits are at most the rate that the server tolerates. */
double ColdStartRules::creditRate() const
{
    const double tolerated = std::max(perSecond - creditBurst(), perSecond * leastRateShare);
    const double bounded = std::max(0.0, (maxPerSecond - creditBurst()) / spreadSeconds);
    return std::min(tolerated, bounded);
}

std::uint32_t ColdStartRules::sharePool() const
{
    const double credits = hasAgents ? creditBurst() + creditRate() * spreadSeconds : 0;
    return static_cast<std::uint32_t>(std::max(0.0, std::floor(maxPerSecond - credits)));
}

ColdStartRules coldStartRules(const Service &service, const FleetBounds &bounds)
{
    ColdStartRules rules;
    rules.coldStart = service.coldStart;
    rules.perSecond = service.coldRequestsPerSecond;
    rules.maxPerSecond = rules.perSecond * bounds.coldOvershoot + bounds.coldSlack;
    rules.hasAgents = service.engine.has_value();
    return rules;
}

ColdPeriod ColdPeriod::startedAt(Instant at) const
{
    ColdPeriod next = *this;
    next.m_startedAt = at;
    return next;
}

ColdPeriod ColdPeriod::withoutStart() const
{
    ColdPeriod next = *this;
    next.m_startedAt.reset();
    return next;
}

ColdPeriod ColdPeriod::listed(Duration left, Instant now) const
{
    if (left == m_lastListed) {
        return *this;
    }
    ColdPeriod next = *this;
    next.m_lastListed = left;
    next.m_listedUntil = now + left;
    return next;
}

ColdPeriod ColdPeriod::reported(Duration left, Instant now) const
{
    ColdPeriod next = *this;
    next.m_reportedUntil = now + left;
    return next;
}

Instant ColdPeriod::endsAt(Duration coldStart) const
{
    const Instant told = std::max(m_listedUntil, m_reportedUntil);
    return m_startedAt ? std::max(told, *m_startedAt + coldStart) : told;
}

ColdBackend ColdBackend::withRules(const ColdStartRules &rules) const
{
    ColdBackend next = *this;
    next.m_rules = rules;
    if (next.m_bucket) {
        next.m_bucket = next.m_bucket->withRate(rules.creditRate(), rules.creditBurst());
    }
    return next;
}

ColdBackend ColdBackend::withReport(std::uint64_t startedAtMs, Instant now, WallTime wallNow) const
{
    if (startedAtMs == 0 || startedAtMs == m_startedAtMs) {
        return *this;
    }
    ColdBackend next = *this;
    next.m_startedAtMs = startedAtMs;
    next.m_isStartPresumed = m_startedAtMs == 0;
    if (next.m_isStartPresumed) {
        const WallTime started {std::chrono::milliseconds(startedAtMs)};
        next.m_period = m_period.startedAt(now - std::max(Duration::zero(), wallNow - started));
    } else {
        next.m_period = ColdPeriod().startedAt(now);
        next.m_bucket.reset();
    }
    return next;
}

ColdBackend ColdBackend::withHealth(Duration left, Instant now) const
{
    ColdBackend next = *this;
    next.m_period = m_period.reported(left, now);
    if (m_isStartPresumed) {
        next.m_period = next.m_period.withoutStart();
        next.m_isStartPresumed = false;
    }
    return next;
}

std::optional<Duration> ColdBackend::coldLeft(Instant now) const
{
    const Instant end = m_period.endsAt(m_rules.coldStart);
    return m_rules.isActive() && end > now ? std::optional<Duration>(end - now) : std::nullopt;
}

ColdBackend ColdBackend::at(Instant now) const
{
    ColdBackend next = *this;
    if (!coldLeft(now)) {
        next.m_bucket.reset();
        return next;
    }
    if (!m_bucket) {
        // An earlier process of the agent may have handed out credits just before.
        const double burst = m_rules.creditBurst();
        next.m_bucket = TokenBucket(m_rules.creditRate(), burst, now).taken(burst);
        return next;
    }
    next.m_bucket = m_bucket->at(now);
    return next;
}

std::uint32_t ColdBackend::availableCredits() const
{
    if (!m_bucket) {
        return 0;
    }
    std::uint32_t credits = 0;
    while (m_bucket->has(credits + 1.0)) {
        ++credits;
    }
    return credits;
}

ColdBackend ColdBackend::handedOut(std::uint32_t credits) const
{
    ColdBackend next = *this;
    if (next.m_bucket) {
        next.m_bucket = next.m_bucket->taken(credits);
    }
    return next;
}

ReportDelay ReportDelay::received(Duration sentAt, Instant now) const
{
    ReportDelay next = *this;
    next.m_last = now.time_since_epoch() - sentAt;
    next.m_lastAt = now;
    const bool isNewSender = !m_least || now - m_lastAt > delayLifetime;
    next.m_isOvertaken = !isNewSender && sentAt <= m_newestSentAt;
    next.m_newestSentAt = isNewSender ? sentAt : std::max(m_newestSentAt, sentAt);
    if (isNewSender) {
        next.m_least = next.m_last;
        next.m_firstAt = now;
    } else {
        next.m_least = std::min(*m_least, next.m_last);
    }
    return next;
}

bool ReportDelay::isLate() const
{
    return !m_least || m_isOvertaken || m_lastAt - m_firstAt < delayLearningTime
            || m_last - *m_least > maxReportDelay;
}

bool ColdShareUse::allows(std::uint32_t quota, Instant now) const
{
    const auto recent = std::count_if(m_sentAt.begin(), m_sentAt.end(),
                                      [now](Instant it) { return now - it < shareWindow; });
    return static_cast<std::uint32_t>(recent) < quota;
}

ColdShareUse ColdShareUse::used(Instant now) const
{
    ColdShareUse next = *this;
    std::erase_if(next.m_sentAt, [now](Instant it) { return now - it >= shareWindow; });
    next.m_sentAt.push_back(now);
    return next;
}

std::uint32_t coldShareQuota(std::uint32_t pool, std::uint32_t entryCount, std::uint32_t rank)
{
    const std::uint32_t n = std::max<std::uint32_t>(1, entryCount);
    return pool / n + (rank < pool % n ? 1 : 0);
}

std::uint32_t coldShareRank(std::string_view replica, const std::string &self,
                            const std::vector<std::string> &entries)
{
    const auto keyOf = [replica](const std::string &entry) {
        return std::pair(rendezvousScore(replica, entry), entry);
    };
    const auto own = keyOf(self);
    return static_cast<std::uint32_t>(
            std::count_if(entries.begin(), entries.end(),
                          [&](const std::string &entry) { return keyOf(entry) > own; }));
}

} // namespace greengageseam
