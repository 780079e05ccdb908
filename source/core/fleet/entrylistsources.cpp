#include "core/fleet/entrylistsources.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Adds the next agents of a rotation to a choice, as long as there are others. */
void addNext(std::set<std::size_t> &chosen, const std::vector<std::size_t> &agents, std::size_t n,
             std::uint64_t round)
{
    n = std::min(n, agents.size());
    for (std::size_t i = 0; i < n; ++i) {
        chosen.insert(agents[(round * n + i) % agents.size()]);
    }
}

} // namespace

std::set<std::size_t> chooseEntryListSources(const std::vector<ZoneName> &zones,
                                             const ZoneName &self, std::uint64_t round)
{
    std::vector<std::size_t> own;
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        (zones[i] == self ? own : others).push_back(i);
    }
    const std::size_t reserved = others.empty() ? 0 : maxAskedAgents - maxAskedInOwnZone;
    const std::size_t fromOwn = std::min(own.size(), maxAskedAgents - reserved);
    std::set<std::size_t> chosen;
    addNext(chosen, own, fromOwn, round);
    addNext(chosen, others, maxAskedAgents - fromOwn, round);
    return chosen;
}

} // namespace greengageseam
