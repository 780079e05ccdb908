/**
 * The queries of TransferPlanner's state, and TransferOptions.
 */
#include "core/weights/transferplanner.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr std::size_t peersPerOtherZone = 2;

} // namespace

TransferOptions TransferOptions::withLinkBytesPerSecond(std::uint64_t value) const
{
    TransferOptions next = *this;
    next.linkBytesPerSecond = value;
    return next;
}

TransferOptions TransferOptions::withZoneLinkBytesPerSecond(std::uint64_t value) const
{
    TransferOptions next = *this;
    next.zoneLinkBytesPerSecond = value;
    return next;
}

TransferOptions TransferOptions::withMemoryBytes(std::uint64_t value) const
{
    TransferOptions next = *this;
    next.memoryBytes = value;
    return next;
}

std::set<Digest> TransferPlanner::completeVersions() const
{
    std::set<Digest> digests;
    for (const auto &[digest, version] : m_versions) {
        if (version.isWanted && version.manifest && version.missingChunks == 0) {
            digests.insert(digest);
        }
    }
    return digests;
}

bool TransferPlanner::isComplete(const Digest &manifest) const
{
    const auto it = m_versions.find(manifest);
    return it != m_versions.end() && it->second.manifest && it->second.missingChunks == 0;
}

bool TransferPlanner::isDone() const
{
    return std::all_of(m_versions.begin(), m_versions.end(), [this](const auto &entry) {
        return !entry.second.isWanted || isComplete(entry.first);
    });
}

std::vector<Digest> TransferPlanner::offeredVersions() const
{
    std::vector<Digest> digests;
    for (const auto &[digest, version] : m_versions) {
        if (version.manifest) {
            digests.push_back(digest);
        }
    }
    return digests;
}

ChunkBits TransferPlanner::storedChunks(const Digest &manifest) const
{
    const auto it = m_versions.find(manifest);
    if (it == m_versions.end()) {
        return {};
    }
    std::vector<bool> bits;
    for (const ChunkPhase phase : it->second.chunkPhases) {
        bits.push_back(phase == ChunkPhase::Stored);
    }
    return ChunkBits(bits);
}

const Manifest *TransferPlanner::manifest(const Digest &digest) const
{
    const auto it = m_versions.find(digest);
    return it == m_versions.end() || !it->second.manifest ? nullptr : &*it->second.manifest;
}

std::vector<WeightPeer> TransferPlanner::peersToLink() const
{
    std::set<InstanceId> members;
    std::set<ZoneName> zones;
    for (const auto &[digest, version] : m_versions) {
        if (version.isWanted && (!version.manifest || version.missingChunks > 0)) {
            members.insert(version.placement.members.begin(), version.placement.members.end());
            zones.insert(version.placement.zones.begin(), version.placement.zones.end());
        }
    }
    std::map<ZoneName, std::vector<InstanceId>> candidates;
    for (const auto &[instance, peer] : m_peers) {
        const bool isSameZone = peer.info.zone == m_options.zone;
        if (isSameZone ? members.contains(instance) : zones.contains(peer.info.zone)) {
            candidates[peer.info.zone].push_back(instance);
        }
    }
    std::vector<WeightPeer> peers;
    for (const auto &[zone, instances] : candidates) {
        const std::size_t maxPeers =
                zone == m_options.zone ? m_policy.sameZonePeers : peersPerOtherZone;
        for (const InstanceId &instance : selectByRendezvous(m_options.self, instances, maxPeers)) {
            peers.push_back(m_peers.at(instance).info);
        }
    }
    return peers;
}

} // namespace greengageseam
