#include "core/placement/orders.h"

#include <algorithm>

namespace greengageseam {

namespace {

std::optional<Digest> firstNotIn(const std::set<Digest> &candidates, const std::set<Digest> &others)
{
    const auto it = std::find_if(candidates.begin(), candidates.end(),
                                 [&](const Digest &digest) { return !others.contains(digest); });
    return it == candidates.end() ? std::nullopt : std::optional(*it);
}

} // namespace

NextOrder nextOrder(const OrderSituation &situation)
{
    std::set<Digest> present = situation.serving;
    present.insert(situation.loading.begin(), situation.loading.end());
    std::set<Digest> ready;
    std::set_intersection(situation.wanted.begin(), situation.wanted.end(), situation.held.begin(),
                          situation.held.end(), std::inserter(ready, ready.end()));
    const std::optional<Digest> toLoad = firstNotIn(ready, present);
    if (toLoad && present.size() < situation.slots) {
        return LoadVersion {*toLoad};
    }
    const bool nothingMissing = !firstNotIn(situation.wanted, present);
    if (!toLoad && !nothingMissing) {
        return std::nullopt;
    }
    if (const std::optional<Digest> surplus = firstNotIn(situation.serving, situation.wanted)) {
        return UnloadVersion {*surplus};
    }
    return std::nullopt;
}

} // namespace greengageseam
