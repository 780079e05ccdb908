/**
 * Tells from what processes of all zones say of their views whether a topic of the platform's store
 * can be read by nobody.
 */
#pragma once

#include "core/common/ids.h"
#include "core/common/time.h"

#include <map>
#include <optional>
#include <set>

namespace greengageseam {

/** Options of ViewWitnesses. */
struct WitnessOptions
{
    /** A zone that was not heard of for longer says nothing about the present. */
    Duration maxSilence = std::chrono::milliseconds(1000);
    /**
     * Age from which a view shows that its process cannot read. It is longer than a slow store
     * takes to confirm a view.
     */
    Duration staleAfter = std::chrono::milliseconds(2500);

    auto operator<=>(const WitnessOptions &) const = default;
};

/**
 * The newest view of a topic that anybody has stated, and when each zone was last heard of.
 *
 * That the reads of one process fail says nothing about others. Only if each zone was heard of just
 * now, and none of them knows of a process with a recent view, nobody can read the topic. A message
 * that was delayed makes a view look newer than it is, and so never shows an outage.
 *
 * It is modified in place, because it is updated with each message.
 */
class ViewWitnesses
{
public:
    explicit ViewWitnesses(WitnessOptions options = {}) : m_options(options) { }

    /** Sets the zones that must be heard of, in addition to those that have been. */
    void expectZones(const std::set<ZoneName> &zones);
    /**
     * Records what a process of a zone states.
     * @param viewAge age of the newest view that it has or knows of; empty if it does not say
     */
    void recordStatement(const ZoneName &zone, std::optional<Duration> viewAge, Instant now);
    /** @returns the age of the newest view that was stated; empty if there was none */
    std::optional<Duration> newestViewAge(Instant now) const;
    /** @returns whether nobody can read the topic */
    bool isUnreadableForAll(Instant now) const;

private:
    WitnessOptions m_options;
    /** When each zone last made a statement; the epoch if it has not. */
    std::map<ZoneName, Instant> m_lastStatements;
    /** As of when the newest view that was stated is complete; empty if there was none. */
    std::optional<Instant> m_newestView;
};

} // namespace greengageseam
