/**
 * UDP datagrams between entries and agents, and their encoding in Thrift's compact protocol.
 */
#pragma once

#include "core/common/errors.h"
#include "core/fleet/crashevidence.h"
#include "core/fleet/deltaparts.h"
#include "core/fleet/entryregistry.h"
#include "core/fleet/fleetconfig.h"
#include "core/fleet/loadbalancer.h"
#include "core/fleet/replicalistdelta.h"
#include "core/fleet/servicedemand.h"
#include "core/fleet/topicposition.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace greengageseam {

/** A target version of weights as a process knows it. */
struct KnownTargetVersion
{
    TargetVersion targetVersion;
    /**
     * From an agent: for how long it has known the version. From an entry: how long ago the version
     * was announced, by its estimate. In whole milliseconds, at most maxKnownVersionAge.
     */
    Duration age {};

    auto operator<=>(const KnownTargetVersion &) const = default;
};

/**
 * Subscribes an entry to the load reports of an agent. The subscription expires unless the entry
 * repeats it.
 */
struct LoadSubscription
{
    InstanceId instance;
    ZoneName zone;
    /** Checksum over all entries that the sender knows. */
    std::uint64_t entriesChecksum = 0;
    /** Position up to which the sender has read the operator's topic. */
    TopicPosition operatorPosition;
    /** The target version of each model, as far as the sender knows it. */
    std::vector<KnownTargetVersion> targetVersions;
    /** Age of the sender's view of the operator's topic; empty if it has none. */
    std::optional<Duration> operatorViewAge;
    /** Whether the agent is to send the entries that it knows, if they are others. */
    bool wantsEntries = true;
    /** The demand that the sender sees for services with engines. */
    std::vector<ServiceDemand> demands;

    auto operator<=>(const LoadSubscription &) const = default;
};

/** The entries that an agent knows. */
struct KnownEntries
{
    std::vector<EntryLocation> entries;

    auto operator<=>(const KnownEntries &) const = default;
};

/** Target versions that are news to an entry, or older than it thinks. */
struct KnownTargetVersions
{
    std::vector<KnownTargetVersion> versions;

    auto operator<=>(const KnownTargetVersions &) const = default;
};

/** A prompt part that was in flight at a backend server that crashed. */
struct ReportedSuspect
{
    PromptPartId part;
    /** How long ago its request was lost, in whole milliseconds. */
    Duration age {};
    std::uint32_t depth = 0;
    bool wasSound = false;
    bool isCleared = false;

    auto operator<=>(const ReportedSuspect &) const = default;
};

/** A crash event as one entry tells it another. */
struct ReportedCrash
{
    ReplicaIncarnation incarnation;
    std::vector<ReportedSuspect> suspects;

    auto operator<=>(const ReportedCrash &) const = default;
};

/** Crash events that an entry knows. */
struct CrashReport
{
    std::vector<ReportedCrash> crashes;

    auto operator<=>(const CrashReport &) const = default;
};

/** Checksum over the crash events that an entry knows; one that knows others sends them. */
struct CrashDigest
{
    std::uint64_t checksum = 0;
    /** A reply is not replied to. */
    bool isReply = false;

    auto operator<=>(const CrashDigest &) const = default;
};

/** Content of a datagram. */
using Datagram = std::variant<LoadSubscription, LoadReport, KnownEntries, ReplicaListDelta,
                              KnownTargetVersions, CrashReport, CrashDigest>;

/** Maximum size of a datagram in bytes. */
constexpr std::size_t maxDatagramBytes = 8000;
/** Longer ages of target versions are encoded as this one. */
constexpr auto maxKnownVersionAge = std::chrono::hours(1);
/** Maximum number of crash events in a datagram, and of suspects of each. */
constexpr std::size_t maxReportedCrashes = 128;
constexpr std::size_t maxReportedSuspects = 64;
/** Maximum length of the id of a prompt part in a datagram. */
constexpr std::size_t maxReportedPartId = 64;

/** Encodes a datagram. */
std::string encodeDatagram(const Datagram &datagram);

/** Decodes a datagram. @returns the datagram, or ProtocolViolation if it is malformed */
Result<Datagram> decodeDatagram(std::string_view bytes);

} // namespace greengageseam
