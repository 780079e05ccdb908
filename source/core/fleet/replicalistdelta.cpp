#include "core/fleet/replicalistdelta.h"

namespace greengageseam {

ListNews ListNews::withChanged(const ReplicaEntry &entry) &&
{
    ListNews next = std::move(*this).without(entry.id);
    next.changed.push_back(entry);
    return next;
}

ListNews ListNews::withRemoved(const ReplicaId &id) &&
{
    ListNews next = std::move(*this).without(id);
    next.removed.push_back(id);
    return next;
}

ListNews ListNews::without(const ReplicaId &id) &&
{
    ListNews next = std::move(*this);
    std::erase_if(next.changed, [&](const ReplicaEntry &entry) { return entry.id == id; });
    std::erase(next.removed, id);
    return next;
}

} // namespace greengageseam
