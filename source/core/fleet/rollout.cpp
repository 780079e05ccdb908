#include "core/fleet/rollout.h"

#include "core/common/hashing.h"

#include <algorithm>

namespace greengageseam {

Duration rolloutTurn(const std::vector<InstanceId> &members, const InstanceId &self,
                     std::uint64_t version, const RolloutOptions &options)
{
    const auto keyOf = [version](const InstanceId &member) {
        return digestOf(member.text() + "/" + std::to_string(version));
    };
    const Digest own = keyOf(self);
    std::int64_t before = 0;
    std::int64_t count = 1;
    for (const InstanceId &member : members) {
        if (member == self) {
            continue;
        }
        ++count;
        before += keyOf(member) < own ? 1 : 0;
    }
    const Duration span = options.last - options.first;
    return options.first + span * before / count;
}

bool isLoadDue(const ReplicaReport &report, Duration since, bool mayCut,
               const RolloutOptions &options)
{
    if (since < options.notice) {
        return false;
    }
    // An engine whose requests may not be interrupted completes them before it loads.
    return !mayCut || since >= options.leaving
            || report.running + report.waiting <= options.fewRunning;
}

} // namespace greengageseam
