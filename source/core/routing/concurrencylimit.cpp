#include "core/routing/concurrencylimit.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr double decreaseFactor = 0.95;
constexpr double maxLimit = 4096;
/** The limit rises only while at least this fraction of it is in use. */
constexpr double minUtilization = 0.8;

} // namespace

ConcurrencyLimit ConcurrencyLimit::answered(std::uint32_t inFlight) const
{
    if (inFlight < minUtilization * m_current) {
        return *this;
    }
    ConcurrencyLimit next = *this;
    next.m_current = std::min(maxLimit, m_current + (m_isSlowStart ? 1 : 1 / m_current));
    return next;
}

ConcurrencyLimit ConcurrencyLimit::rejected(std::uint32_t inFlight) const
{
    ConcurrencyLimit next = *this;
    next.m_isSlowStart = false;
    next.m_current = std::max(1.0, std::min<double>(m_current, inFlight) * decreaseFactor);
    return next;
}

} // namespace greengageseam
