#include "core/fleet/rollout.h"

#include "core/common/hashing.h"

#include <algorithm>

namespace greengageseam {

Duration rolloutDelay(const std::vector<InstanceId> &members, const InstanceId &self,
                      std::uint64_t version, const RolloutOptions &options)
{
    const auto keyOf = [version](const InstanceId &member) {
        return digestOf(member.text() + "/" + std::to_string(version));
    };
    const Digest selfKey = keyOf(self);
    std::int64_t earlier = 0;
    std::int64_t count = 1;
    for (const InstanceId &member : members) {
        if (member == self) {
            continue;
        }
        ++count;
        earlier += keyOf(member) < selfKey ? 1 : 0;
    }
    const Duration span = options.lastStart - options.firstStart;
    return options.firstStart + span * earlier / count;
}

bool mayStartLoad(const ReplicaReport &report, Duration drainingFor, bool mayInterrupt,
                  const RolloutOptions &options)
{
    if (drainingFor < options.drainNotice) {
        return false;
    }
    // An engine whose requests may not be interrupted completes them before it loads.
    return !mayInterrupt || drainingFor >= options.drainTimeout
            || report.running + report.waiting <= options.maxInterrupted;
}

} // namespace greengageseam
