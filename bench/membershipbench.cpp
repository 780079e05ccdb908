#include "membershipbench.h"

#include "simulatedzone.h"

#include <boost/json.hpp>
#include <iostream>
#include <vector>

namespace greengageseam {

namespace {

constexpr int quietSeconds = 60;
constexpr int changedPercent = 1;

} // namespace

bool runMembershipBench()
{
    const std::vector<ZoneSize> sizes {
            {2, 8, 2}, {3, 30, 5}, {9, 65, 11}, {17, 130, 22}, {34, 260, 45}};
    for (const ZoneSize &size : sizes) {
        SimulatedZone zone(size);
        int second = 0;
        const auto run = [&](const std::string &name, int seconds, int percent) {
            zone.resetCosts();
            for (int i = 0; i < seconds; ++i) {
                zone.runSecond(++second, percent);
            }
            std::cout << boost::json::serialize(zone.costs(name, seconds)) << "\n";
        };
        run("start", 2, 0);
        run("quiet", quietSeconds, 0);
        run("rollout", quietSeconds, changedPercent);
    }
    return true;
}

} // namespace greengageseam
