/**
 * The summaries that an entry has received of other zones.
 */
#pragma once

#include "core/common/time.h"
#include "core/membership/zonedigest.h"

#include <map>

namespace greengageseam {

/** The newest summary of each other zone, as long as it is not outdated. */
class ZoneSummaries
{
public:
    /** @returns the summaries by zone */
    const std::map<ZoneName, ZoneSummary> &summaries() const { return m_summaries; }

    /** @returns the summaries after one was received; it replaces the previous one of its zone */
    ZoneSummaries withSummary(const ZoneSummary &summary, Instant now) &&;
    /** @returns the summaries without those that are outdated */
    ZoneSummaries advancedTo(Instant now) &&;

    bool operator==(const ZoneSummaries &) const = default;

private:
    std::map<ZoneName, ZoneSummary> m_summaries;
    /** Invariant: contains the zones of m_summaries. */
    std::map<ZoneName, Instant> m_receivedAt;
};

} // namespace greengageseam
