/**
 * When each engine takes over newly named weights, so that not all of them stop at a time.
 */
#pragma once

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/fleet/replica.h"

#include <vector>

namespace greengageseam {

/** Bounds of a rollout, from the time at which the weights were named. */
struct RolloutOptions
{
    /** The first engine takes the weights over. */
    Duration firstStart = std::chrono::milliseconds(2500);
    /** The last engine has begun to take them over. */
    Duration lastStart = std::chrono::milliseconds(6800);
    /** Time in which all entries hear that an engine is about to stop. */
    Duration drainNotice = std::chrono::milliseconds(150);
    /** What still runs after this time is cut off, where it can go on elsewhere. */
    Duration drainTimeout = std::chrono::milliseconds(700);
    /** So few requests are cut off at once. */
    std::uint32_t maxInterrupted = 1;

    auto operator<=>(const RolloutOptions &) const = default;
};

/**
 * @param members all instances whose engines take the weights over, in any order
 * @param self one of them
 * @param version of the weights; the order of the turns changes with it
 * @returns the time after the naming at which it is the turn of @p self
 */
Duration rolloutDelay(const std::vector<InstanceId> &members, const InstanceId &self,
                      std::uint64_t version, const RolloutOptions &options);

/**
 * @param report the engine's newest @param since when entries were told to send it nothing more
 * @param mayCut whether what it runs can go on at another engine
 * @returns whether the engine may be told to load now
 */
bool mayStartLoad(const ReplicaReport &report, Duration drainingFor, bool mayInterrupt,
                  const RolloutOptions &options);

} // namespace greengageseam
