#include "core/membership/zonedigest.h"

#include "core/common/hashing.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr std::uint64_t originUnit = 64 * 1024;

std::uint32_t tagOf(const Heartbeat &heartbeat)
{
    const auto start = static_cast<std::uint64_t>(heartbeat.startedAt.time_since_epoch().count());
    return static_cast<std::uint32_t>(checksumOf(heartbeat.instance.text(), start));
}

std::uint32_t markFor(std::vector<ConfigMark> &marks, const Heartbeat &heartbeat)
{
    const ConfigMark mark {heartbeat.appliedConfig, heartbeat.tableDigest};
    const auto it = std::find(marks.begin(), marks.end(), mark);
    const auto position = static_cast<std::uint32_t>(it - marks.begin());
    if (it == marks.end()) {
        marks.push_back(mark);
    }
    return position;
}

void add(ZoneCapacity &capacity, const Heartbeat &heartbeat)
{
    ++capacity.usable;
    capacity.inFlight += heartbeat.inFlight;
    capacity.queued += heartbeat.queued;
}

} // namespace

ZoneDigest makeZoneDigest(MemberChanges changes, const std::vector<Heartbeat> &heard,
                          const std::map<InstanceId, DrainOrder> &drains)
{
    ZoneDigest digest;
    digest.changes = std::move(changes);
    for (const Heartbeat &heartbeat : heard) {
        const std::uint32_t mark = markFor(digest.configs, heartbeat);
        digest.pulses.push_back(
                {tagOf(heartbeat), heartbeat.sequence, heartbeat.inFlight, heartbeat.queued, mark,
                 static_cast<std::uint32_t>(heartbeat.originBytes / originUnit), heartbeat.clock});
    }
    for (const auto &[instance, order] : drains) {
        digest.drains.push_back(order);
    }
    return digest;
}

std::vector<Heartbeat> heartbeatsOf(const ZoneDigest &digest, const ChangeView &view)
{
    std::map<std::uint32_t, const Heartbeat *> byTag;
    for (const auto &[instance, state] : view.members()) {
        byTag.emplace(tagOf(state), &state);
    }
    std::vector<Heartbeat> heartbeats;
    for (const MemberPulse &pulse : digest.pulses) {
        const auto it = byTag.find(pulse.tag);
        if (it == byTag.end() || pulse.configMark >= digest.configs.size()) {
            continue;
        }
        Heartbeat heartbeat = *it->second;
        heartbeat.sequence = pulse.sequence;
        heartbeat.inFlight = pulse.inFlight;
        heartbeat.queued = pulse.queued;
        heartbeat.appliedConfig = digest.configs[pulse.configMark].applied;
        heartbeat.tableDigest = digest.configs[pulse.configMark].table;
        heartbeat.originBytes = pulse.originUnits * originUnit;
        heartbeat.clock = pulse.clock;
        heartbeats.push_back(std::move(heartbeat));
    }
    return heartbeats;
}

ZoneSummary summarize(const ZoneName &zone, const std::map<InstanceId, Member> &members,
                      WallTime now)
{
    std::map<Digest, ZoneCapacity> versions;
    std::map<ServiceName, ZoneCapacity> services;
    for (const auto &[instance, member] : members) {
        if (member.phase != MemberPhase::Usable) {
            continue;
        }
        for (const Digest &manifest : member.last.serving) {
            add(versions[manifest], member.last);
        }
        if (member.last.kind == BackendKind::Service) {
            add(services[member.last.service], member.last);
        }
    }
    ZoneSummary summary {zone, now, {}};
    for (auto &[manifest, capacity] : versions) {
        capacity.manifest = manifest;
        summary.capacities.push_back(capacity);
    }
    for (auto &[service, capacity] : services) {
        capacity.service = service;
        summary.capacities.push_back(capacity);
    }
    std::stable_sort(
            summary.capacities.begin(), summary.capacities.end(),
            [](const auto &left, const auto &right) { return left.usable > right.usable; });
    summary.capacities.resize(std::min(summary.capacities.size(), maxSummaryRows));
    return summary;
}

bool countTheSame(const ZoneSummary &left, const ZoneSummary &right)
{
    return std::equal(left.capacities.begin(), left.capacities.end(), right.capacities.begin(),
                      right.capacities.end(), [](const auto &one, const auto &other) {
                          return one.manifest == other.manifest && one.service == other.service
                                  && one.usable == other.usable;
                      });
}

ZoneSummary withWholeDigests(const ZoneSummary &summary, const std::set<Digest> &known)
{
    ZoneSummary whole {summary.zone, summary.madeAt, {}};
    for (ZoneCapacity capacity : summary.capacities) {
        if (!capacity.manifest.isEmpty()) {
            const auto it = known.lower_bound(capacity.manifest);
            if (it == known.end() || !it->text().starts_with(capacity.manifest.text())) {
                continue;
            }
            capacity.manifest = *it;
        }
        whole.capacities.push_back(capacity);
    }
    return whole;
}

InstanceId summarySender(const ZoneName &to, const std::vector<InstanceId> &entries)
{
    const auto best = std::max_element(entries.begin(), entries.end(),
                                       [&](const InstanceId &left, const InstanceId &right) {
                                           return rendezvousScore(to.text(), left.text())
                                                   < rendezvousScore(to.text(), right.text());
                                       });
    return best == entries.end() ? InstanceId() : *best;
}

} // namespace greengageseam
