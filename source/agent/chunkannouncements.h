/**
 * Announcements of stored chunks to the peers.
 */
#pragma once

#include "agent/chunklinks.h"
#include "core/weights/weights.h"

#include <map>
#include <vector>

namespace greengageseam {

/** @returns the message that announces which chunks of a version are stored */
HaveMessage makeHaveMessage(const TransferPlanner &planner, const Digest &manifest,
                            bool isAnswerWanted);

/**
 * Decides when new chunks are announced to the peers. The interval is longer for other zones, to
 * save bandwidth on the links between zones.
 */
class ChunkAnnouncements
{
public:
    /** @returns the announcements that are due; they count as sent */
    std::vector<AnnounceChunks> takeDue(const TransferPlanner &planner, Instant now);

private:
    /** Peers that receive the same announcements, and what was last announced to them. */
    struct Audience
    {
        PeerScope scope = PeerScope::SameZone;
        /** Shortest time between two announcements. */
        Duration interval {};
        Instant lastAnnouncement;
        std::map<Digest, ChunkBits> announced;
    };

    static void collect(Audience &audience, const TransferPlanner &planner, Instant now,
                        std::vector<AnnounceChunks> &due);

    static constexpr auto zoneInterval = std::chrono::milliseconds(60);
    static constexpr auto otherZonesInterval = std::chrono::milliseconds(150);

    Audience m_zone {PeerScope::SameZone, zoneInterval, {}, {}};
    Audience m_otherZones {PeerScope::OtherZones, otherZonesInterval, {}, {}};
};

} // namespace greengageseam
