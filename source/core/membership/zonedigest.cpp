#include "core/membership/zonedigest.h"

#include "core/common/hashing.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr std::uint64_t originUnitBytes = 64 * 1024;

std::uint32_t tagOf(const Heartbeat &heartbeat)
{
    const auto start = static_cast<std::uint64_t>(heartbeat.startedAt.time_since_epoch().count());
    return static_cast<std::uint32_t>(checksumOf(heartbeat.instance.text(), start));
}

std::uint32_t configIndexOf(std::vector<ConfigVersion> &configs, const Heartbeat &heartbeat)
{
    const ConfigVersion config {heartbeat.appliedConfig, heartbeat.tableDigest};
    const auto it = std::find(configs.begin(), configs.end(), config);
    const auto position = static_cast<std::uint32_t>(it - configs.begin());
    if (it == configs.end()) {
        configs.push_back(config);
    }
    return position;
}

void addLoad(ZoneCapacity &capacity, const Heartbeat &heartbeat)
{
    ++capacity.usable;
    capacity.inFlight += heartbeat.inFlight;
    capacity.queued += heartbeat.queued;
}

} // namespace

ZoneDigest makeZoneDigest(MemberChanges changes, const std::vector<Heartbeat> &heartbeats,
                          const std::map<InstanceId, DrainOrder> &drainOrders)
{
    ZoneDigest digest;
    digest.changes = std::move(changes);
    for (const Heartbeat &heartbeat : heartbeats) {
        const std::uint32_t config = configIndexOf(digest.configs, heartbeat);
        digest.heartbeatUpdates.push_back(
                {tagOf(heartbeat), heartbeat.sequence, heartbeat.inFlight, heartbeat.queued, config,
                 static_cast<std::uint32_t>(heartbeat.originBytes / originUnitBytes),
                 heartbeat.clock});
    }
    for (const auto &[instance, order] : drainOrders) {
        digest.drainOrders.push_back(order);
    }
    return digest;
}

std::vector<Heartbeat> expandHeartbeats(const ZoneDigest &digest, const RemoteMembers &view)
{
    std::map<std::uint32_t, const Heartbeat *> byTag;
    for (const auto &[instance, state] : view.members()) {
        byTag.emplace(tagOf(state), &state);
    }
    std::vector<Heartbeat> heartbeats;
    for (const HeartbeatUpdate &update : digest.heartbeatUpdates) {
        const auto it = byTag.find(update.tag);
        if (it == byTag.end() || update.configIndex >= digest.configs.size()) {
            continue;
        }
        Heartbeat heartbeat = *it->second;
        heartbeat.sequence = update.sequence;
        heartbeat.inFlight = update.inFlight;
        heartbeat.queued = update.queued;
        heartbeat.appliedConfig = digest.configs[update.configIndex].applied;
        heartbeat.tableDigest = digest.configs[update.configIndex].table;
        heartbeat.originBytes = update.originUnits * originUnitBytes;
        heartbeat.clock = update.clock;
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
        for (const Digest &manifest : member.lastHeartbeat.serving) {
            addLoad(versions[manifest], member.lastHeartbeat);
        }
        if (member.lastHeartbeat.kind == BackendKind::Service) {
            addLoad(services[member.lastHeartbeat.service], member.lastHeartbeat);
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

bool haveEqualUsableCounts(const ZoneSummary &left, const ZoneSummary &right)
{
    return std::equal(left.capacities.begin(), left.capacities.end(), right.capacities.begin(),
                      right.capacities.end(), [](const auto &one, const auto &other) {
                          return one.manifest == other.manifest && one.service == other.service
                                  && one.usable == other.usable;
                      });
}

ZoneSummary expandManifestPrefixes(const ZoneSummary &summary, const std::set<Digest> &known)
{
    ZoneSummary expanded {summary.zone, summary.createdAt, {}};
    for (ZoneCapacity capacity : summary.capacities) {
        if (!capacity.manifest.isEmpty()) {
            const auto it = known.lower_bound(capacity.manifest);
            if (it == known.end() || !it->text().starts_with(capacity.manifest.text())) {
                continue;
            }
            capacity.manifest = *it;
        }
        expanded.capacities.push_back(capacity);
    }
    return expanded;
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
