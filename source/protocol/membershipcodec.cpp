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

wire::MemberPulse toWire(const MemberPulse &pulse)
{
    wire::MemberPulse wired;
    wired.tag = toCount(pulse.tag);
    wired.sequence = static_cast<std::int64_t>(pulse.sequence);
    wired.inFlight = toCount(pulse.inFlight);
    wired.__isset.inFlight = pulse.inFlight != 0;
    wired.queued = toCount(pulse.queued);
    wired.__isset.queued = pulse.queued != 0;
    wired.configMark = toCount(pulse.configMark);
    wired.__isset.configMark = pulse.configMark != 0;
    wired.originUnits = toCount(pulse.originUnits);
    wired.__isset.originUnits = pulse.originUnits != 0;
    wired.clock = pulse.clock.time_since_epoch().count();
    return wired;
}

wire::ZoneCapacity toWire(const ZoneCapacity &capacity)
{
    wire::ZoneCapacity wired;
    wired.manifest = packDigest(capacity.manifest).substr(0, summaryDigestBytes);
    wired.__isset.manifest = !capacity.manifest.isEmpty();
    wired.serviceName = capacity.service.text();
    wired.__isset.serviceName = !capacity.service.isEmpty();
    wired.usable = toCount(capacity.usable);
    wired.inFlight = toCount(capacity.inFlight);
    wired.__isset.inFlight = capacity.inFlight != 0;
    wired.queued = toCount(capacity.queued);
    wired.__isset.queued = capacity.queued != 0;
    return wired;
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
    body.holding = packDigests(heartbeat.holding);
    body.slots = static_cast<std::int32_t>(heartbeat.slots);
    body.inFlight = static_cast<std::int32_t>(heartbeat.inFlight);
    body.queued = static_cast<std::int32_t>(heartbeat.queued);
    body.appliedConfig = toWire(heartbeat.appliedConfig);
    body.tableDigest = packDigest(heartbeat.tableDigest);
    body.originBytes = static_cast<std::int64_t>(heartbeat.originBytes);
    body.trouble = heartbeat.trouble;
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
    heartbeat.holding = unpackDigests(body.holding);
    heartbeat.slots = static_cast<std::uint32_t>(body.slots);
    heartbeat.inFlight = static_cast<std::uint32_t>(body.inFlight);
    heartbeat.queued = static_cast<std::uint32_t>(body.queued);
    heartbeat.appliedConfig = toOffset(body.appliedConfig);
    heartbeat.tableDigest = unpackDigest(body.tableDigest);
    heartbeat.originBytes = static_cast<std::uint64_t>(body.originBytes);
    heartbeat.trouble = body.trouble;
    heartbeat.clock = Instant(Duration(body.clock));
    return heartbeat;
}

wire::MemberChanges toWire(const MemberChanges &changes)
{
    wire::MemberChanges wired;
    wired.epoch = static_cast<std::int64_t>(changes.epoch);
    wired.fromRevision = static_cast<std::int64_t>(changes.from);
    wired.toRevision = static_cast<std::int64_t>(changes.to);
    for (const Heartbeat &state : changes.changed) {
        wired.changed.push_back(toWire(state));
    }
    wired.__isset.changed = !wired.changed.empty();
    for (const InstanceId &instance : changes.gone) {
        wired.gone.push_back(instance.text());
    }
    wired.__isset.gone = !wired.gone.empty();
    return wired;
}

wire::ZoneDigest toWire(const ZoneDigest &digest)
{
    wire::ZoneDigest wired;
    wired.changes = toWire(digest.changes);
    for (const ConfigMark &mark : digest.configs) {
        wire::ConfigMark &added = wired.configs.emplace_back();
        added.applied = toWire(mark.applied);
        added.tableDigest = packDigest(mark.table);
    }
    for (const MemberPulse &pulse : digest.pulses) {
        wired.pulses.push_back(toWire(pulse));
    }
    for (const DrainOrder &order : digest.drains) {
        wire::DrainOrder &added = wired.drains.emplace_back();
        added.instance = order.instance.text();
        added.startedAt = order.startedAt.time_since_epoch().count();
    }
    wired.__isset.drains = !wired.drains.empty();
    for (const LeavingMark &mark : digest.leaving) {
        wire::DrainOrder &added = wired.leaving.emplace_back();
        added.instance = mark.instance.text();
        added.startedAt = mark.since.time_since_epoch().count();
    }
    wired.__isset.leaving = !wired.leaving.empty();
    return wired;
}

wire::ZoneSummary toWire(const ZoneSummary &summary)
{
    wire::ZoneSummary wired;
    wired.zone = summary.zone.text();
    wired.madeAt = summary.madeAt.time_since_epoch().count();
    for (const ZoneCapacity &capacity : summary.capacities) {
        wired.capacities.push_back(toWire(capacity));
    }
    return wired;
}

MemberChanges fromWire(const wire::MemberChanges &changes)
{
    MemberChanges value;
    value.epoch = static_cast<std::uint64_t>(changes.epoch);
    value.from = static_cast<std::uint64_t>(changes.fromRevision);
    value.to = static_cast<std::uint64_t>(changes.toRevision);
    for (const wire::HeartbeatBody &state : changes.changed) {
        value.changed.push_back(fromWire(state));
    }
    for (const std::string &instance : changes.gone) {
        value.gone.emplace_back(instance);
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
        value.pulses.push_back({fromCount(pulse.tag), static_cast<std::uint64_t>(pulse.sequence),
                                fromCount(pulse.inFlight), fromCount(pulse.queued),
                                fromCount(pulse.configMark), fromCount(pulse.originUnits),
                                Instant(Duration(pulse.clock))});
    }
    for (const wire::DrainOrder &order : digest.drains) {
        value.drains.push_back({InstanceId(order.instance), WallTime(Duration(order.startedAt))});
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
