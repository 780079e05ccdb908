#include "protocol/membershipcodec.h"

namespace greengageseam {

std::int64_t toWire(Offset offset)
{
    return static_cast<std::int64_t>(offset.value);
}

Offset toOffset(std::int64_t value)
{
    return Offset {static_cast<std::uint64_t>(value)};
}

std::string packDigest(const Digest &digest)
{
    std::string packed;
    const std::string_view digits = digest.text();
    const auto nibble = [](char c) {
        return static_cast<unsigned>(c <= '9' ? c - '0' : c - 'a' + 10);
    };
    for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
        packed.push_back(static_cast<char>(nibble(digits[i]) << 4U | nibble(digits[i + 1])));
    }
    return packed;
}

Digest unpackDigest(const std::string &packed)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const char c : packed) {
        const auto byte = static_cast<unsigned char>(c);
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0x0fU]);
    }
    return Digest(std::move(text));
}

std::vector<std::string> packDigests(const std::vector<Digest> &digests)
{
    std::vector<std::string> packed;
    packed.reserve(digests.size());
    for (const Digest &digest : digests) {
        packed.push_back(packDigest(digest));
    }
    return packed;
}

std::vector<Digest> unpackDigests(const std::vector<std::string> &packed)
{
    std::vector<Digest> digests;
    digests.reserve(packed.size());
    for (const std::string &bytes : packed) {
        digests.push_back(unpackDigest(bytes));
    }
    return digests;
}

namespace {

/**
 * Number of bytes of a manifest's digest in a summary. A prefix suffices there, because it only has
 * to distinguish the manifests in the table.
 */
constexpr std::size_t summaryDigestBytes = 8;

template <typename Value>
std::int32_t toCount(Value value)
{
    return static_cast<std::int32_t>(value);
}

template <typename Value>
std::uint32_t fromCount(Value value)
{
    return static_cast<std::uint32_t>(value);
}

wire::MemberPulse toWire(const HeartbeatUpdate &pulse)
{
    wire::MemberPulse wireValue;
    wireValue.tag = toCount(pulse.tag);
    wireValue.sequence = static_cast<std::int64_t>(pulse.sequence);
    wireValue.inFlight = toCount(pulse.inFlight);
    wireValue.__isset.inFlight = pulse.inFlight != 0;
    wireValue.queued = toCount(pulse.queued);
    wireValue.__isset.queued = pulse.queued != 0;
    wireValue.configMark = toCount(pulse.configIndex);
    wireValue.__isset.configMark = pulse.configIndex != 0;
    wireValue.originUnits = toCount(pulse.originUnits);
    wireValue.__isset.originUnits = pulse.originUnits != 0;
    wireValue.clock = pulse.clock.time_since_epoch().count();
    return wireValue;
}

wire::ZoneCapacity toWire(const ZoneCapacity &capacity)
{
    wire::ZoneCapacity wireValue;
    wireValue.manifest = packDigest(capacity.manifest).substr(0, summaryDigestBytes);
    wireValue.__isset.manifest = !capacity.manifest.isEmpty();
    wireValue.serviceName = capacity.service.text();
    wireValue.__isset.serviceName = !capacity.service.isEmpty();
    wireValue.usable = toCount(capacity.usable);
    wireValue.inFlight = toCount(capacity.inFlight);
    wireValue.__isset.inFlight = capacity.inFlight != 0;
    wireValue.queued = toCount(capacity.queued);
    wireValue.__isset.queued = capacity.queued != 0;
    return wireValue;
}

} // namespace

wire::HeartbeatBody toWire(const Heartbeat &heartbeat)
{
    wire::HeartbeatBody body;
    body.instance = heartbeat.instance.text();
    body.zone = heartbeat.zone.text();
    body.peerAddress = heartbeat.peerAddress.text();
    body.kind = static_cast<std::int32_t>(heartbeat.kind);
    body.serviceName = heartbeat.service.text();
    body.incarnation = toWire(heartbeat.incarnation);
    body.sequence = static_cast<std::int64_t>(heartbeat.sequence);
    body.startedAt = heartbeat.startedAt.time_since_epoch().count();
    body.draining = heartbeat.isDraining;
    body.serving = packDigests(heartbeat.serving);
    body.holding = packDigests(heartbeat.stored);
    body.slots = static_cast<std::int32_t>(heartbeat.slots);
    body.inFlight = static_cast<std::int32_t>(heartbeat.inFlight);
    body.queued = static_cast<std::int32_t>(heartbeat.queued);
    body.appliedConfig = toWire(heartbeat.appliedConfig);
    body.tableDigest = packDigest(heartbeat.tableDigest);
    body.originBytes = static_cast<std::int64_t>(heartbeat.originBytes);
    body.trouble = heartbeat.problem;
    body.clock = heartbeat.clock.time_since_epoch().count();
    return body;
}

Heartbeat fromWire(const wire::HeartbeatBody &body)
{
    Heartbeat heartbeat;
    heartbeat.instance = InstanceId(body.instance);
    heartbeat.zone = ZoneName(body.zone);
    heartbeat.peerAddress = Address(body.peerAddress);
    heartbeat.kind = body.kind == 0 ? BackendKind::Engine : BackendKind::Service;
    heartbeat.service = ServiceName(body.serviceName);
    heartbeat.incarnation = toOffset(body.incarnation);
    heartbeat.sequence = static_cast<std::uint64_t>(body.sequence);
    heartbeat.startedAt = WallTime(Duration(body.startedAt));
    heartbeat.isDraining = body.draining;
    heartbeat.serving = unpackDigests(body.serving);
    heartbeat.stored = unpackDigests(body.holding);
    heartbeat.slots = static_cast<std::uint32_t>(body.slots);
    heartbeat.inFlight = static_cast<std::uint32_t>(body.inFlight);
    heartbeat.queued = static_cast<std::uint32_t>(body.queued);
    heartbeat.appliedConfig = toOffset(body.appliedConfig);
    heartbeat.tableDigest = unpackDigest(body.tableDigest);
    heartbeat.originBytes = static_cast<std::uint64_t>(body.originBytes);
    heartbeat.problem = body.trouble;
    heartbeat.clock = Instant(Duration(body.clock));
    return heartbeat;
}

wire::MemberChanges toWire(const MemberChanges &changes)
{
    wire::MemberChanges wireValue;
    wireValue.epoch = static_cast<std::int64_t>(changes.epoch);
    wireValue.fromRevision = static_cast<std::int64_t>(changes.fromRevision);
    wireValue.toRevision = static_cast<std::int64_t>(changes.toRevision);
    for (const Heartbeat &state : changes.changed) {
        wireValue.changed.push_back(toWire(state));
    }
    wireValue.__isset.changed = !wireValue.changed.empty();
    for (const InstanceId &instance : changes.removed) {
        wireValue.gone.push_back(instance.text());
    }
    wireValue.__isset.gone = !wireValue.gone.empty();
    return wireValue;
}

wire::ZoneDigest toWire(const ZoneDigest &digest)
{
    wire::ZoneDigest wireValue;
    wireValue.changes = toWire(digest.changes);
    for (const ConfigVersion &mark : digest.configs) {
        wire::ConfigMark &added = wireValue.configs.emplace_back();
        added.applied = toWire(mark.applied);
        added.tableDigest = packDigest(mark.table);
    }
    for (const HeartbeatUpdate &pulse : digest.heartbeatUpdates) {
        wireValue.pulses.push_back(toWire(pulse));
    }
    for (const DrainOrder &order : digest.drainOrders) {
        wire::DrainOrder &added = wireValue.drains.emplace_back();
        added.instance = order.instance.text();
        added.startedAt = order.startedAt.time_since_epoch().count();
    }
    wireValue.__isset.drains = !wireValue.drains.empty();
    for (const LeavingInstance &mark : digest.leaving) {
        wire::DrainOrder &added = wireValue.leaving.emplace_back();
        added.instance = mark.instance.text();
        added.startedAt = mark.since.time_since_epoch().count();
    }
    wireValue.__isset.leaving = !wireValue.leaving.empty();
    return wireValue;
}

wire::ZoneSummary toWire(const ZoneSummary &summary)
{
    wire::ZoneSummary wireValue;
    wireValue.zone = summary.zone.text();
    wireValue.madeAt = summary.createdAt.time_since_epoch().count();
    for (const ZoneCapacity &capacity : summary.capacities) {
        wireValue.capacities.push_back(toWire(capacity));
    }
    return wireValue;
}

MemberChanges fromWire(const wire::MemberChanges &changes)
{
    MemberChanges value;
    value.epoch = static_cast<std::uint64_t>(changes.epoch);
    value.fromRevision = static_cast<std::uint64_t>(changes.fromRevision);
    value.toRevision = static_cast<std::uint64_t>(changes.toRevision);
    for (const wire::HeartbeatBody &state : changes.changed) {
        value.changed.push_back(fromWire(state));
    }
    for (const std::string &instance : changes.gone) {
        value.removed.emplace_back(instance);
    }
    return value;
}

ZoneDigest fromWire(const wire::ZoneDigest &digest)
{
    ZoneDigest value;
    value.changes = fromWire(digest.changes);
    for (const wire::ConfigMark &mark : digest.configs) {
        value.configs.push_back({toOffset(mark.applied), unpackDigest(mark.tableDigest)});
    }
    for (const wire::MemberPulse &pulse : digest.pulses) {
        value.heartbeatUpdates.push_back(
                {fromCount(pulse.tag), static_cast<std::uint64_t>(pulse.sequence),
                 fromCount(pulse.inFlight), fromCount(pulse.queued), fromCount(pulse.configMark),
                 fromCount(pulse.originUnits), Instant(Duration(pulse.clock))});
    }
    for (const wire::DrainOrder &order : digest.drains) {
        value.drainOrders.push_back(
                {InstanceId(order.instance), WallTime(Duration(order.startedAt))});
    }
    for (const wire::DrainOrder &mark : digest.leaving) {
        value.leaving.push_back({InstanceId(mark.instance), WallTime(Duration(mark.startedAt))});
    }
    return value;
}

ZoneSummary fromWire(const wire::ZoneSummary &summary)
{
    ZoneSummary value {ZoneName(summary.zone), WallTime(Duration(summary.madeAt)), {}};
    for (const wire::ZoneCapacity &capacity : summary.capacities) {
        value.capacities.push_back({unpackDigest(capacity.manifest),
                                    ServiceName(capacity.serviceName), fromCount(capacity.usable),
                                    fromCount(capacity.inFlight), fromCount(capacity.queued)});
    }
    return value;
}

} // namespace greengageseam
