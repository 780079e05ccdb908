/**
 * Choice of a backend server among those that serve the wanted version or service.
 */
#pragma once

#include "core/common/common.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>

namespace greengageseam {

/** What this entry knows of the load of a backend server. */
struct BackendLoad
{
    /** Requests that this entry has at the backend server now. */
    std::uint32_t localInFlight = 0;
    /** Requests of this entry that the last report counts already. */
    std::uint32_t localInFlightAtReport = 0;
    /** Requests that the backend server last reported, those of other entries among them. */
    std::uint32_t reportedLoad = 0;
    /** Requests that the backend server runs at a time; 0 if it does not say. */
    std::uint32_t slots = 0;
    Instant reportedAt;
    /** Mean time of this entry's requests there; 0 while none has ended. */
    double meanSeconds = 0;

    auto operator<=>(const BackendLoad &) const = default;

    /** @returns the load after an attempt of this entry that took @p seconds */
    BackendLoad finished(double seconds) const;
};

/**
 * Load to expect now: own requests are known exactly, those of others are believed less the older
 * the report is.
 */
double expectedLoad(const BackendLoad &load, Instant now);

/** The backend servers to choose from. It refers to the index and is valid for one choice. */
class BackendPool
{
public:
    /**
     * @param members positions in @p loads
     * @param loads the loads of all backend servers
     * @param now the time of the choice
     */
    BackendPool(std::span<const std::uint32_t> members, std::span<const BackendLoad> loads,
                Instant now)
        : m_members(members), m_loads(loads), m_now(now)
    { }

    std::size_t size() const { return m_members.size(); }
    /** @returns the position in the index of member @p n */
    std::uint32_t position(std::size_t n) const { return m_members[n]; }
    const BackendLoad &load(std::size_t n) const { return m_loads[m_members[n]]; }
    Instant now() const { return m_now; }

private:
    std::span<const std::uint32_t> m_members;
    std::span<const BackendLoad> m_loads;
    Instant m_now;
};

/** Random numbers handed in for one choice. */
struct ChoiceRandom
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;

    auto operator<=>(const ChoiceRandom &) const = default;
};

/** Hook for the policy: @returns the chosen member, or nothing if the pool is empty. */
using ChooseBackend = std::function<std::optional<std::size_t>(const BackendPool &pool,
                                                               const ChoiceRandom &random)>;

/**
 * @returns the policy in use: of the next member in turn and two drawn at random, the one with the
 * shortest expected wait, which is the requests of this entry there times their mean time. Reports
 * are left out, because they are older than a batch takes; docs/design/routing.md has the figures.
 */
ChooseBackend makeRoundRobinWithTwoRandom();

/** Policy: the one of two drawn at random with the shorter wait, own and reported requests. */
std::optional<std::size_t> choosePowerOfTwo(const BackendPool &pool, const ChoiceRandom &random);

/** Policy: the member with the fewest requests, own or reported. Looks at all members. */
std::optional<std::size_t> chooseLeastConnections(const BackendPool &pool,
                                                  const ChoiceRandom &random);

/**
 * Policy Maximum Idle First: the member with the greatest idle degree, the number of idle threads
 * over the length of the queue, as the member reported them. Looks at all members.
 *
 * After A. Gao, Q. Pan, Y. Hu, The Research of Differentiated Service and Load Balancing in Web
 * Cluster, section 5.
 */
std::optional<std::size_t> chooseMaximumIdle(const BackendPool &pool, const ChoiceRandom &random);

/** @returns a policy that takes the members in turn */
ChooseBackend makeRoundRobin();

} // namespace greengageseam
