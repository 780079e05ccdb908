#include "core/routing/concurrencylimit.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr double decrease = 0.95;
constexpr double highest = 4096;
/** The limit rises only while at least this fraction of it is in use. */
constexpr double usedShare = 0.8;

} // namespace

ConcurrencyLimit ConcurrencyLimit::answered(std::uint32_t inFlight) const
{
    if (inFlight < usedShare * m_current) {
        return *this;
    }
    ConcurrencyLimit next = *this;
    next.m_current = std::min(highest, m_current + (m_isSlowStart ? 1 : 1 / m_current));
    return next;
}

ConcurrencyLimit ConcurrencyLimit::refused(std::uint32_t inFlight) const
{
    ConcurrencyLimit next = *this;
    next.m_isSlowStart = false;
    next.m_current = std::max(1.0, std::min<double>(m_current, inFlight) * decrease);
    return next;
}

} // namespace greengageseam
