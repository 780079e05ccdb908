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
struct EntrySite
{
    InstanceId instance;
    ZoneName zone;
    /** IP address of its machine. */
    std::string ip;

    auto operator<=>(const EntrySite &) const = default;
};

/** Entries that were heard of of late. It changes in place, with each datagram. */
class EntrySites
{
public:
    /** @param lifetime after which an entry that is not heard of any more is forgotten */
    explicit EntrySites(Duration lifetime) : m_lifetime(lifetime) { }

    /** An entry was heard of. */
    void hear(const EntrySite &site, Instant now);
    /** Somebody else knows of the same sites, by their checksum. */
    void confirm(std::uint64_t checksum, Instant now);
    /** Time passes. @returns whether the sites have changed since the last call */
    bool settle(Instant now);
    /** @returns the sites, by their instances' names */
    std::vector<EntrySite> sites() const;
    /** @returns a checksum by which two lists are compared */
    std::uint64_t checksum() const;

private:
    Duration m_lifetime;
    std::map<EntrySite, Instant> m_heard;
    bool m_hasChanged = false;
};

/** @returns whether it is @p self that reads the list of backend servers for its zone */
bool readsList(const std::vector<EntrySite> &entries, const EntrySite &self);

} // namespace greengageseam
