#include "core/fleet/replicalistdelta.h"

namespace greengageseam {

ReplicaListDelta ReplicaListDelta::withChanged(const ReplicaEntry &entry) &&
{
    ReplicaListDelta delta = std::move(*this).without(entry.id);
    delta.changed.push_back(entry);
    return delta;
}

ReplicaListDelta ReplicaListDelta::withRemoved(const ReplicaId &id) &&
{
    ReplicaListDelta delta = std::move(*this).without(id);
    delta.removed.push_back(id);
    return delta;
}

ReplicaListDelta ReplicaListDelta::without(const ReplicaId &id) &&
{
    ReplicaListDelta delta = std::move(*this);
    std::erase_if(delta.changed, [&](const ReplicaEntry &entry) { return entry.id == id; });
    std::erase(delta.removed, id);
    return delta;
}

} // namespace greengageseam
