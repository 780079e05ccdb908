/**
 * The order in which an agent prefers the entries of its zone.
 */
#pragma once

#include "core/common/common.h"

#include <map>
#include <vector>

namespace greengageseam {

/**
 * Ranks entries by their rendezvous score, so that the agents of a zone spread over its entries.
 * Entries that failed recently are ranked last rather than removed, so that they are redialed at
 * once if there are no others.
 */
class EntryRanking
{
public:
    /** @param seeds entries that are known from the settings */
    EntryRanking(InstanceId agent, std::vector<Address> seeds);

    /** @returns the ranking with the entries of the platform's list, which replaces the last one */
    EntryRanking withListed(std::vector<Address> entries) &&;
    /** @returns the ranking after an entry has failed */
    EntryRanking withFailure(const Address &entry, Instant now) &&;
    /** @returns the ranking after an entry was reached */
    EntryRanking withoutFailure(const Address &entry) &&;

    /** @returns all entries, the most preferred first */
    std::vector<Address> sorted(Instant now) const;

    bool operator==(const EntryRanking &) const = default;

private:
    InstanceId m_agent;
    std::vector<Address> m_seeds;
    std::vector<Address> m_listed;
    std::map<Address, Instant> m_failedAt;
};

} // namespace greengageseam
