/**
 * Datagrams between entries and agents, and their encoding in Thrift's compact protocol.
 */
#pragma once

#include "core/common/errors.h"
#include "core/fleet/entryregistry.h"
#include "core/fleet/fleetconfig.h"
#include "core/fleet/loadbalancer.h"
#include "core/fleet/replicalistdelta.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace greengageseam {

/** An entry asks an agent for reports of load, for a while. */
struct LoadSubscription
{
    InstanceId instance;
    ZoneName zone;
    /** Checksum of the entries that the sender knows of. */
    std::uint64_t entriesChecksum = 0;
    /** What the sender knows of the operator's doings; grows with each of them. */
    std::uint64_t operatorOffset = 0;
    /** The newest weights that the sender knows to be named, one for each model. */
    std::vector<TargetVersion> targetVersions;

    auto operator<=>(const LoadSubscription &) const = default;
};

/** The entries that an agent has heard of. */
struct KnownEntries
{
    std::vector<EntryLocation> entries;

    auto operator<=>(const KnownEntries &) const = default;
};

/** What a datagram says. */
using Datagram = std::variant<LoadSubscription, LoadReport, KnownEntries, ReplicaListDelta>;

/** Largest datagram in bytes. */
constexpr std::size_t maxDatagramBytes = 8000;

/** @returns the bytes of a datagram */
std::string encodeDatagram(const Datagram &datagram);

/** @returns the datagram, or ProtocolViolation */
Result<Datagram> decodeDatagram(std::string_view bytes);

} // namespace greengageseam
