/**
 * Index of the backend servers by what they serve, so that a choice does not iterate over the
 * fleet.
 *
 * It is modified in place, like AttemptRegistry, because a copy for each request would cost more
 * than the choice.
 */
#pragma once

#include "core/routing/backendchoice.h"
#include "core/routing/backendhealth.h"
#include "core/routing/concurrencylimit.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace greengageseam {

/** Key of a pool of backend servers: a version of a model, or a service without a model. */
struct PoolKey
{
    /** Manifest of the version; empty for a service without a model. */
    Digest manifest;
    /** Empty for a model. */
    ServiceName service;

    auto operator<=>(const PoolKey &) const = default;
};

/** A usable backend server, with its load as of the last heartbeat of its agent. */
struct BackendReport
{
    InstanceId instance;
    std::vector<PoolKey> serves;
    std::uint32_t inFlight = 0;
    /** Sequence number, by which a new report is recognized. */
    std::uint64_t sequence = 0;

    auto operator<=>(const BackendReport &) const = default;
};

/** Result of an attempt as far as it concerns the backend server. */
enum class AttemptVerdict {
    /** A complete response was received. */
    Answered,
    /** The backend server was full and did not execute the request. */
    Full,
    /** The attempt failed. */
    Failed,
    /** The result says nothing about the backend server. */
    Neutral
};

/** The backend servers with their pools, loads and health, and which ones have capacity now. */
class BackendIndex
{
public:
    explicit BackendIndex(ChooseBackend choose, HealthOptions options = {});

    /**
     * Replaces the list of backend servers. State of those that are still listed is kept, and of
     * those that are not while they have requests in flight or failures on record.
     */
    void update(const std::vector<BackendReport> &reports, Instant now);

    /**
     * Chooses a backend server and counts the request there.
     * @param tried backend servers of earlier attempts, which are excluded
     * @returns its position in the last list; empty if none has capacity
     */
    std::optional<std::size_t> acquire(const PoolKey &key, const std::set<InstanceId> &tried,
                                       const ChoiceRandom &random, Instant now);

    /** Records the end of an attempt. @param seconds duration of the attempt */
    void finished(const InstanceId &instance, AttemptVerdict verdict, double seconds, Instant now);

    /** @returns whether any backend server serves the key, with or without capacity */
    bool serves(const PoolKey &key) const { return m_pools.contains(key); }
    /** @returns whether any backend server of the pool has capacity now */
    bool hasCapacity(const PoolKey &key, Instant now);
    /** @returns this entry's requests in flight at a backend server */
    std::uint32_t inFlight(const InstanceId &instance) const;
    bool isEjected(const InstanceId &instance) const;

private:
    /** Index of a backend server within a pool, stored so that updates need no search. */
    struct PoolPosition
    {
        std::uint32_t pool = 0;
        std::uint32_t index = 0;
    };
    struct Backend
    {
        InstanceId instance;
        std::uint64_t sequence = 0;
        BackendHealth health;
        ConcurrencyLimit limit;
        std::vector<PoolPosition> poolPositions;
        bool isAvailable = true;
    };
    /** Invariant: the first `availableCount` members have capacity, the others do not. */
    struct Pool
    {
        std::vector<std::uint32_t> members;
        std::size_t availableCount = 0;
    };

    void addToPool(const PoolKey &key, std::uint32_t position);
    void endExpiredEjections(Instant now);
    void updateAvailability(std::uint32_t position);
    void setAvailable(std::uint32_t position, bool isAvailable);
    void swapMembers(Pool &pool, std::uint32_t poolNumber, std::size_t left, std::size_t right);
    void updateMemberIndex(std::uint32_t position, std::uint32_t poolNumber, std::size_t index);
    std::span<const std::uint32_t> candidatesOf(const Pool &pool) const;
    std::optional<std::uint32_t> choose(const Pool &pool, const std::set<InstanceId> &tried,
                                        const ChoiceRandom &random, Instant now);
    std::optional<std::uint32_t> chooseUntried(const Pool &pool, const std::set<InstanceId> &tried,
                                               const ChoiceRandom &random, Instant now);

    ChooseBackend m_choose;
    HealthOptions m_options;
    /** Backend servers of the last list in its order, then unlisted ones whose state is kept. */
    std::vector<Backend> m_backends;
    std::vector<BackendLoad> m_loads;
    std::unordered_map<InstanceId, std::uint32_t> m_positions;
    std::map<PoolKey, std::uint32_t> m_pools;
    std::vector<Pool> m_poolMembers;
    std::set<std::uint32_t> m_ejected;
};

} // namespace greengageseam
