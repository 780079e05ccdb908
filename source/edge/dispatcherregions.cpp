/**
 * The part of Dispatcher that decides in which regions and zones requests may run.
 */
#include "edge/dispatcher.h"

namespace greengageseam {

/**
 * A request may wait, be repeated or be hedged while the configuration changes, so the rule is
 * looked up at each choice of a backend server.
 */
RegionRule Dispatcher::regionRuleOf(const AcquireReplica &command) const
{
    if (command.routed.route == nullptr) {
        return {};
    }
    const bool isCurrent = m_table == nullptr || command.table == m_table;
    return regionRule(isCurrent ? command.routed : currentMatch(*m_table, command.routed));
}

void Dispatcher::countRegionRejection()
{
    m_metrics->count("region_rejections_total",
                     "Requests rejected because no allowed region has a backend server for them");
}

void Dispatcher::apply(const EvacuationsChanged &command)
{
    m_loads.setEvacuatedZones(command.zones);
    m_metrics->set("evacuated_zones", "Zones that the operator has evacuated",
                   static_cast<double>(command.zones.size()));
    dispatchPending();
}

} // namespace greengageseam
