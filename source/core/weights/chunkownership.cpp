#include "core/weights/chunkownership.h"

#include "core/common/hashing.h"

#include <algorithm>
#include <map>

namespace greengageseam {

namespace {

template <typename Names>
auto highestScored(const Digest &chunk, const Names &names,
                   const typename Names::value_type &excluded)
{
    typename Names::value_type best;
    std::uint64_t bestScore = 0;
    for (const auto &name : names) {
        const std::uint64_t score = rendezvousScore(chunk.text(), name.text());
        if (name != excluded && (best.isEmpty() || score > bestScore)) {
            best = name;
            bestScore = score;
        }
    }
    return best;
}

std::uint32_t rankOf(const Digest &chunk, const std::vector<InstanceId> &members,
                     const InstanceId &self, std::map<InstanceId, std::size_t> &chunksPerOwner)
{
    const std::uint64_t ownScore = rendezvousScore(chunk.text(), self.text());
    const InstanceId owner = highestScored(chunk, members, InstanceId());
    ++chunksPerOwner[owner];
    const auto higherScored =
            std::count_if(members.begin(), members.end(), [&](const InstanceId &member) {
                return member != self && rendezvousScore(chunk.text(), member.text()) > ownScore;
            });
    const bool isMember = std::find(members.begin(), members.end(), self) != members.end();
    const std::size_t nonMemberOffset = isMember ? 0 : members.size();
    return static_cast<std::uint32_t>(static_cast<std::size_t>(higherScored) + nonMemberOffset);
}

} // namespace

ChunkAssignments assignChunks(const Manifest &manifest, const VersionPlacement &placement,
                              const InstanceId &self, const ZoneName &storeZone)
{
    ChunkAssignments assignments;
    std::map<InstanceId, std::size_t> chunksPerOwner;
    const bool hasStoreZone = std::find(placement.zones.begin(), placement.zones.end(), storeZone)
            != placement.zones.end();
    for (const Chunk &chunk : manifest.chunks()) {
        ChunkAssignment assignment;
        assignment.rank = rankOf(chunk.digest, placement.members, self, chunksPerOwner);
        assignment.seedZone =
                hasStoreZone ? storeZone : highestScored(chunk.digest, placement.zones, ZoneName());
        assignment.relayZone = highestScored(chunk.digest, placement.zones, assignment.seedZone);
        assignments.chunks.push_back(std::move(assignment));
    }
    assignments.ownedChunks = chunksPerOwner[self];
    for (const auto &[member, chunkCount] : chunksPerOwner) {
        assignments.maxOwnedChunks = std::max(assignments.maxOwnedChunks, chunkCount);
    }
    return assignments;
}

bool mayReadOrigin(const ChunkAssignment &assignment, const ZoneName &zone,
                   const FailoverState &state)
{
    if (zone == assignment.seedZone) {
        const bool hasRelayCopy = !assignment.relayZone.isEmpty() && state.originCopies > 1;
        const std::uint32_t copies = state.originCopies - (hasRelayCopy ? 1 : 0);
        return assignment.rank < copies + state.skippedOwners;
    }
    const bool isRelayCopy =
            zone == assignment.relayZone && state.originCopies > 1 && assignment.rank == 0;
    return isRelayCopy || assignment.rank + 1 < state.skippedOwners;
}

bool mayReadZone(const ChunkAssignment &assignment, const ZoneName &zone,
                 const ZoneName &sourceZone, const FailoverState &state)
{
    if (state.skippedOwners > 0) {
        return assignment.rank <= state.skippedOwners;
    }
    if (assignment.rank > 0 || zone == assignment.seedZone) {
        return false;
    }
    return sourceZone
            == (zone == assignment.relayZone ? assignment.seedZone : assignment.relayZone);
}

std::vector<InstanceId> selectByRendezvous(const InstanceId &self,
                                           const std::vector<InstanceId> &candidates,
                                           std::size_t maxCount)
{
    std::vector<std::pair<std::uint64_t, InstanceId>> scored;
    for (const InstanceId &candidate : candidates) {
        if (candidate != self) {
            scored.emplace_back(rendezvousScore(self.text(), candidate.text()), candidate);
        }
    }
    std::sort(scored.rbegin(), scored.rend());
    std::vector<InstanceId> selected;
    for (const auto &[score, candidate] : scored) {
        if (selected.size() < maxCount) {
            selected.push_back(candidate);
        }
    }
    return selected;
}

} // namespace greengageseam
