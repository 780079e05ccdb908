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

NextOrder nextOrder(const OrderContext &context)
{
    std::set<Digest> present = context.serving;
    present.insert(context.loading.begin(), context.loading.end());
    std::set<Digest> ready;
    std::set_intersection(context.wanted.begin(), context.wanted.end(), context.complete.begin(),
                          context.complete.end(), std::inserter(ready, ready.end()));
    const std::optional<Digest> toLoad = firstNotIn(ready, present);
    if (toLoad && present.size() < context.slots) {
        return LoadVersion {*toLoad};
    }
    const bool nothingMissing = !firstNotIn(context.wanted, present);
    if (!toLoad && !nothingMissing) {
        return std::nullopt;
    }
    if (const std::optional<Digest> surplus = firstNotIn(context.serving, context.wanted)) {
        return UnloadVersion {*surplus};
    }
    return std::nullopt;
}

} // namespace greengageseam
