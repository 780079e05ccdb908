/**
 * Load-balancing policies: choice of a backend server among those that serve a version or service.
 */
#pragma once

#include "core/common/common.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>

namespace greengageseam {

/** Load of a backend server as known to this entry. */
struct BackendLoad
{
    /** This entry's requests in flight at the backend server. */
    std::uint32_t localInFlight = 0;
    /** This entry's requests in flight when the last report arrived, which the report includes. */
    std::uint32_t localInFlightAtReport = 0;
    /** Requests that the backend server last reported, including those of other entries. */
    std::uint32_t reportedLoad = 0;
    /** Requests that the backend server runs concurrently; 0 if not stated. */
    std::uint32_t slots = 0;
    Instant reportedAt;
    /** Mean duration of this entry's requests there; 0 until the first one has finished. */
    double meanSeconds = 0;

    auto operator<=>(const BackendLoad &) const = default;

    /** @returns the load after an attempt of this entry that took @p seconds has finished */
    BackendLoad finished(double seconds) const;
};

/**
 * @returns the expected load now: this entry's own requests, which are known exactly, and those of
 * other entries, whose weight decays with the age of the report
 */
double expectedLoad(const BackendLoad &load, Instant now);

/** The candidates for one choice. It refers to the data of the index, so do not store it. */
class BackendPool
{
public:
    /**
     * @param members positions of the candidates in @p loads
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

/** Random numbers for one choice, passed in so that policies are deterministic. */
struct ChoiceRandom
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;

    auto operator<=>(const ChoiceRandom &) const = default;
};

/** Hook for a load-balancing policy. @returns the chosen member; empty if the pool is empty */
using ChooseBackend = std::function<std::optional<std::size_t>(const BackendPool &pool,
                                                               const ChoiceRandom &random)>;

/**
 * Default policy: compares the next member in round-robin order with two random ones, and chooses
 * the one with the shortest expected wait. The wait is the number of this entry's requests in
 * flight there times their mean duration. Reported loads are not used, because they are older than
 * the duration of a batch; docs/design/routing.md has the measurements.
 */
ChooseBackend makeRoundRobinWithTwoRandom();

/**
 * Policy "power of two choices": of two random members, the one with the shorter expected wait.
 * @see expectedLoad
 */
std::optional<std::size_t> choosePowerOfTwo(const BackendPool &pool, const ChoiceRandom &random);

/**
 * Policy "least connections": the member with the fewest requests, taking the larger of this
 * entry's own requests and the reported ones. Examines all members.
 */
std::optional<std::size_t> chooseLeastConnections(const BackendPool &pool,
                                                  const ChoiceRandom &random);

/**
 * Policy "maximum idle first": the member with the highest idle degree, which is the number of idle
 * threads divided by the queue length, both as reported by the member. Examines all members.
 *
 * After A. Gao, Q. Pan, Y. Hu, The Research of Differentiated Service and Load Balancing in Web
 * Cluster, section 5.
 */
std::optional<std::size_t> chooseMaximumIdle(const BackendPool &pool, const ChoiceRandom &random);

/** @returns the round-robin policy */
ChooseBackend makeRoundRobin();

} // namespace greengageseam
