#include "core/fleet/servicedemand.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr Duration sliceLength = std::chrono::milliseconds(100);
constexpr std::int64_t slicesPerSecond = 10;
/** Fraction of the callers turned away from which on a service counts as saturated. */
constexpr double saturatedShare = 0.1;
/** Number of callers turned away in a second below which a service does not count as saturated. */
constexpr std::uint32_t minTurnedAway = 2;

std::int64_t sliceNumber(Instant now)
{
    return now.time_since_epoch() / sliceLength;
}

} // namespace

double ServiceDemand::turnedAwayShare() const
{
    return arrivals == 0 ? 0 : std::min(1.0, static_cast<double>(turnedAway) / arrivals);
}

bool isSaturated(const ServiceDemand &demand)
{
    return demand.turnedAway >= minTurnedAway && demand.turnedAwayShare() >= saturatedShare;
}

DemandMeter::Slice &DemandMeter::slice(Instant now)
{
    const std::int64_t number = sliceNumber(now);
    if (m_slices.empty() || m_slices.back().number < number) {
        m_slices.push_back({number, 0, 0});
    }
    while (m_slices.front().number < number - slicesPerSecond) {
        m_slices.pop_front();
    }
    return m_slices.back();
}

void DemandMeter::recordArrival(Instant now)
{
    ++slice(now).arrivals;
}

void DemandMeter::recordTurnedAway(Instant now)
{
    ++slice(now).turnedAway;
}

ServiceDemand DemandMeter::demand(const ServiceName &service, Instant now) const
{
    ServiceDemand sum;
    sum.service = service;
    for (const Slice &slice : m_slices) {
        if (slice.number >= sliceNumber(now) - slicesPerSecond) {
            sum.arrivals += slice.arrivals;
            sum.turnedAway += slice.turnedAway;
        }
    }
    return sum;
}

} // namespace greengageseam
