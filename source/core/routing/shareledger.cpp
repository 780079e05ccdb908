#include "core/routing/shareledger.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Requested share in percent of the demand, which leaves headroom for growth. */
constexpr std::uint64_t headroomPercent = 150;

ShareMillionths shareOf(const Shares &shares, const AccountName &account)
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

ShareLedger ShareLedger::withRecord(Offset offset, const ShareRecord &record) const
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

ShareMillionths ShareLedger::unallocated(const AccountName &account) const
{
    ShareMillionths granted = 0;
    for (const auto &[holder, lease] : m_leases) {
        granted += shareOf(lease.granted, account);
    }
    return m_options.sharedByDemand() - granted;
}

Shares ShareLedger::sharesToRequest(const InstanceId &holder, const Shares &demand) const
{
    const auto holders =
            static_cast<ShareMillionths>(m_leases.size()) + (m_leases.contains(holder) ? 0 : 1);
    const ShareMillionths equalShare = m_options.sharedByDemand() / std::max(holders, 1U);
    Shares requested;
    for (const auto &[account, share] : demand) {
        const ShareLease *lease = leaseOf(holder);
        const ShareMillionths held = lease == nullptr ? 0 : shareOf(lease->granted, account);
        const std::uint64_t needed = std::uint64_t {share} * headroomPercent / 100;
        // Leaves half of what is unallocated, so that other entries can grow at once.
        const std::uint64_t maxShare =
                std::max(equalShare, std::min(held, equalShare * 2) + unallocated(account) / 2);
        requested[account] = static_cast<ShareMillionths>(std::min(needed, maxShare));
    }
    return requested;
}

void ShareLedger::fold(Offset offset, const ShareRequested &request)
{
    const auto it = m_leases.find(request.holder);
    if (it != m_leases.end() && request.sequence <= it->second.sequence) {
        return;
    }
    ShareLease lease;
    lease.requestOffset = offset;
    lease.sequence = request.sequence;
    const auto baseShareCount =
            std::count_if(m_leases.begin(), m_leases.end(),
                          [](const auto &other) { return other.second.hasBase; });
    const bool hadBaseShare = it != m_leases.end() && it->second.hasBase;
    lease.hasBase = hadBaseShare || baseShareCount < m_options.baseHolders;
    m_leases.erase(request.holder);
    for (const auto &[account, requested] : request.requested) {
        lease.granted[account] = std::min(requested, unallocated(account));
    }
    m_leases.emplace(request.holder, std::move(lease));
}

void ShareLedger::fold(Offset, const ShareLeaseExpired &expired)
{
    const auto it = m_leases.find(expired.holder);
    if (it == m_leases.end() || it->second.requestOffset != expired.requestOffset) {
        return;
    }
    if (expired.includesBaseShare || !it->second.hasBase) {
        m_leases.erase(it);
    } else {
        it->second.granted.clear();
    }
}

ShareMillionths HeldShareLease::usable(const AccountName &account, Instant now,
                                       const ShareOptions &options) const
{
    const Duration age = now - requestedAt;
    const ShareMillionths base = lease.hasBase && age < options.baseLease ? options.baseShare() : 0;
    if (age >= options.lease) {
        return base;
    }
    ShareMillionths granted = shareOf(lease.granted, account);
    if (pending) {
        granted = std::min(granted, shareOf(*pending, account));
    }
    return base + granted;
}

} // namespace greengageseam
