/**
 * Schedule of a weight rollout: staggers the times at which engines load a new target version, so
 * that they do not all stop serving at the same time.
 */
#pragma once

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/fleet/replica.h"

#include <vector>

namespace greengageseam {

/** Times of a rollout, relative to the announcement of the target version. */
struct RolloutOptions
{
    /** Time at which the first engine starts to load. */
    Duration firstStart = std::chrono::milliseconds(2500);
    /** Time before which the last engine starts to load. */
    Duration lastStart = std::chrono::milliseconds(6800);
    /** Time that it takes until all entries know that an engine is about to stop serving. */
    Duration drainNotice = std::chrono::milliseconds(150);
    /** Requests that still run after this drain time are interrupted if they can fail over. */
    Duration drainTimeout = std::chrono::milliseconds(700);
    /** Up to this number of running requests are interrupted without waiting for the drain. */
    std::uint32_t maxInterrupted = 1;

    auto operator<=>(const RolloutOptions &) const = default;
};

/**
 * Spreads the members evenly over the rollout, in an order that depends on a hash of the member and
 * the version.
 * @param members all instances whose engines load the version, in any order
 * @param self one of them
 * @param version the version of the weights; each version has its own order of members
 * @returns the time after the announcement at which @p self starts to load
 */
Duration rolloutDelay(const std::vector<InstanceId> &members, const InstanceId &self,
                      std::uint64_t version, const RolloutOptions &options);

/**
 * The slot of an instance that does not know the members yet. Its order among the others is that of
 * rolloutDelay(), its place in the rollout is estimated from its hash.
 * @returns the time after the announcement at which @p self starts to load
 */
Duration rolloutDelayWithoutMembers(const InstanceId &self, std::uint64_t version,
                                    const RolloutOptions &options);

/**
 * @param report the latest report of the engine
 * @param drainingFor time since the entries were notified to send it no more requests
 * @param mayInterrupt whether its running requests can fail over to another engine
 * @returns whether the engine may be ordered to load now
 * @see canFailOver
 */
bool mayStartLoad(const ReplicaReport &report, Duration drainingFor, bool mayInterrupt,
                  const RolloutOptions &options);

} // namespace greengageseam
