#include "core/routing/backendchoice.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** The report lags, so what this entry sent itself counts at least. */
std::uint32_t expectedLoad(const BackendCandidate &candidate)
{
    return std::max(candidate.ownInFlight, candidate.reportedLoad);
}

} // namespace

std::optional<std::size_t> chooseOfTwo(const std::vector<BackendCandidate> &candidates,
                                       const ChoiceRandom &random)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::size_t n = candidates.size();
    const std::size_t first = random.first % n;
    if (n == 1) {
        return first;
    }
    const std::size_t second = (first + 1 + random.second % (n - 1)) % n;
    return expectedLoad(candidates[second]) < expectedLoad(candidates[first]) ? second : first;
}

} // namespace greengageseam
