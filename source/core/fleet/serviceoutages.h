/**
 * Remembers since when services have had no usable backend server.
 */
#pragma once

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/fleet/regionrule.h"

#include <map>
#include <optional>
#include <utility>

namespace greengageseam {

/**
 * The outages that requests of this process have met. Requests that are restricted to regions have
 * outages of their own, since servers of other regions don't help them. Changes in place, since it
 * is used for each request.
 */
class ServiceOutages
{
public:
    /** A request has found no usable backend server. @returns for how long there has been none */
    Duration record(const ServiceName &service, const RegionRule &regions, Instant now);
    /**
     * A request has found a usable backend server.
     * @returns for how long there was none; empty if there was no outage
     */
    std::optional<Duration> end(const ServiceName &service, const RegionRule &regions, Instant now);

private:
    /** When the first request found no usable backend server. */
    std::map<std::pair<ServiceName, RegionRule>, Instant> m_begins;
};

} // namespace greengageseam
