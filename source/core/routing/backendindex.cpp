#include "core/routing/backendindex.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Number of random choices before all members that were not tried are examined. */
constexpr int maxDraws = 16;
constexpr std::uint64_t drawStep = 0x9e3779b97f4a7c15;

} // namespace

BackendIndex::BackendIndex(ChooseBackend choose, HealthOptions options)
    : m_choose(std::move(choose)), m_options(options)
{ }

void BackendIndex::update(const std::vector<BackendReport> &reports, Instant now)
{
    std::vector<Backend> backends = std::move(m_backends);
    std::vector<BackendLoad> loads = std::move(m_loads);
    const std::unordered_map<InstanceId, std::uint32_t> positions = std::move(m_positions);
    std::vector<bool> isKept(backends.size(), false);
    m_backends.clear();
    m_loads.clear();
    m_positions.clear();
    m_pools.clear();
    m_poolMembers.clear();
    m_ejected.clear();
    const auto add = [this](Backend backend, const BackendLoad &load) {
        backend.poolPositions.clear();
        backend.isAvailable = true;
        const auto position = static_cast<std::uint32_t>(m_backends.size());
        m_positions.emplace(backend.instance, position);
        m_backends.push_back(std::move(backend));
        m_loads.push_back(load);
        return position;
    };
    for (const BackendReport &report : reports) {
        const auto it = positions.find(report.instance);
        Backend backend;
        BackendLoad load;
        backend.instance = report.instance;
        if (it != positions.end()) {
            isKept[it->second] = true;
            backend = std::move(backends[it->second]);
            load = loads[it->second];
        }
        if (it == positions.end() || backend.sequence != report.sequence) {
            backend.sequence = report.sequence;
            load.reportedLoad = report.inFlight;
            load.localInFlightAtReport = load.localInFlight;
            load.reportedAt = now;
        }
        const std::uint32_t position = add(std::move(backend), load);
        for (const PoolKey &key : report.serves) {
            addToPool(key, position);
        }
    }
    for (std::size_t n = 0; n < backends.size(); ++n) {
        if (!isKept[n]
            && (loads[n].localInFlight > 0 || !backends[n].health.hasNoFailureHistory())) {
            add(std::move(backends[n]), loads[n]);
        }
    }
    for (std::uint32_t n = 0; n < m_backends.size(); ++n) {
        updateAvailability(n);
    }
    endExpiredEjections(now);
}

std::optional<std::size_t> BackendIndex::acquire(const PoolKey &key,
                                                 const std::set<InstanceId> &tried,
                                                 const ChoiceRandom &random, Instant now)
{
    endExpiredEjections(now);
    const auto it = m_pools.find(key);
    if (it == m_pools.end()) {
        return std::nullopt;
    }
    const std::optional<std::uint32_t> chosen =
            choose(m_poolMembers[it->second], tried, random, now);
    if (!chosen) {
        return std::nullopt;
    }
    ++m_loads[*chosen].localInFlight;
    updateAvailability(*chosen);
    return *chosen;
}

void BackendIndex::finished(const InstanceId &instance, AttemptVerdict verdict, double seconds,
                            Instant now)
{
    const auto it = m_positions.find(instance);
    if (it == m_positions.end()) {
        return;
    }
    Backend &backend = m_backends[it->second];
    BackendLoad &load = m_loads[it->second];
    const std::uint32_t inFlight = load.localInFlight;
    if (verdict == AttemptVerdict::Answered) {
        load = load.finished(seconds);
        backend.health = backend.health.succeeded(m_options);
        backend.limit = backend.limit.answered(inFlight);
    } else {
        load.localInFlight -= load.localInFlight > 0 ? 1 : 0;
    }
    if (verdict == AttemptVerdict::Full) {
        backend.limit = backend.limit.rejected(inFlight);
    } else if (verdict == AttemptVerdict::Failed) {
        backend.health = backend.health.failed(now, m_options);
    }
    updateAvailability(it->second);
}

bool BackendIndex::hasCapacity(const PoolKey &key, Instant now)
{
    endExpiredEjections(now);
    const auto it = m_pools.find(key);
    return it != m_pools.end() && !candidatesOf(m_poolMembers[it->second]).empty();
}

std::uint32_t BackendIndex::inFlight(const InstanceId &instance) const
{
    const auto it = m_positions.find(instance);
    return it == m_positions.end() ? 0 : m_loads[it->second].localInFlight;
}

bool BackendIndex::isEjected(const InstanceId &instance) const
{
    const auto it = m_positions.find(instance);
    return it != m_positions.end() && m_backends[it->second].health.isEjected();
}

void BackendIndex::addToPool(const PoolKey &key, std::uint32_t position)
{
    const auto number = static_cast<std::uint32_t>(m_poolMembers.size());
    const auto [it, isNew] = m_pools.emplace(key, number);
    if (isNew) {
        m_poolMembers.emplace_back();
    }
    Pool &pool = m_poolMembers[it->second];
    m_backends[position].poolPositions.push_back(
            {it->second, static_cast<std::uint32_t>(pool.members.size())});
    pool.members.push_back(position);
    ++pool.availableCount;
}

/** Ends the ejections that have expired; examines only ejected backend servers. */
void BackendIndex::endExpiredEjections(Instant now)
{
    for (auto it = m_ejected.begin(); it != m_ejected.end();) {
        const std::uint32_t position = *it++;
        Backend &backend = m_backends[position];
        backend.health = backend.health.at(now);
        if (!backend.health.isEjected()) {
            updateAvailability(position);
        }
    }
}

void BackendIndex::updateAvailability(std::uint32_t position)
{
    const Backend &backend = m_backends[position];
    if (backend.health.isEjected()) {
        m_ejected.insert(position);
    } else {
        m_ejected.erase(position);
    }
    const std::uint32_t maxInFlight =
            std::min(backend.limit.current(), backend.health.allowedInFlight());
    setAvailable(position, m_loads[position].localInFlight < maxInFlight);
}

void BackendIndex::setAvailable(std::uint32_t position, bool isAvailable)
{
    Backend &backend = m_backends[position];
    if (backend.isAvailable == isAvailable) {
        return;
    }
    backend.isAvailable = isAvailable;
    for (std::size_t n = 0; n < backend.poolPositions.size(); ++n) {
        const PoolPosition poolPosition = backend.poolPositions[n];
        Pool &pool = m_poolMembers[poolPosition.pool];
        pool.availableCount -= isAvailable ? 0 : 1;
        swapMembers(pool, poolPosition.pool, poolPosition.index, pool.availableCount);
        pool.availableCount += isAvailable ? 1 : 0;
    }
}

void BackendIndex::swapMembers(Pool &pool, std::uint32_t poolNumber, std::size_t left,
                               std::size_t right)
{
    if (left == right) {
        return;
    }
    std::swap(pool.members[left], pool.members[right]);
    updateMemberIndex(pool.members[left], poolNumber, left);
    updateMemberIndex(pool.members[right], poolNumber, right);
}

void BackendIndex::updateMemberIndex(std::uint32_t position, std::uint32_t poolNumber,
                                     std::size_t index)
{
    for (PoolPosition &poolPosition : m_backends[position].poolPositions) {
        if (poolPosition.pool == poolNumber) {
            poolPosition.index = static_cast<std::uint32_t>(index);
        }
    }
}

/**
 * @returns the members with capacity; all members if all are ejected, because ejection is of no use
 * without an alternative (panic mode)
 */
std::span<const std::uint32_t> BackendIndex::candidatesOf(const Pool &pool) const
{
    const std::span<const std::uint32_t> all(pool.members);
    if (pool.availableCount > 0 || m_ejected.size() < all.size()) {
        return all.first(pool.availableCount);
    }
    const bool areAllEjected = std::all_of(all.begin(), all.end(), [this](std::uint32_t position) {
        return m_ejected.contains(position);
    });
    return areAllEjected ? all : all.first(0);
}

std::optional<std::uint32_t> BackendIndex::choose(const Pool &pool,
                                                  const std::set<InstanceId> &tried,
                                                  const ChoiceRandom &random, Instant now)
{
    const BackendPool candidates(candidatesOf(pool), m_loads, now);
    ChoiceRandom draw = random;
    for (int n = 0; n < maxDraws; ++n) {
        const std::optional<std::size_t> chosen = m_choose(candidates, draw);
        if (!chosen) {
            return std::nullopt;
        }
        const std::uint32_t position = candidates.position(*chosen);
        if (tried.empty() || !tried.contains(m_backends[position].instance)) {
            return position;
        }
        draw.first = draw.first * drawStep + 1;
        draw.second = draw.second * drawStep + 1;
    }
    return chooseUntried(pool, tried, random, now);
}

/** Chooses among all members not tried before; used only if the random choices hit tried ones. */
std::optional<std::uint32_t> BackendIndex::chooseUntried(const Pool &pool,
                                                         const std::set<InstanceId> &tried,
                                                         const ChoiceRandom &random, Instant now)
{
    std::vector<std::uint32_t> left;
    for (const std::uint32_t position : candidatesOf(pool)) {
        if (!tried.contains(m_backends[position].instance)) {
            left.push_back(position);
        }
    }
    const BackendPool candidates(left, m_loads, now);
    const std::optional<std::size_t> chosen = m_choose(candidates, random);
    return chosen ? std::optional(candidates.position(*chosen)) : std::nullopt;
}

} // namespace greengageseam
