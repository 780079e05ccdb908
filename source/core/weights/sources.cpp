#include "core/weights/sources.h"

#include <algorithm>
#include <tuple>

namespace greengageseam {

std::optional<ChunkSource> chooseSwarmSource(const SourceQuery &query)
{
    const auto best =
            std::min_element(query.candidates.begin(), query.candidates.end(),
                             [](const SourceCandidate &left, const SourceCandidate &right) {
                                 return std::tie(left.isOtherZone, left.outstanding,
                                                 left.fetchTimeSteps, left.tieBreak)
                                         < std::tie(right.isOtherZone, right.outstanding,
                                                    right.fetchTimeSteps, right.tieBreak);
                             });
    if (best != query.candidates.end()) {
        return ChunkSource {best->peer};
    }
    if (query.isOriginAllowed && query.isOriginAvailable) {
        return ChunkSource {};
    }
    return std::nullopt;
}

TransferPolicy swarmPolicy()
{
    return {chooseSwarmSource};
}

} // namespace greengageseam
