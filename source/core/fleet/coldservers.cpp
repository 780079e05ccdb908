#include "core/fleet/coldservers.h"

#include <algorithm>

namespace greengageseam {

namespace {

/**
 * Time after the first read of the list in which servers that appear count as there before. When a
 * whole fleet starts, its servers register one after the other, and none of them is cold unless the
 * list or its agent says so.
 */
constexpr auto firstListTime = std::chrono::seconds(3);
/** Time after the first read of the list after which an entry knows the other entries. */
constexpr auto entryDiscoveryTime = std::chrono::seconds(2);
/** Number of incarnations that are remembered. */
constexpr std::size_t maxIncarnations = 4096;

/** @returns whether two start times are of different incarnations; 0 stands for an unknown one */
bool isOtherStart(std::uint64_t known, std::uint64_t stated)
{
    return known != 0 && stated != 0 && known != stated;
}

} // namespace

ColdServers::ColdServers(std::string selfIp, FleetBounds bounds)
    : m_selfIp(std::move(selfIp)), m_bounds(bounds)
{ }

void ColdServers::setServices(const std::map<ServiceName, Service> &services)
{
    m_rules.clear();
    for (const auto &[name, service] : services) {
        const ColdStartRules rules = coldStartRules(service, m_bounds);
        if (rules.isActive()) {
            m_rules.emplace(name, rules);
        }
    }
}

void ColdServers::setReplicas(const std::vector<ReplicaEntry> &entries, Instant now)
{
    m_firstListAt = m_firstListAt.value_or(now);
    const bool isInitialPeriod = now - *m_firstListAt < firstListTime;
    for (auto &[id, incarnation] : m_incarnations) {
        incarnation.isListed = false;
    }
    for (const ReplicaEntry &entry : entries) {
        const auto [it, isNew] = m_incarnations.try_emplace(entry.id);
        Incarnation &incarnation = it->second;
        if (isNew || isOtherStart(incarnation.startedAtMs, entry.startedAtMs)) {
            incarnation = {};
            const bool wasThere = isNew && isInitialPeriod;
            incarnation.period = wasThere ? ColdPeriod() : ColdPeriod().startedAt(now);
        }
        incarnation.startedAtMs = std::max(incarnation.startedAtMs, entry.startedAtMs);
        incarnation.service = entry.service;
        incarnation.period = incarnation.period.listed(entry.coldLeft, now);
        incarnation.isListed = true;
        incarnation.lastListedAt = now;
    }
    forgetOldest();
}

void ColdServers::forgetOldest()
{
    while (m_incarnations.size() > maxIncarnations) {
        const auto oldest =
                std::min_element(m_incarnations.begin(), m_incarnations.end(),
                                 [](const auto &left, const auto &right) {
                                     return left.second.lastListedAt < right.second.lastListedAt;
                                 });
        if (oldest->second.isListed) {
            return;
        }
        m_incarnations.erase(oldest);
    }
}

void ColdServers::addEntries(const std::vector<std::string> &ips)
{
    m_entries.insert(m_entries.end(), ips.begin(), ips.end());
    std::sort(m_entries.begin(), m_entries.end());
    m_entries.erase(std::unique(m_entries.begin(), m_entries.end()), m_entries.end());
}

bool ColdServers::applyReport(const ReplicaId &id, std::optional<Duration> coldLeft,
                              std::optional<Duration> sentAt, Instant now)
{
    const auto it = m_incarnations.find(id);
    if (it == m_incarnations.end() || !coldLeft) {
        return true;
    }
    it->second.period = it->second.period.reported(*coldLeft, now);
    if (!sentAt) {
        return false;
    }
    it->second.delay = it->second.delay.received(*sentAt, now);
    return !it->second.delay.isLate();
}

std::optional<Duration> ColdServers::coldLeft(const Incarnation &incarnation, Instant now) const
{
    const auto rules = m_rules.find(incarnation.service);
    if (rules == m_rules.end()) {
        return std::nullopt;
    }
    const Instant end = incarnation.period.endsAt(rules->second.coldStart);
    return end > now ? std::optional<Duration>(end - now) : std::nullopt;
}

bool ColdServers::isCold(const ReplicaEntry &entry, Instant now) const
{
    if (!m_rules.contains(entry.service)) {
        return false;
    }
    const auto it = m_incarnations.find(entry.id);
    return it != m_incarnations.end() && coldLeft(it->second, now);
}

bool ColdServers::hasShare(const ReplicaEntry &entry, Instant now) const
{
    const auto rules = m_rules.find(entry.service);
    const auto it = m_incarnations.find(entry.id);
    // An entry that has been cut off since its start does not know by how many it must divide.
    const bool knowsEntries =
            !m_entries.empty() && m_firstListAt && now - *m_firstListAt >= entryDiscoveryTime;
    if (rules == m_rules.end() || it == m_incarnations.end() || !knowsEntries) {
        return false;
    }
    const auto known = static_cast<std::uint32_t>(m_entries.size());
    const std::uint32_t rank = coldShareRank(entry.id.text(), m_selfIp, m_entries);
    const std::uint32_t quota =
            coldShareQuota(rules->second.sharePool(), std::max(m_entryCount, known), rank);
    return it->second.use.allows(quota, now);
}

void ColdServers::recordShareUse(const ReplicaId &id, Instant now)
{
    const auto it = m_incarnations.find(id);
    if (it != m_incarnations.end()) {
        it->second.use = it->second.use.used(now);
    }
}

std::map<ReplicaId, Duration> ColdServers::coldReplicas(Instant now) const
{
    std::map<ReplicaId, Duration> cold;
    for (const auto &[id, incarnation] : m_incarnations) {
        const std::optional<Duration> left = coldLeft(incarnation, now);
        if (incarnation.isListed && left) {
            cold.emplace(id, *left);
        }
    }
    return cold;
}

} // namespace greengageseam
