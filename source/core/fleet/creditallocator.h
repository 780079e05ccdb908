/**
 * Credit-based flow control between the entries and one backend server. While the server is
 * contended, its agent hands out credits with each load report, one for each request that the
 * server can still take, so that the entries together send no more than that.
 */
#pragma once

#include "core/common/ids.h"

#include <cstdint>
#include <map>
#include <vector>

namespace greengageseam {

/** Requests at a backend server. */
struct BackendOccupancy
{
    /** Number of requests that the server processes concurrently; 0 if unknown. */
    std::uint32_t slots = 0;
    /** Requests that it processes or that wait for a slot there. */
    std::uint32_t requests = 0;

    auto operator<=>(const BackendOccupancy &) const = default;
};

/** @returns whether so few slots are free that entries need a credit to send a request */
bool isContended(const BackendOccupancy &occupancy);

/** @returns the number of further requests that the server can begin at once */
std::uint32_t availableCredits(const BackendOccupancy &occupancy);

/** An entry that may receive credits. */
struct CreditClaim
{
    InstanceId entry;
    bool isSameZone = false;
    /** Requests that callers made at the entry in the last second. */
    std::uint32_t arrivals = 0;
    /** The fraction of them that the entry turned away. */
    double turnedAwayShare = 0;

    auto operator<=>(const CreditClaim &) const = default;
};

/**
 * Divides the credits of one backend server among entries, in proportion to their demand and in
 * turn where there are fewer credits than entries. Entries of other zones take part only as far as
 * they turn away a larger fraction of their callers than those of the server's own zone.
 */
class CreditAllocator
{
public:
    /** @param seed differs from server to server, so that their first credits go to different
     * entries */
    explicit CreditAllocator(std::uint64_t seed) : m_seed(seed) { }

    /**
     * @param credits number of credits to hand out
     * @param claims the entries that are about to receive a report
     * @returns the credits of each entry that gets any
     */
    std::map<InstanceId, std::uint32_t> allocate(std::uint32_t credits,
                                                 const std::vector<CreditClaim> &claims);

private:
    double initialBalance(const InstanceId &entry) const;

    std::uint64_t m_seed;
    /**
     * Credits by which an entry is behind its share (positive) or ahead of it. Invariant: after
     * each allocation, it holds only entries of the last claims.
     */
    std::map<InstanceId, double> m_balances;
};

} // namespace greengageseam
