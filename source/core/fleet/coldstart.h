/**
 * Slow start: a backend server that has just started is cold and takes only a limited rate of
 * requests. Decides until when a server counts as cold, how many credits its agent hands out, and
 * how many requests an entry may send that hears nothing from the agent.
 *
 * The bound holds for the sum over all entries in any second. It is divided between the credits of
 * the agent, with a reserve for credits that are used late, and a pool for entries without credits.
 */
#pragma once

#include "core/fleet/fleetconfig.h"
#include "core/fleet/nodesettings.h"
#include "core/routing/tokenbucket.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengageseam {

/** What cold backend servers of a service tolerate. */
struct ColdStartRules
{
    /** Time after its start for which a backend server is cold. */
    Duration coldStart {};
    /** Requests a second that a cold backend server tolerates; 0 if the service has no limit. */
    double perSecond = 0;
    /** Largest number of requests in any second. */
    double maxPerSecond = 0;
    /** Whether agents hand out credits for the backend servers. */
    bool hasAgents = false;

    auto operator<=>(const ColdStartRules &) const = default;

    bool isActive() const { return perSecond > 0; }
    /** @returns the credits a second that an agent hands out */
    double creditRate() const;
    /** @returns the credits that an agent may hand out at once */
    double creditBurst() const;
    /** @returns the requests of all entries without credits in any second, in whole requests */
    std::uint32_t sharePool() const;
};

/** @returns the rules of a service */
ColdStartRules coldStartRules(const Service &service, const FleetBounds &bounds);

/** Until when an incarnation of a backend server counts as cold, from all that is known of it. */
class ColdPeriod
{
public:
    /** @returns the period of an incarnation that started at @p at, as this process saw it */
    ColdPeriod startedAt(Instant at) const;
    /** @returns the period without a start, which turned out not to count */
    ColdPeriod withoutStart() const;
    /** @returns the period after the list told the remaining time; an unchanged one is ignored */
    ColdPeriod listed(Duration left, Instant now) const;
    /** @returns the period after the server or its agent told the remaining time */
    ColdPeriod reported(Duration left, Instant now) const;
    /** @returns the latest end; long ago if the server was never cold */
    Instant endsAt(Duration coldStart) const;

    auto operator<=>(const ColdPeriod &) const = default;

private:
    std::optional<Instant> m_startedAt;
    Duration m_lastListed {};
    Instant m_listedUntil;
    Instant m_reportedUntil;
};

/** What the agent knows of the backend server beside it, and the credits that it may hand out. */
class ColdBackend
{
public:
    /** @returns the state under other rules */
    ColdBackend withRules(const ColdStartRules &rules) const;
    /**
     * @returns the state after a status report. A new incarnation is cold from @p now on. The first
     *          incarnation that an agent sees is cold from its start, unless its health tells more.
     * @param startedAtMs start of the incarnation in milliseconds since 1970; 0 if not stated
     */
    ColdBackend withReport(std::uint64_t startedAtMs, Instant now, WallTime wallNow) const;
    /** @returns the state after the server told how long it stays cold; zero if it is warm */
    ColdBackend withHealth(Duration left, Instant now) const;
    /** @returns how much longer the server stays cold; empty if it is warm or has no limit */
    std::optional<Duration> coldLeft(Instant now) const;
    /** @returns the state at a later time: the credits accumulate only while the server is cold */
    ColdBackend at(Instant now) const;
    /** @returns the credits that may be handed out now while the server is cold */
    std::uint32_t availableCredits() const;
    /** @returns the state after credits were handed out; those that lapse are not given back */
    ColdBackend handedOut(std::uint32_t credits) const;

    auto operator<=>(const ColdBackend &) const = default;

private:
    ColdStartRules m_rules;
    std::uint64_t m_startedAtMs = 0;
    /** Whether the start is taken from the clock only, so that health may disprove it. */
    bool m_isStartPresumed = false;
    ColdPeriod m_period;
    /** Set while the server is cold. */
    std::optional<TokenBucket> m_bucket;
};

/** Tells from an agent's clock which of its reports have been on their way for long. */
class ReportDelay
{
public:
    /** @param sentAt time of the sender's clock, which has another origin than @p now */
    ReportDelay received(Duration sentAt, Instant now) const;
    /**
     * @returns whether the last report was late or overtaken by a newer one, or too little is known
     *          of the usual delay
     */
    bool isLate() const;

    auto operator<=>(const ReportDelay &) const = default;

private:
    /** Difference of the clocks in the report that was the fastest. */
    std::optional<Duration> m_least;
    Duration m_last {};
    /** Time of the sender's clock in the newest report. */
    Duration m_newestSentAt {};
    /** Whether the last report was sent no later than an earlier one: a copy, or overtaken. */
    bool m_isOvertaken = false;
    Instant m_firstAt;
    Instant m_lastAt;
};

/** The requests that one entry has sent to a cold backend server without credits. */
class ColdShareUse
{
public:
    /** @returns whether a further request stays within @p quota */
    bool allows(std::uint32_t quota, Instant now) const;
    /** @returns the requests with a further one */
    ColdShareUse used(Instant now) const;

    auto operator<=>(const ColdShareUse &) const = default;

private:
    std::vector<Instant> m_sentAt;
};

/**
 * Divides the pool of a backend server among entries in whole requests. Fractions would not do: if
 * each of 40 entries saved up one request, all could send it in the same second. An entry that
 * knows of more entries than there are gets no more than its part.
 *
 * @param rank position of the entry among all entries, from 0
 * @returns the requests of the entry in any second
 */
std::uint32_t coldShareQuota(std::uint32_t pool, std::uint32_t entryCount, std::uint32_t rank);

/** @returns the position of an entry for one backend server, which differs from server to server */
std::uint32_t coldShareRank(std::string_view replica, const std::string &self,
                            const std::vector<std::string> &entries);

} // namespace greengageseam
