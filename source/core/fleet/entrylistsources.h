/**
 * Chooses the agents that an entry asks for the list of entries, so that what is sent in answer
 * does not grow with the number of agents.
 */
#pragma once

#include "core/common/ids.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace greengageseam {

/** Maximum number of agents of its own zone that an entry asks at once. */
constexpr std::size_t maxAskedInOwnZone = 2;
/** Maximum number of agents that an entry asks at once. */
constexpr std::size_t maxAskedAgents = 3;

/**
 * Chooses a few agents: some of the entry's own zone, which it reaches even while its zone is cut
 * off, and one of another zone, which knows entries that the others have not heard of. Each round
 * chooses the next ones, so that no agent that is silent or behind matters for long.
 *
 * @param zones the zone of each agent
 * @param self the zone of the entry
 * @param round number of the round
 * @returns the positions of the chosen agents in @p zones
 */
std::set<std::size_t> chooseEntryListSources(const std::vector<ZoneName> &zones,
                                             const ZoneName &self, std::uint64_t round);

} // namespace greengageseam
