#include "core/membership/zonesummaries.h"

#include <chrono>
#include <utility>

namespace greengageseam {

namespace {

/** Time without a new summary after which a zone's summary is discarded. */
constexpr auto summaryLifetime = std::chrono::seconds(12);

} // namespace

ZoneSummaries ZoneSummaries::withSummary(const ZoneSummary &summary, Instant now) &&
{
    m_summaries.insert_or_assign(summary.zone, summary);
    m_receivedAt.insert_or_assign(summary.zone, now);
    return std::move(*this);
}

ZoneSummaries ZoneSummaries::advancedTo(Instant now) &&
{
    std::erase_if(m_receivedAt,
                  [&](const auto &entry) { return now - entry.second > summaryLifetime; });
    std::erase_if(m_summaries,
                  [&](const auto &entry) { return !m_receivedAt.contains(entry.first); });
    return std::move(*this);
}

} // namespace greengageseam
