#include "core/fleet/rollout.h"

#include "core/common/hashing.h"

#include <algorithm>
#include <charconv>

namespace greengageseam {

namespace {

/** @returns the key by whose order the members of a rollout start */
Digest orderKey(const InstanceId &member, std::uint64_t version)
{
    return digestOf(member.text() + "/" + std::to_string(version));
}

} // namespace

Duration rolloutDelay(const std::vector<InstanceId> &members, const InstanceId &self,
                      std::uint64_t version, const RolloutOptions &options)
{
    const Digest selfKey = orderKey(self, version);
    std::int64_t earlier = 0;
    std::int64_t count = 1;
    for (const InstanceId &member : members) {
        if (member == self) {
            continue;
        }
        ++count;
        earlier += orderKey(member, version) < selfKey ? 1 : 0;
    }
    const Duration span = options.lastStart - options.firstStart;
    return options.firstStart + span * earlier / count;
}

Duration rolloutDelayWithoutMembers(const InstanceId &self, std::uint64_t version,
                                    const RolloutOptions &options)
{
    constexpr std::size_t digits = 4;
    constexpr std::int64_t positions = 0x10000;
    const Digest key = orderKey(self, version);
    std::int64_t position = 0;
    std::from_chars(key.text().data(), key.text().data() + digits, position, 16);
    const Duration span = options.lastStart - options.firstStart;
    return options.firstStart + span * position / positions;
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
