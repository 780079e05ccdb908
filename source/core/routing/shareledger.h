/**
 * Who may let through which part of each account's limits: a fold over records in the platform's
 * log, which has the same result at every entry.
 *
 * An entry asks for shares and may use them until its lease runs out on its own clock, counted from
 * before it asked. Another entry may record that a lease has lapsed only after it saw the lease for
 * longer than that. The order of the log decides races. Each of the first entries has a base share
 * besides, under a much longer lease, so that a zone that is cut off goes on serving a part.
 */
#pragma once

#include "core/common/common.h"
#include "core/routing/accountmeter.h"

#include <map>
#include <optional>
#include <variant>

namespace greengageseam {

/** Shares by account. */
using Shares = std::map<AccountName, ShareMillionths>;

/** An entry asks for shares, and by this renews its leases. */
struct ShareRequested
{
    InstanceId holder;
    /** Rises with each question of one holder, so that a record that comes twice counts once. */
    std::uint64_t sequence = 0;
    /** Shares beside the base share; what is free of them is granted. */
    Shares requested;

    auto operator<=>(const ShareRequested &) const = default;
};

/** An entry saw that a lease has run out. */
struct ShareLeaseExpired
{
    InstanceId holder;
    /** Record of the last question that was seen; a later one makes this record void. */
    Offset requestOffset;
    /** Whether the base share has lapsed too, and with it the holder. */
    bool includesBaseShare = false;

    auto operator<=>(const ShareLeaseExpired &) const = default;
};

/** A record of the stream of shares. */
using ShareRecord = std::variant<ShareRequested, ShareLeaseExpired>;

/** What one entry holds. */
struct ShareLease
{
    Offset requestOffset;
    std::uint64_t sequence = 0;
    /** Shares beside the base share. */
    Shares granted;
    bool hasBase = false;

    auto operator<=>(const ShareLease &) const = default;
};

/** Sizes and times of shares; the same at every entry. */
struct ShareOptions
{
    /** Part of each limit that is kept for base shares. */
    ShareMillionths reservedForBase = fullShare / 4;
    /** How many entries get a base share. */
    std::uint32_t baseHolders = 16;
    Duration lease = std::chrono::seconds(15);
    Duration baseLease = std::chrono::hours(2);
    /** Time that an observer waits beyond a lease, for clocks that run at different rates. */
    Duration clockDriftMargin = std::chrono::seconds(2);

    ShareOptions withBaseHolders(std::uint32_t value) const;
    auto operator<=>(const ShareOptions &) const = default;

    /** @returns the base share of one holder */
    ShareMillionths baseShare() const { return reservedForBase / baseHolders; }
    /** @returns what is shared by demand */
    ShareMillionths sharedByDemand() const { return fullShare - baseShare() * baseHolders; }
};

/** The leases as of one offset; a record makes a new ledger. */
class ShareLedger
{
public:
    explicit ShareLedger(ShareOptions options = {}) : m_options(options) { }

    /** @returns the ledger after a record; one that was folded before changes nothing */
    ShareLedger withRecord(Offset offset, const ShareRecord &record) const;

    const std::map<InstanceId, ShareLease> &leases() const { return m_leases; }
    /** @returns the lease of a holder, or null */
    const ShareLease *leaseOf(const InstanceId &holder) const;
    /** @returns what of an account's limits is granted to nobody and is not reserved */
    ShareMillionths unallocated(const AccountName &account) const;

    /**
     * Works out what to ask for: what the demand needs, but not more than an equal part if others
     * want the rest.
     * @param demand part of each account's limits that the holder would use now
     */
    Shares sharesToRequest(const InstanceId &holder, const Shares &demand) const;

    bool operator==(const ShareLedger &) const = default;

private:
    void fold(Offset offset, const ShareRequested &request);
    void fold(Offset offset, const ShareLeaseExpired &expired);

    ShareOptions m_options;
    Offset m_applied;
    /** Invariant: for each account, base shares and granted shares add up to a whole at most. */
    std::map<InstanceId, ShareLease> m_leases;
};

/** What one entry may use while it renews its lease; it knows its own clock alone. */
struct HeldShareLease
{
    ShareLease lease;
    /** Time before the question was appended that the lease answers. */
    Instant requestedAt;
    /** Question that was sent after it, if any; what it gives up is no longer used. */
    std::optional<Shares> pending;

    bool operator==(const HeldShareLease &) const = default;

    /** @returns the shares that may be used now, the base share among them */
    ShareMillionths usable(const AccountName &account, Instant now,
                           const ShareOptions &options) const;
};

} // namespace greengageseam
