#include "agent/chunkannouncements.h"

#include <utility>

namespace greengageseam {

HaveMessage makeHaveMessage(const TransferPlanner &planner, const Digest &manifest,
                            bool isAnswerWanted)
{
    return {manifest, planner.storedChunks(manifest), isAnswerWanted};
}

std::vector<AnnounceChunks> ChunkAnnouncements::takeDue(const TransferPlanner &planner, Instant now)
{
    std::vector<AnnounceChunks> due;
    collect(m_zone, planner, now, due);
    collect(m_otherZones, planner, now, due);
    return due;
}

void ChunkAnnouncements::collect(Audience &audience, const TransferPlanner &planner, Instant now,
                                 std::vector<AnnounceChunks> &due)
{
    if (now < audience.lastAnnouncement + audience.interval) {
        return;
    }
    audience.lastAnnouncement = now;
    for (const Digest &manifest : planner.offeredVersions()) {
        HaveMessage have = makeHaveMessage(planner, manifest, false);
        ChunkBits &lastBits = audience.announced[manifest];
        if (lastBits != have.bits) {
            lastBits = have.bits;
            due.push_back(AnnounceChunks {std::move(have), audience.scope});
        }
    }
    std::erase_if(audience.announced,
                  [&](const auto &entry) { return planner.manifest(entry.first) == nullptr; });
}

} // namespace greengageseam
