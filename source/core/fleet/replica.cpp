#include "core/fleet/replica.h"

namespace greengageseam {

std::uint64_t LoadedWeights::runnableVersion() const
{
    if (!layers) {
        return version;
    }
    const bool isEmpty = layers->from >= layers->to;
    return isEmpty || version == 0 ? 0 : layers->version;
}

} // namespace greengageseam
