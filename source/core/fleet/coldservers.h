/**
 * The cold backend servers as one entry knows them, and what it may send them without credits.
 */
#pragma once

#include "core/fleet/coldstart.h"
#include "core/fleet/replica.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengageseam {

/**
 * Tracks which backend servers are cold. It remembers incarnations that have left the list, since
 * the list may drop a server for a moment that is alive and warm.
 *
 * It is modified in place, because it is on the path of each request.
 */
class ColdServers
{
public:
    /** @param selfIp IP address of this entry, which stands for it in the division of the pool */
    ColdServers(std::string selfIp, FleetBounds bounds);

    /** Replaces the rules with those of the configuration. */
    void setServices(const std::map<ServiceName, Service> &services);
    /** Applies the list of backend servers as of a read. */
    void setReplicas(const std::vector<ReplicaEntry> &entries, Instant now);
    /** Adds entries by IP address. Those that are no longer seen may be cut off and still send. */
    void addEntries(const std::vector<std::string> &ips);
    /** Sets the number of entries if it is known to be larger than the number of those added. */
    void setEntryCount(std::uint32_t entries) { m_entryCount = entries; }
    /**
     * Applies what an agent told of a listed backend server.
     * @param sentAt time of the agent's clock when it sent the report; empty if not stated
     * @returns whether credits of the report may be used, as far as its age decides it
     */
    bool applyReport(const ReplicaId &id, std::optional<Duration> coldLeft,
                     std::optional<Duration> sentAt, Instant now);
    /** @returns whether a listed backend server is cold and has a limit */
    bool isCold(const ReplicaEntry &entry, Instant now) const;
    /** @returns whether this entry may send a request there without a credit */
    bool hasShare(const ReplicaEntry &entry, Instant now) const;
    /** Counts a request that was sent without a credit. */
    void recordShareUse(const ReplicaId &id, Instant now);
    /** @returns the listed backend servers that are cold, with the time left */
    std::map<ReplicaId, Duration> coldReplicas(Instant now) const;

private:
    /** An incarnation of a backend server. */
    struct Incarnation
    {
        ServiceName service;
        std::uint64_t startedAtMs = 0;
        ColdPeriod period;
        ReportDelay delay;
        ColdShareUse use;
        bool isListed = false;
        Instant lastListedAt;
    };

    void forgetOldest();
    std::optional<Duration> coldLeft(const Incarnation &incarnation, Instant now) const;

    std::string m_selfIp;
    FleetBounds m_bounds;
    std::map<ServiceName, ColdStartRules> m_rules;
    std::map<ReplicaId, Incarnation> m_incarnations;
    /** Sorted, without duplicates. */
    std::vector<std::string> m_entries;
    std::uint32_t m_entryCount = 1;
    /** When the list was read for the first time. */
    std::optional<Instant> m_firstListAt;
};

} // namespace greengageseam
