#include "core/fleet/pendingorder.h"

namespace greengageseam {

bool PendingOrder::isSettledBy(const ReplicaReport &report) const
{
    return report.startedAtMs != startedAtMs || report.acceptedOrders > acceptedOrders
            || report.loaded.runnableVersion() == version;
}

} // namespace greengageseam
