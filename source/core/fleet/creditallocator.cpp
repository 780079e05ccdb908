#include "core/fleet/creditallocator.h"

#include "core/common/hashing.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Fraction of the slots in use from which on entries need credits. */
constexpr double contendedShare = 0.6;
/** Weight of an entry of the own zone that had no requests lately, which may receive some now. */
constexpr double idleWeight = 0.2;
/** Difference between the fractions turned away in two zones that counts as equal. */
constexpr double equalityTolerance = 0.1;
/** Number of different initial balances. */
constexpr std::uint64_t initialBalances = 1000;
/** Limit of the balance of an entry, so that a claim of long ago does not dominate. */
constexpr double maxBalance = 2;

double ownTurnedAwayShare(const std::vector<CreditClaim> &claims)
{
    double arrivals = 0;
    double turnedAway = 0;
    for (const CreditClaim &claim : claims) {
        if (claim.isSameZone) {
            arrivals += claim.arrivals;
            turnedAway += claim.arrivals * claim.turnedAwayShare;
        }
    }
    return arrivals > 0 ? turnedAway / arrivals : 0;
}

/** @param ownShare fraction of their callers that the entries of the server's zone turn away */
double weightOf(const CreditClaim &claim, double ownShare)
{
    if (claim.isSameZone) {
        return std::max<double>(claim.arrivals, idleWeight);
    }
    const double excess = claim.turnedAwayShare - ownShare;
    return excess > equalityTolerance ? claim.arrivals * excess : 0;
}

} // namespace

bool isContended(const BackendOccupancy &occupancy)
{
    return occupancy.requests > occupancy.slots * contendedShare;
}

std::uint32_t availableCredits(const BackendOccupancy &occupancy)
{
    return occupancy.slots > occupancy.requests ? occupancy.slots - occupancy.requests : 0;
}

/** @returns a balance between 0 and 1 that decides who comes first among equals */
double CreditAllocator::initialBalance(const InstanceId &entry) const
{
    const std::uint64_t hash = checksumOf(entry.text(), m_seed);
    return static_cast<double>(hash % initialBalances) / initialBalances;
}

std::map<InstanceId, std::uint32_t>
CreditAllocator::allocate(std::uint32_t credits, const std::vector<CreditClaim> &claims)
{
    const double ownShare = ownTurnedAwayShare(claims);
    std::map<InstanceId, double> weights;
    double total = 0;
    for (const CreditClaim &claim : claims) {
        const double weight = weightOf(claim, ownShare);
        if (weight > 0) {
            weights[claim.entry] = weight;
            total += weight;
        }
    }
    std::erase_if(m_balances, [&](const auto &it) { return !weights.contains(it.first); });
    std::map<InstanceId, std::uint32_t> allocated;
    for (std::uint32_t n = 0; n < credits && !weights.empty(); ++n) {
        auto next = weights.begin();
        for (auto it = weights.begin(); it != weights.end(); ++it) {
            double &balance =
                    m_balances.try_emplace(it->first, initialBalance(it->first)).first->second;
            balance = std::min(maxBalance, balance + it->second / total);
            if (balance > m_balances.at(next->first)) {
                next = it;
            }
        }
        m_balances.at(next->first) -= 1;
        ++allocated[next->first];
    }
    return allocated;
}

} // namespace greengageseam
