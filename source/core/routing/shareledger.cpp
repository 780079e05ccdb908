#include "core/routing/shareledger.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Requested share in percent of the demand, which leaves headroom for growth. */
constexpr std::uint64_t headroomPercent = 150;

ShareMillionths partOf(const Shares &shares, const AccountName &account)
{
    const auto it = shares.find(account);
    return it == shares.end() ? 0 : it->second;
}

} // namespace

ShareOptions ShareOptions::withBaseHolders(std::uint32_t value) const
{
    ShareOptions options = *this;
    options.baseHolders = value;
    return options;
}

ShareLedger ShareLedger::folded(Offset offset, const ShareRecord &record) const
{
    if (offset <= m_applied) {
        return *this;
    }
    ShareLedger next = *this;
    next.m_applied = offset;
    std::visit([&](const auto &message) { next.fold(offset, message); }, record);
    return next;
}

const ShareLease *ShareLedger::leaseOf(const InstanceId &holder) const
{
    const auto it = m_leases.find(holder);
    return it == m_leases.end() ? nullptr : &it->second;
}

ShareMillionths ShareLedger::freeOf(const AccountName &account) const
{
    ShareMillionths granted = 0;
    for (const auto &[holder, lease] : m_leases) {
        granted += partOf(lease.granted, account);
    }
    return m_options.byDemand() - granted;
}

Shares ShareLedger::wantedBy(const InstanceId &holder, const Shares &demand) const
{
    const auto holders =
            static_cast<ShareMillionths>(m_leases.size()) + (m_leases.contains(holder) ? 0 : 1);
    const ShareMillionths equalPart = m_options.byDemand() / std::max(holders, 1U);
    Shares wanted;
    for (const auto &[account, share] : demand) {
        const ShareLease *lease = leaseOf(holder);
        const ShareMillionths held = lease == nullptr ? 0 : partOf(lease->granted, account);
        const std::uint64_t needed = std::uint64_t {share} * headroomPercent / 100;
        // Leaves half of what is unallocated, so that other entries can grow at once.
        const std::uint64_t most =
                std::max(equalPart, std::min(held, equalPart * 2) + freeOf(account) / 2);
        wanted[account] = static_cast<ShareMillionths>(std::min(needed, most));
    }
    return wanted;
}

void ShareLedger::fold(Offset offset, const ShareAsked &asked)
{
    const auto it = m_leases.find(asked.holder);
    if (it != m_leases.end() && asked.sequence <= it->second.sequence) {
        return;
    }
    ShareLease lease;
    lease.asked = offset;
    lease.sequence = asked.sequence;
    const auto bases = std::count_if(m_leases.begin(), m_leases.end(),
                                     [](const auto &other) { return other.second.hasBase; });
    const bool hadBase = it != m_leases.end() && it->second.hasBase;
    lease.hasBase = hadBase || bases < m_options.baseHolders;
    m_leases.erase(asked.holder);
    for (const auto &[account, wanted] : asked.wanted) {
        lease.granted[account] = std::min(wanted, freeOf(account));
    }
    m_leases.emplace(asked.holder, std::move(lease));
}

void ShareLedger::fold(Offset, const ShareLapsed &lapsed)
{
    const auto it = m_leases.find(lapsed.holder);
    if (it == m_leases.end() || it->second.asked != lapsed.lease) {
        return;
    }
    if (lapsed.isBase || !it->second.hasBase) {
        m_leases.erase(it);
    } else {
        it->second.granted.clear();
    }
}

ShareMillionths ShareHolding::usable(const AccountName &account, Instant now,
                                     const ShareOptions &options) const
{
    const Duration age = now - askedAt;
    const ShareMillionths base = lease.hasBase && age < options.baseLease ? options.base() : 0;
    if (age >= options.lease) {
        return base;
    }
    ShareMillionths granted = partOf(lease.granted, account);
    if (pending) {
        granted = std::min(granted, partOf(*pending, account));
    }
    return base + granted;
}

} // namespace greengageseam
