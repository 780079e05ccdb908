#include "core/fleet/storeeras.h"

#include <string>

namespace greengageseam {

Outcome<std::uint64_t> StoreEras::accept(std::optional<std::uint64_t> era)
{
    if (!era) {
        return m_newest;
    }
    if (*era < m_newest) {
        return Failure {ErrorKind::PlatformUnavailable,
                        "the store answered with era " + std::to_string(*era) + " after era "
                                + std::to_string(m_newest)};
    }
    m_newest = *era;
    return m_newest;
}

} // namespace greengageseam
