/**
 * Order of the requests that wait for a backend server: which is tried first, which must leave a
 * slot to another one, and which is dropped when the queue is full.
 */
#pragma once

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/fleet/fleetconfig.h"
#include "core/fleet/regionrule.h"
#include "core/fleet/requestpriority.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace greengageseam {

/** A request that waits for a backend server, or is about to. */
struct PendingRequest
{
    /** Increases from request to request. */
    std::uint64_t id = 0;
    ServiceName service;
    RequestPriority priority;
    /** Regions in which it may run. */
    RegionRule regions;
    RouteName route;
    AccountName account;
    /** Length of the prompt in tokens; 0 if unknown. */
    double promptTokens = 0;
    /** Time at which the objective is missed if the response has not started. */
    Instant lateAfter;
    /** Whether it may have run before, so that it is not turned away early. */
    bool isRetry = false;
    /** Whether slots may be kept free for it; a retry may wait for its budget instead. */
    bool mayReserve = true;

    auto operator<=>(const PendingRequest &) const = default;
};

/** Slots of a service that a request may use, as far as they concern whether one is kept free. */
struct SlotSupply
{
    std::uint32_t slots = 0;
    std::uint32_t free = 0;
    /** Number of entries that send requests to the service. */
    std::uint32_t entries = 1;

    auto operator<=>(const SlotSupply &) const = default;
};

/**
 * Waiting requests of all services.
 *
 * Requests of a service that do not differ in priority are tried newest first. Of the others those
 * come first whose route, account or prompt size has received less than its minimum share, then
 * the more urgent ones, then those that can still meet their objective. Accounts then take turns,
 * and the newest request of an account comes first.
 *
 * Slots are kept free for requests with the same regions, and for those that may run anywhere.
 *
 * It is modified in place, because it is on the path of each request.
 */
class PendingQueue
{
public:
    std::size_t size() const { return m_waiting.size(); }
    bool isEmpty() const { return m_waiting.empty(); }

    void push(const PendingRequest &request);
    void remove(std::uint64_t id);

    /** @returns the ids of all waiting requests in the order in which to try them */
    std::vector<std::uint64_t> order(Instant now) const;
    /**
     * @returns whether more urgent requests for the same service wait or are often turned away, for
     *          which it may have to leave a slot
     */
    bool hasMoreUrgent(const PendingRequest &request, Instant now) const;
    /**
     * @returns whether a request must not take a slot, because so few are free that more urgent
     *          requests for the same service need them, which wait or were often turned away lately
     */
    bool mustYield(const PendingRequest &request, const SlotSupply &supply, Instant now) const;
    /**
     * @returns the waiting request, never a retry, to drop for a new one if the queue is full;
     * empty if the new one is to be rejected
     */
    std::optional<std::uint64_t> displacedBy(const PendingRequest &request) const;
    /** @returns the number of other requests for the service that are at least as urgent */
    std::size_t waitingAhead(const PendingRequest &request) const;

    /** Records that a caller's request needs a backend server. */
    void recordArrival(const PendingRequest &request);
    /** Takes back the arrival of a request that ends for another reason than a lack of slots. */
    void withdrawArrival(const PendingRequest &request);
    void recordServed(const PendingRequest &request);
    void recordTurnedAway(const PendingRequest &request, Instant now);
    /** @returns whether the route, account or prompt size of the request is below its share */
    bool isBelowShare(const PendingRequest &request) const;
    /** Forgets who received how much, as routes and accounts may have changed. */
    void resetShares() { m_shares.clear(); }

private:
    /** A route, an account or a size of prompts. */
    using Group = std::pair<int, std::string>;

    /** What became of the requests of one level. */
    struct Level
    {
        /** Moving average of the share that was served. */
        double servedShare = 1;
        /** When a request was turned away last. */
        Instant turnedAwayAt;
    };

    /** Share of requests for one service that were served lately, and what groups are due. */
    struct Shares
    {
        double servedShare = 1;
        std::map<RegionRule, std::map<std::uint32_t, Level>> servedByLevel;
        /** Requests of each group to serve before others, so that it receives its share. */
        std::map<Group, double> due;
    };

    /** @returns the regions of requests for which a request leaves slots */
    static std::set<RegionRule> rulesBefore(const PendingRequest &request);
    static std::array<Group, 3> groupsOf(const PendingRequest &request);
    void recordEnd(const PendingRequest &request, std::optional<Instant> turnedAwayAt);
    /** @returns the number of more urgent requests that wait and for which slots are kept free */
    std::uint64_t reservationsBefore(const PendingRequest &request) const;
    bool isMoreUrgentTurnedAway(const PendingRequest &request, Instant now) const;
    std::vector<std::uint64_t> orderOf(std::vector<const PendingRequest *> requests,
                                       Instant now) const;

    std::map<std::uint64_t, PendingRequest> m_waiting;
    /** Number of waiting requests by level. */
    std::map<ServiceName, std::map<std::uint32_t, std::size_t>> m_levelSizes;
    /** Number of waiting requests by level for which slots may be kept free. */
    std::map<std::pair<ServiceName, RegionRule>, std::map<std::uint32_t, std::uint32_t>>
            m_reservations;
    std::map<ServiceName, Shares> m_shares;
};

} // namespace greengageseam
