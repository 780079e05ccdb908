/**
 * Distributed rate limiting: divides each account's limits among the entries by leases. The state
 * is a fold over the records of the platform's log, so every entry computes the same result.
 *
 * An entry requests shares and may use them until its lease expires on its own clock, counted from
 * before it appended the request. Another entry may record the expiry of a lease only after it has
 * observed the lease for longer than that. The order of the log resolves races. In addition, each
 * of the first entries holds a base share under a much longer lease, so that a zone that is
 * partitioned from the log continues to serve part of the traffic.
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

/** Record: an entry requests shares, which also renews its leases. */
struct ShareRequested
{
    InstanceId holder;
    /** Increases with each request of a holder, so that a duplicate record has no effect. */
    std::uint64_t sequence = 0;
    /** Requested shares in addition to the base share; granted as far as they are unallocated. */
    Shares requested;

    auto operator<=>(const ShareRequested &) const = default;
};

/** Record: an entry observed that a lease of another entry has expired. */
struct ShareLeaseExpired
{
    InstanceId holder;
    /** Offset of the last observed request; if the holder made a later one, the record is void. */
    Offset requestOffset;
    /** Whether the lease of the base share has expired too, which removes the holder. */
    bool includesBaseShare = false;

    auto operator<=>(const ShareLeaseExpired &) const = default;
};

/** A record in the log of shares. */
using ShareRecord = std::variant<ShareRequested, ShareLeaseExpired>;

/** Lease of one entry. */
struct ShareLease
{
    Offset requestOffset;
    std::uint64_t sequence = 0;
    /** Granted shares in addition to the base share. */
    Shares granted;
    bool hasBase = false;

    auto operator<=>(const ShareLease &) const = default;
};

/** Options of share leases; they must be the same at every entry. */
struct ShareOptions
{
    /** Part of each limit that is reserved for base shares. */
    ShareMillionths reservedForBase = fullShare / 4;
    /** Number of entries that get a base share. */
    std::uint32_t baseHolders = 16;
    Duration lease = std::chrono::seconds(15);
    Duration baseLease = std::chrono::hours(2);
    /** Time that an observer waits beyond a lease, to allow for clocks with different rates. */
    Duration clockDriftMargin = std::chrono::seconds(2);

    ShareOptions withBaseHolders(std::uint32_t value) const;
    auto operator<=>(const ShareOptions &) const = default;

    /** @returns the base share of one holder */
    ShareMillionths baseShare() const { return reservedForBase / baseHolders; }
    /** @returns the part of each limit that is divided by demand */
    ShareMillionths sharedByDemand() const { return fullShare - baseShare() * baseHolders; }
};

/** Immutable state of all leases at one offset of the log. */
class ShareLedger
{
public:
    explicit ShareLedger(ShareOptions options = {}) : m_options(options) { }

    /** @returns the ledger after a record; unchanged if the record was applied before */
    ShareLedger withRecord(Offset offset, const ShareRecord &record) const;

    const std::map<InstanceId, ShareLease> &leases() const { return m_leases; }
    /** @returns the lease of a holder, or null */
    const ShareLease *leaseOf(const InstanceId &holder) const;
    /** @returns the part of an account's limits that is neither granted nor reserved */
    ShareMillionths unallocated(const AccountName &account) const;

    /**
     * Computes the shares to request: the demand with headroom, limited to the larger of an equal
     * part and the shares already held (at most two equal parts) plus half of what is unallocated.
     * So no holder exceeds an equal part while others want the rest.
     * @param demand part of each account's limits that the holder would use now
     */
    Shares sharesToRequest(const InstanceId &holder, const Shares &demand) const;

    bool operator==(const ShareLedger &) const = default;

private:
    void fold(Offset offset, const ShareRequested &request);
    void fold(Offset offset, const ShareLeaseExpired &expired);

    ShareOptions m_options;
    Offset m_applied;
    /** Invariant: for each account, base shares and granted shares add up to at most fullShare. */
    std::map<InstanceId, ShareLease> m_leases;
};

/** Lease as held by its own entry, which evaluates it by its own clock only. */
struct HeldShareLease
{
    ShareLease lease;
    /** Time immediately before the request of this lease was appended to the log. */
    Instant requestedAt;
    /**
     * Later request whose result is not known yet, if any. Shares that it no longer requests must
     * not be used.
     */
    std::optional<Shares> pending;

    bool operator==(const HeldShareLease &) const = default;

    /** @returns the share that may be used now, including the base share */
    ShareMillionths usable(const AccountName &account, Instant now,
                           const ShareOptions &options) const;
};

} // namespace greengageseam
