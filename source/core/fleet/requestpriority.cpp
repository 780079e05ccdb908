#include "core/fleet/requestpriority.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Below the urgency of requests that miss their objective, which come after all others. */
constexpr std::uint32_t lastUrgency = 6;

} // namespace

std::uint32_t upstreamUrgency(const RequestPriority &priority)
{
    return std::min(priority.level, lastUrgency);
}

} // namespace greengageseam
