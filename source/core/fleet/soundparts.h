/**
 * Memory of prompt parts with which requests were answered.
 */
#pragma once

#include "core/common/time.h"
#include "core/fleet/promptpart.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace greengageseam {

/**
 * Prompt parts that were answered within a lifetime, in two generations: the older one is dropped
 * as a whole. It is modified in place, once for each request.
 */
class SoundParts
{
public:
    /**
     * @param lifetime shortest time for which a part is remembered
     * @param maxParts number of parts of a generation; more shorten the memory
     */
    explicit SoundParts(Duration lifetime = std::chrono::minutes(10), std::size_t maxParts = 4096)
        : m_lifetime(lifetime), m_maxParts(maxParts)
    { }

    /** Records that a request with the part has begun to be answered, and that its server lives. */
    void record(const PromptPartId &part, Instant now);
    /** @returns when the part was last recorded; empty if it is not remembered */
    std::optional<Instant> lastSeen(const PromptPartId &part) const;

private:
    Duration m_lifetime;
    std::size_t m_maxParts;
    std::unordered_map<PromptPartId, Instant> m_young;
    std::unordered_map<PromptPartId, Instant> m_old;
    /** When the younger generation began. */
    Instant m_startedAt;
};

} // namespace greengageseam
