/**
 * When each engine takes over newly named weights, so that not all of them stop at a time.
 */
#pragma once

#include "core/common/ids.h"
#include "core/common/time.h"

#include <vector>

namespace greengageseam {

/** Bounds of a rollout, from the time at which the weights were named. */
struct RolloutOptions
{
    /** The first engine takes the weights over. */
    Duration first = std::chrono::milliseconds(2500);
    /** The last engine has begun to take them over. */
    Duration last = std::chrono::milliseconds(6800);

    auto operator<=>(const RolloutOptions &) const = default;
};

/**
 * @param members all instances whose engines take the weights over, in any order
 * @param self one of them
 * @param version of the weights; the order of the turns changes with it
 * @returns the time after the naming at which it is the turn of @p self
 */
Duration rolloutTurn(const std::vector<InstanceId> &members, const InstanceId &self,
                     std::uint64_t version, const RolloutOptions &options);

} // namespace greengageseam
