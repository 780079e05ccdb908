#include "protocol/datagramcodec.h"

#include "protocol/generated/wire_types.h"
#include "protocol/wireposition.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace greengageseam {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr int maxNesting = 4;
/** LoadReport::slowdown is transmitted as an integer, in thousandths. */
constexpr double paceUnits = 1000;
constexpr double maxPace = 1e6;
/** A longer remaining cold time is shortened, so that sums of times do not overflow. */
constexpr std::chrono::milliseconds maxColdTime = std::chrono::hours(24);

wire::ReplicaSeen replicaToWire(const ReplicaEntry &entry)
{
    wire::ReplicaSeen seen;
    seen.id = entry.id.text();
    seen.serviceName = entry.service.text();
    seen.address = entry.address.text();
    seen.zone = entry.zone.text();
    seen.slots = static_cast<std::int32_t>(entry.slots);
    seen.draining = entry.isDraining;
    seen.bornMs = static_cast<std::int64_t>(entry.startedAtMs);
    seen.model = entry.loaded.model.text();
    seen.version = static_cast<std::int64_t>(entry.loaded.version);
    if (entry.loaded.layers) {
        seen.__set_layersFrom(static_cast<std::int32_t>(entry.loaded.layers->from));
        seen.__set_layersTo(static_cast<std::int32_t>(entry.loaded.layers->to));
        seen.__set_layersVersion(static_cast<std::int64_t>(entry.loaded.layers->version));
    }
    if (entry.coldLeft > Duration::zero()) {
        seen.__set_remainingColdMs(
                std::chrono::ceil<std::chrono::milliseconds>(entry.coldLeft).count());
    }
    return seen;
}

ReplicaEntry replicaFromWire(const wire::ReplicaSeen &seen)
{
    ReplicaEntry entry;
    entry.id = ReplicaId(seen.id);
    entry.service = ServiceName(seen.serviceName);
    entry.address = Address(seen.address);
    entry.zone = ZoneName(seen.zone);
    entry.slots = static_cast<std::uint32_t>(seen.slots);
    entry.isDraining = seen.draining;
    entry.startedAtMs = static_cast<std::uint64_t>(seen.bornMs);
    entry.loaded.model = ModelName(seen.model);
    entry.loaded.version = static_cast<std::uint64_t>(seen.version);
    if (seen.__isset.layersTo) {
        entry.loaded.layers = LayerRange {static_cast<std::uint32_t>(seen.layersFrom),
                                          static_cast<std::uint32_t>(seen.layersTo),
                                          static_cast<std::uint64_t>(seen.layersVersion)};
    }
    if (seen.__isset.remainingColdMs) {
        entry.coldLeft = std::chrono::milliseconds(seen.remainingColdMs);
    }
    return entry;
}

wire::ListPassed listToWire(const ReplicaListDelta &delta)
{
    wire::ListPassed passed;
    passed.fromOffset = static_cast<std::int64_t>(delta.from.offset);
    passed.nextOffset = static_cast<std::int64_t>(delta.next.offset);
    setEra(passed, delta.next.era);
    passed.viewAge = delta.viewAge.count();
    for (const ReplicaEntry &entry : delta.changed) {
        passed.changed.push_back(replicaToWire(entry));
    }
    for (const ReplicaId &id : delta.removed) {
        passed.removed.push_back(id.text());
    }
    return passed;
}

bool hasNegativeNumbers(const wire::ListPassed &passed)
{
    return passed.fromOffset < 0 || passed.nextOffset < passed.fromOffset || passed.viewAge < 0
            || (passed.__isset.era && passed.era < 0)
            || std::any_of(
                    passed.changed.begin(), passed.changed.end(),
                    [](const wire::ReplicaSeen &seen) {
                        return seen.slots < 0 || seen.bornMs < 0 || seen.version < 0
                                || seen.layersFrom < 0 || seen.layersTo < 0
                                || seen.layersVersion < 0;
                    });
}

ReplicaListDelta listFromWire(const wire::ListPassed &passed)
{
    ReplicaListDelta delta;
    delta.from = positionOf(passed, passed.fromOffset);
    delta.next = positionOf(passed, passed.nextOffset);
    delta.viewAge = std::min<Duration>(Duration(passed.viewAge), maxKnownVersionAge);
    for (const wire::ReplicaSeen &seen : passed.changed) {
        delta.changed.push_back(replicaFromWire(seen));
    }
    for (const std::string &id : passed.removed) {
        delta.removed.emplace_back(id);
    }
    return delta;
}

/** @returns an age in whole milliseconds, at most maxKnownVersionAge */
std::int32_t ageToWire(Duration age)
{
    const Duration bounded = std::min<Duration>(age, maxKnownVersionAge);
    return static_cast<std::int32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(bounded).count());
}

wire::ListPart listPartToWire(const ReplicaListDelta &part)
{
    wire::ListPart result;
    result.passed = listToWire(part);
    result.part = static_cast<std::int32_t>(part.part);
    result.partCount = static_cast<std::int32_t>(part.partCount);
    return result;
}

Result<Datagram> listPartFromWire(const wire::ListPart &part)
{
    const bool isNumbered = part.part >= 0 && part.part < part.partCount
            && part.partCount <= static_cast<std::int32_t>(maxDeltaParts);
    if (!isNumbered || hasNegativeNumbers(part.passed)) {
        return fail(ErrorKind::ProtocolViolation,
                    "a part of the list has negative numbers or an invalid part number");
    }
    ReplicaListDelta delta = listFromWire(part.passed);
    delta.part = static_cast<std::uint32_t>(part.part);
    delta.partCount = static_cast<std::uint32_t>(part.partCount);
    return Datagram(std::move(delta));
}

wire::VersionsHeard versionsToWire(const KnownTargetVersions &known)
{
    wire::VersionsHeard heard;
    for (const KnownTargetVersion &one : known.versions) {
        wire::VersionHeard version;
        version.model = one.targetVersion.model.text();
        version.version = static_cast<std::int64_t>(one.targetVersion.version);
        version.ageMs = ageToWire(one.age);
        heard.versions.push_back(version);
    }
    return heard;
}

Result<Datagram> versionsFromWire(const wire::VersionsHeard &heard)
{
    KnownTargetVersions known;
    for (const wire::VersionHeard &one : heard.versions) {
        if (one.version < 0 || one.ageMs < 0) {
            return fail(ErrorKind::ProtocolViolation,
                        "a datagram with target versions contains negative numbers");
        }
        known.versions.push_back({{ModelName(one.model), static_cast<std::uint64_t>(one.version)},
                                  std::chrono::milliseconds(one.ageMs)});
    }
    return Datagram(std::move(known));
}

wire::CrashesSeen crashesToWire(const CrashReport &report)
{
    wire::CrashesSeen seen;
    for (const ReportedCrash &crash : report.crashes) {
        wire::CrashSeen one;
        one.replica = crash.incarnation.replica.text();
        one.bornMs = static_cast<std::int64_t>(crash.incarnation.startedAtMs);
        for (const ReportedSuspect &suspect : crash.suspects) {
            wire::SuspectSeen part;
            part.part = suspect.part.text();
            part.ageMs = ageToWire(suspect.age);
            part.depth = static_cast<std::int32_t>(suspect.depth);
            part.wasSound = suspect.wasSound;
            part.cleared = suspect.isCleared;
            one.suspects.push_back(part);
        }
        seen.crashes.push_back(one);
    }
    return seen;
}

/** @returns whether a crash is within the limits and has no number below zero */
bool isValid(const wire::CrashSeen &crash)
{
    return crash.bornMs >= 0 && !crash.replica.empty()
            && crash.suspects.size() <= maxReportedSuspects
            && std::all_of(crash.suspects.begin(), crash.suspects.end(),
                           [](const wire::SuspectSeen &suspect) {
                               return !suspect.part.empty()
                                       && suspect.part.size() <= maxReportedPartId
                                       && suspect.ageMs >= 0 && suspect.depth >= 0;
                           });
}

Result<Datagram> crashesFromWire(const wire::CrashesSeen &seen)
{
    if (seen.crashes.size() > maxReportedCrashes
        || !std::all_of(seen.crashes.begin(), seen.crashes.end(), isValid)) {
        return fail(ErrorKind::ProtocolViolation,
                    "a datagram with crashes contains negative numbers, or too much");
    }
    CrashReport report;
    for (const wire::CrashSeen &one : seen.crashes) {
        ReportedCrash crash {{ReplicaId(one.replica), static_cast<std::uint64_t>(one.bornMs)}, {}};
        for (const wire::SuspectSeen &suspect : one.suspects) {
            crash.suspects.push_back(
                    {PromptPartId(suspect.part), std::chrono::milliseconds(suspect.ageMs),
                     static_cast<std::uint32_t>(suspect.depth), suspect.wasSound, suspect.cleared});
        }
        report.crashes.push_back(std::move(crash));
    }
    return Datagram(std::move(report));
}

std::vector<wire::ServiceDemand> demandsToWire(const std::vector<ServiceDemand> &demands)
{
    std::vector<wire::ServiceDemand> result;
    for (const ServiceDemand &demand : demands) {
        wire::ServiceDemand one;
        one.serviceName = demand.service.text();
        one.arrivals = static_cast<std::int32_t>(demand.arrivals);
        one.turnedAway = static_cast<std::int32_t>(demand.turnedAway);
        result.push_back(one);
    }
    return result;
}

Result<std::vector<ServiceDemand>> demandsFromWire(const std::vector<wire::ServiceDemand> &demands)
{
    std::vector<ServiceDemand> result;
    for (const wire::ServiceDemand &one : demands) {
        if (one.arrivals < 0 || one.turnedAway < 0) {
            return fail(ErrorKind::ProtocolViolation,
                        "a subscription contains a negative number of requests");
        }
        result.push_back({ServiceName(one.serviceName), static_cast<std::uint32_t>(one.arrivals),
                          static_cast<std::uint32_t>(one.turnedAway)});
    }
    return result;
}

wire::Datagram toWire(const Datagram &datagram)
{
    wire::Datagram frame;
    if (const auto *report = std::get_if<CrashReport>(&datagram)) {
        frame.__set_crashesSeen(crashesToWire(*report));
        return frame;
    }
    if (const auto *digest = std::get_if<CrashDigest>(&datagram)) {
        wire::CrashesKnown body;
        body.checksum = static_cast<std::int64_t>(digest->checksum);
        body.reply = digest->isReply;
        frame.__set_crashesKnown(body);
        return frame;
    }
    if (const auto *subscription = std::get_if<LoadSubscription>(&datagram)) {
        wire::LoadWanted body;
        body.instance = subscription->instance.text();
        body.zone = subscription->zone.text();
        body.known = static_cast<std::int64_t>(subscription->entriesChecksum);
        body.news = static_cast<std::int64_t>(subscription->operatorPosition.offset);
        setEra(body, subscription->operatorPosition.era);
        for (const KnownTargetVersion &known : subscription->targetVersions) {
            wire::NamedVersion one;
            one.model = known.targetVersion.model.text();
            one.version = static_cast<std::int64_t>(known.targetVersion.version);
            one.__set_ageMs(ageToWire(known.age));
            body.named.push_back(one);
        }
        if (subscription->operatorViewAge) {
            body.__set_viewAge(subscription->operatorViewAge->count());
        }
        body.__set_entriesWanted(subscription->wantsEntries);
        if (!subscription->demands.empty()) {
            body.__set_demands(demandsToWire(subscription->demands));
        }
        frame.__set_loadWanted(body);
        return frame;
    }
    if (const auto *delta = std::get_if<ReplicaListDelta>(&datagram)) {
        if (delta->partCount > 1) {
            frame.__set_listPart(listPartToWire(*delta));
        } else {
            frame.__set_listPassed(listToWire(*delta));
        }
        return frame;
    }
    if (const auto *known = std::get_if<KnownTargetVersions>(&datagram)) {
        frame.__set_versionsHeard(versionsToWire(*known));
        return frame;
    }
    if (const auto *seen = std::get_if<KnownEntries>(&datagram)) {
        wire::EntriesSeen body;
        for (const EntryLocation &site : seen->entries) {
            wire::EntrySite one;
            one.instance = site.instance.text();
            one.zone = site.zone.text();
            one.ip = site.ip;
            body.entries.push_back(one);
        }
        frame.__set_entriesSeen(body);
        return frame;
    }
    const auto &report = std::get<LoadReport>(datagram);
    wire::LoadSeen body;
    body.backend = report.backend.text();
    body.bornMs = static_cast<std::int64_t>(report.startedAtMs);
    body.weights = static_cast<std::int64_t>(report.weightsVersion);
    body.isOrderBusy = report.hasOrderInProgress;
    body.waiting = static_cast<std::int32_t>(report.waiting);
    body.running = static_cast<std::int32_t>(report.running);
    body.pace =
            static_cast<std::int32_t>(std::lround(std::min(report.slowdown, maxPace) * paceUnits));
    body.known = static_cast<std::int64_t>(report.entriesChecksum);
    body.news = static_cast<std::int64_t>(report.operatorPosition.offset);
    setEra(body, report.operatorPosition.era);
    if (report.operatorViewAge) {
        body.__set_viewAge(report.operatorViewAge->count());
    }
    if (report.credits) {
        body.__set_credits(static_cast<std::int32_t>(*report.credits));
    }
    if (report.coldLeft) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(*report.coldLeft);
        body.__set_remainingColdMs(left.count());
    }
    if (report.sentAt) {
        body.__set_sentAt(report.sentAt->count());
    }
    frame.__set_loadSeen(body);
    return frame;
}

} // namespace

std::string encodeDatagram(const Datagram &datagram)
{
    const wire::Datagram frame = toWire(datagram);
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    frame.write(&protocol);
    return buffer->getBufferAsString();
}

Result<Datagram> decodeDatagram(std::string_view bytes)
{
    const auto limits = std::make_shared<TConfiguration>(
            static_cast<int>(maxDatagramBytes), static_cast<int>(maxDatagramBytes), maxNesting);
    const auto buffer = std::make_shared<TMemoryBuffer>(limits);
    buffer->resetBuffer(reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data())),
                        static_cast<std::uint32_t>(bytes.size()));
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    wire::Datagram frame;
    try {
        frame.read(&protocol);
    } catch (const std::exception &e) {
        return fail(ErrorKind::ProtocolViolation, std::string("malformed datagram: ") + e.what());
    }
    if (frame.__isset.loadWanted) {
        LoadSubscription subscription {InstanceId(frame.loadWanted.instance),
                                       ZoneName(frame.loadWanted.zone),
                                       static_cast<std::uint64_t>(frame.loadWanted.known),
                                       positionOf(frame.loadWanted, frame.loadWanted.news),
                                       {},
                                       std::nullopt};
        subscription.wantsEntries =
                !frame.loadWanted.__isset.entriesWanted || frame.loadWanted.entriesWanted;
        if (frame.loadWanted.__isset.era && frame.loadWanted.era < 0) {
            return fail(ErrorKind::ProtocolViolation, "a subscription contains a negative era");
        }
        if (frame.loadWanted.__isset.viewAge) {
            if (frame.loadWanted.viewAge < 0) {
                return fail(ErrorKind::ProtocolViolation, "a subscription contains a negative age");
            }
            subscription.operatorViewAge = Duration(frame.loadWanted.viewAge);
        }
        for (const wire::NamedVersion &named : frame.loadWanted.named) {
            if (named.version < 0 || named.ageMs < 0) {
                return fail(ErrorKind::ProtocolViolation,
                            "a subscription contains a negative target version or age");
            }
            const Duration age = named.__isset.ageMs
                    ? Duration(std::chrono::milliseconds(named.ageMs))
                    : Duration(maxKnownVersionAge);
            subscription.targetVersions.push_back(
                    {{ModelName(named.model), static_cast<std::uint64_t>(named.version)}, age});
        }
        BOOST_LEAF_ASSIGN(subscription.demands, demandsFromWire(frame.loadWanted.demands));
        return Datagram(std::move(subscription));
    }
    if (frame.__isset.listPassed) {
        if (hasNegativeNumbers(frame.listPassed)) {
            return fail(ErrorKind::ProtocolViolation,
                        "a datagram with list changes contains negative numbers");
        }
        return Datagram(listFromWire(frame.listPassed));
    }
    if (frame.__isset.listPart) {
        return listPartFromWire(frame.listPart);
    }
    if (frame.__isset.entriesSeen) {
        KnownEntries seen;
        for (const wire::EntrySite &site : frame.entriesSeen.entries) {
            seen.entries.push_back({InstanceId(site.instance), ZoneName(site.zone), site.ip});
        }
        return Datagram(std::move(seen));
    }
    if (frame.__isset.versionsHeard) {
        return versionsFromWire(frame.versionsHeard);
    }
    if (frame.__isset.crashesSeen) {
        return crashesFromWire(frame.crashesSeen);
    }
    if (frame.__isset.crashesKnown) {
        return Datagram(CrashDigest {static_cast<std::uint64_t>(frame.crashesKnown.checksum),
                                     frame.crashesKnown.reply});
    }
    const wire::LoadSeen &seen = frame.loadSeen;
    const bool isNegative = seen.bornMs < 0 || seen.weights < 0 || seen.waiting < 0
            || seen.running < 0 || seen.pace < 0 || (seen.__isset.viewAge && seen.viewAge < 0)
            || (seen.__isset.credits && seen.credits < 0)
            || (seen.__isset.remainingColdMs && seen.remainingColdMs < 0)
            || (seen.__isset.sentAt && seen.sentAt < 0) || (seen.__isset.era && seen.era < 0);
    if (!frame.__isset.loadSeen || isNegative) {
        return fail(ErrorKind::ProtocolViolation,
                    "a datagram has unknown content or negative numbers");
    }
    LoadReport report;
    report.backend = Address(seen.backend);
    report.startedAtMs = static_cast<std::uint64_t>(seen.bornMs);
    report.weightsVersion = static_cast<std::uint64_t>(seen.weights);
    report.hasOrderInProgress = seen.isOrderBusy;
    report.waiting = static_cast<std::uint32_t>(seen.waiting);
    report.running = static_cast<std::uint32_t>(seen.running);
    report.slowdown = seen.pace / paceUnits;
    report.entriesChecksum = static_cast<std::uint64_t>(seen.known);
    report.operatorPosition = positionOf(seen, seen.news);
    if (seen.__isset.viewAge) {
        report.operatorViewAge = std::min<Duration>(Duration(seen.viewAge), maxKnownVersionAge);
    }
    if (seen.__isset.credits) {
        report.credits = static_cast<std::uint32_t>(seen.credits);
    }
    if (seen.__isset.remainingColdMs) {
        report.coldLeft = std::chrono::milliseconds(
                std::min<std::int64_t>(seen.remainingColdMs, maxColdTime.count()));
    }
    if (seen.__isset.sentAt) {
        report.sentAt = Duration(seen.sentAt);
    }
    return Datagram(std::move(report));
}

} // namespace greengageseam
