#include "core/membership/entryranking.h"

#include "core/common/hashing.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace greengageseam {

namespace {

/** Time for which an entry that failed is ranked behind all others. */
constexpr auto failureCooldown = std::chrono::seconds(5);

} // namespace

EntryRanking::EntryRanking(InstanceId agent, std::vector<Address> seeds)
    : m_agent(std::move(agent)), m_seeds(std::move(seeds))
{ }

EntryRanking EntryRanking::withListed(std::vector<Address> entries) &&
{
    m_listed = std::move(entries);
    return std::move(*this);
}

EntryRanking EntryRanking::withFailure(const Address &entry, Instant now) &&
{
    m_failedAt.insert_or_assign(entry, now);
    return std::move(*this);
}

EntryRanking EntryRanking::withoutFailure(const Address &entry) &&
{
    m_failedAt.erase(entry);
    return std::move(*this);
}

std::vector<Address> EntryRanking::sorted(Instant now) const
{
    std::set<Address> knownEntries(m_seeds.begin(), m_seeds.end());
    knownEntries.insert(m_listed.begin(), m_listed.end());
    const auto hasFailed = [&](const Address &address) {
        const auto failed = m_failedAt.find(address);
        return failed != m_failedAt.end() && now - failed->second < failureCooldown;
    };
    const auto rank = [&](const Address &address) {
        return std::pair(!hasFailed(address), rendezvousScore(m_agent.text(), address.text()));
    };
    std::vector<Address> all(knownEntries.begin(), knownEntries.end());
    std::sort(all.begin(), all.end(),
              [&](const Address &left, const Address &right) { return rank(left) > rank(right); });
    return all;
}

} // namespace greengageseam
