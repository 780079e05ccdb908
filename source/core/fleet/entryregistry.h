/**
 * Entries that are known to run, as agents hear of them and tell each other's entries.
 */
#pragma once

#include "core/common/ids.h"
#include "core/common/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace greengageseam {

/** Where an entry runs. */
struct EntryLocation
{
    InstanceId instance;
    ZoneName zone;
    /** IP address of its machine. */
    std::string ip;

    auto operator<=>(const EntryLocation &) const = default;
};

/** Entries that were heard of of late. It changes in place, with each datagram. */
class EntryRegistry
{
public:
    /** @param lifetime after which an entry that is not heard of any more is forgotten */
    explicit EntryRegistry(Duration lifetime) : m_lifetime(lifetime) { }

    /** An entry was heard of. */
    void refresh(const EntryLocation &location, Instant now);
    /** Somebody else knows of the same sites, by their checksum. */
    void confirm(std::uint64_t checksum, Instant now);
    /** Time passes. @returns whether the sites have changed since the last call */
    bool expire(Instant now);
    /** @returns the sites, by their instances' names */
    std::vector<EntryLocation> locations() const;
    /** @returns a checksum by which two lists are compared */
    std::uint64_t checksum() const;

private:
    Duration m_lifetime;
    std::map<EntryLocation, Instant> m_lastSeen;
    bool m_hasChanged = false;
};

/** @returns whether it is @p self that reads the list of backend servers for its zone */
bool isListReader(const std::vector<EntryLocation> &entries, const EntryLocation &self);

} // namespace greengageseam
