#include "core/weights/sources.h"

#include <algorithm>
#include <tuple>

namespace greengageseam {

std::optional<ChunkSource> chooseSwarmSource(const SourceQuestion &question)
{
    const auto best = std::min_element(
            question.candidates.begin(), question.candidates.end(),
            [](const SourceCandidate &left, const SourceCandidate &right) {
                return std::tie(left.isFar, left.outstanding, left.waitedSteps, left.tieBreak)
                        < std::tie(right.isFar, right.outstanding, right.waitedSteps,
                                   right.tieBreak);
            });
    if (best != question.candidates.end()) {
        return ChunkSource {best->peer};
    }
    if (question.isOriginTurn && question.isOriginUsable) {
        return ChunkSource {};
    }
    return std::nullopt;
}

TransferPolicy swarmPolicy()
{
    return {chooseSwarmSource};
}

} // namespace greengageseam
