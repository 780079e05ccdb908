/**
 * Index of the backend servers by what they serve, so that a decision does not look at the fleet.
 *
 * It changes in place, like AttemptLedger: a copy for each request would cost more than the choice.
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

/** What a request needs: a version of a model, or a plain service. */
struct PoolKey
{
    /** Empty for a plain service. */
    Digest manifest;
    /** Empty for a model. */
    ServiceName service;

    auto operator<=>(const PoolKey &) const = default;
};

/** A backend server as the roster has it. */
struct BackendReport
{
    InstanceId instance;
    std::vector<PoolKey> serves;
    std::uint32_t inFlight = 0;
    /** Tells whether the report is new. */
    std::uint64_t sequence = 0;

    auto operator<=>(const BackendReport &) const = default;
};

/** How an attempt ended, as far as its backend server is concerned. */
enum class AttemptVerdict {
    /** The whole answer came. */
    Answered,
    /** It was not run, because the backend server was full. */
    Full,
    /** It failed. */
    Failed,
    /** It ended for a reason that says nothing of the backend server. */
    Neutral
};

/** The backend servers, what they serve, their loads, and which of them can take a request now. */
class BackendIndex
{
public:
    explicit BackendIndex(ChooseBackend choose, HealthOptions options = {});

    /** Takes over a new list; what is known of the backend servers that stay is kept. */
    void update(const std::vector<BackendReport> &reports, Instant now);

    /**
     * Chooses a backend server and counts the request there.
     * @param tried backend servers that must not be chosen
     * @returns its position in the last list, or nothing if none can take it
     */
    std::optional<std::size_t> acquire(const PoolKey &key, const std::set<InstanceId> &tried,
                                       const ChoiceRandom &random, Instant now);

    /** Counts an attempt as ended. @param seconds how long it took */
    void finished(const InstanceId &instance, AttemptVerdict verdict, double seconds, Instant now);

    /** @returns whether any backend server serves this, free or not */
    bool serves(const PoolKey &key) const { return m_pools.contains(key); }
    /** @returns whether one can take a request now */
    bool hasCapacity(const PoolKey &key, Instant now);
    /** @returns the requests of this entry at a backend server */
    std::uint32_t inFlight(const InstanceId &instance) const;
    bool isEjected(const InstanceId &instance) const;

private:
    /** A backend server within a pool, so that it is found there without a search. */
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
    /** Invariant: members before `open` can take a request, the others cannot. */
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
    /** Backend servers of the last list in its order, then those that left it with a history. */
    std::vector<Backend> m_backends;
    std::vector<BackendLoad> m_loads;
    std::unordered_map<InstanceId, std::uint32_t> m_positions;
    std::map<PoolKey, std::uint32_t> m_pools;
    std::vector<Pool> m_poolMembers;
    std::set<std::uint32_t> m_ejected;
};

} // namespace greengageseam
