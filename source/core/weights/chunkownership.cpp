#include "core/weights/chunkownership.h"

#include "core/common/hashing.h"

#include <algorithm>
#include <map>

namespace greengageseam {

namespace {

template <typename Names>
auto bestOf(const Digest &chunk, const Names &names, const typename Names::value_type &except)
{
    typename Names::value_type best;
    std::uint64_t bestScore = 0;
    for (const auto &name : names) {
        const std::uint64_t score = rendezvousScore(chunk.text(), name.text());
        if (name != except && (best.isEmpty() || score > bestScore)) {
            best = name;
            bestScore = score;
        }
    }
    return best;
}

std::uint32_t rankOf(const Digest &chunk, const std::vector<InstanceId> &members,
                     const InstanceId &self, std::map<InstanceId, std::size_t> &shares)
{
    const std::uint64_t own = rendezvousScore(chunk.text(), self.text());
    const InstanceId owner = bestOf(chunk, members, InstanceId());
    ++shares[owner];
    const auto before =
            std::count_if(members.begin(), members.end(), [&](const InstanceId &member) {
                return member != self && rendezvousScore(chunk.text(), member.text()) > own;
            });
    const bool isMember = std::find(members.begin(), members.end(), self) != members.end();
    const std::size_t behind = isMember ? 0 : members.size();
    return static_cast<std::uint32_t>(static_cast<std::size_t>(before) + behind);
}

} // namespace

TurnTable makeTurns(const Manifest &manifest, const VersionPlaces &places, const InstanceId &self,
                    const ZoneName &storeZone)
{
    TurnTable table;
    std::map<InstanceId, std::size_t> shares;
    const bool hasStore =
            std::find(places.zones.begin(), places.zones.end(), storeZone) != places.zones.end();
    for (const Chunk &chunk : manifest.chunks()) {
        ChunkTurn turn;
        turn.rank = rankOf(chunk.digest, places.members, self, shares);
        turn.home = hasStore ? storeZone : bestOf(chunk.digest, places.zones, ZoneName());
        turn.lead = bestOf(chunk.digest, places.zones, turn.home);
        table.turns.push_back(std::move(turn));
    }
    table.ownShare = shares[self];
    for (const auto &[member, share] : shares) {
        table.largestShare = std::max(table.largestShare, share);
    }
    return table;
}

bool mayReadOrigin(const ChunkTurn &turn, const ZoneName &zone, const TurnState &state)
{
    if (zone == turn.home) {
        const bool isShared = !turn.lead.isEmpty() && state.originCopies > 1;
        const std::uint32_t copies = state.originCopies - (isShared ? 1 : 0);
        return turn.rank < copies + state.passes;
    }
    const bool isLeadCopy = zone == turn.lead && state.originCopies > 1 && turn.rank == 0;
    return isLeadCopy || turn.rank + 1 < state.passes;
}

bool mayReadZone(const ChunkTurn &turn, const ZoneName &zone, const ZoneName &other,
                 const TurnState &state)
{
    if (state.passes > 0) {
        return turn.rank <= state.passes;
    }
    if (turn.rank > 0 || zone == turn.home) {
        return false;
    }
    return other == (zone == turn.lead ? turn.home : turn.lead);
}

std::vector<InstanceId> choosePartners(const InstanceId &self,
                                       const std::vector<InstanceId> &candidates, std::size_t most)
{
    std::vector<std::pair<std::uint64_t, InstanceId>> scored;
    for (const InstanceId &candidate : candidates) {
        if (candidate != self) {
            scored.emplace_back(rendezvousScore(self.text(), candidate.text()), candidate);
        }
    }
    std::sort(scored.rbegin(), scored.rend());
    std::vector<InstanceId> partners;
    for (const auto &[score, candidate] : scored) {
        if (partners.size() < most) {
            partners.push_back(candidate);
        }
    }
    return partners;
}

} // namespace greengageseam
