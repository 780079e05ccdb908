/**
 * Registry of the running entries. Agents learn of entries from their datagrams, and notify each
 * entry of the others.
 */
#pragma once

#include "core/common/ids.h"
#include "core/common/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace greengageseam {

/** Location of an entry. */
struct EntryLocation
{
    InstanceId instance;
    ZoneName zone;
    /** IP address of the machine on which the entry runs. */
    std::string ip;

    auto operator<=>(const EntryLocation &) const = default;
};

/** Entries seen within the lifetime. It is modified in place, once for each datagram. */
class EntryRegistry
{
public:
    /** @param lifetime time after its last datagram at which an entry expires */
    explicit EntryRegistry(Duration lifetime) : m_lifetime(lifetime) { }

    /** Adds an entry, or renews it if it is registered already. */
    void refresh(const EntryLocation &location, Instant now);
    /** Renews all entries if another process reports the same checksum, that is, the same list. */
    void confirm(std::uint64_t checksum, Instant now);
    /**
     * Renews all entries. Call it when nothing was heard for some time, so that nothing can have
     * shown that an entry is gone.
     */
    void renewAll(Instant now);
    /** Removes expired entries. @returns whether the registry changed since the last call */
    bool expire(Instant now);
    /** @returns the locations, ordered by instance id */
    std::vector<EntryLocation> locations() const;
    /** @returns a checksum of the registered entries, used to compare the lists of two processes */
    std::uint64_t checksum() const;

private:
    Duration m_lifetime;
    std::map<EntryLocation, Instant> m_lastSeen;
    bool m_hasChanged = false;
};

/**
 * Ranks the entries of a zone by rendezvous hashing of their IP addresses. The first one reads from
 * the platform's store for the others.
 * @returns the entries of the zone, in the same order at every process that knows the same entries
 */
std::vector<EntryLocation> zoneReaderOrder(const std::vector<EntryLocation> &entries,
                                           const ZoneName &zone);

/**
 * Elects one entry in each zone that reads the list of backend servers from the platform's store:
 * the first one of zoneReaderOrder(). The other entries of the zone receive deltas from it.
 * @returns whether @p self is the reader of its zone
 */
bool isListReader(const std::vector<EntryLocation> &entries, const EntryLocation &self);

/** @returns the number of entries that precede @p self in zoneReaderOrder() */
std::size_t zoneReaderRank(const std::vector<EntryLocation> &entries, const EntryLocation &self);

} // namespace greengageseam
