/**
 * Load balancer of one entry: tracks the load of the backend servers from their load reports and
 * from this entry's own requests, and chooses a backend server for each request.
 */
#pragma once

#include "core/fleet/coldservers.h"
#include "core/fleet/enginemodel.h"
#include "core/fleet/fleetconfig.h"
#include "core/fleet/regionrule.h"
#include "core/fleet/replica.h"
#include "core/fleet/replicaavailability.h"
#include "core/fleet/topicposition.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace greengageseam {

/** Load report of a backend server, forwarded by the agent on the same machine. */
struct LoadReport
{
    Address backend;
    std::uint64_t startedAtMs = 0;
    /** Version of the weights that are loaded completely; 0 for none. */
    std::uint64_t weightsVersion = 0;
    /**
     * An order to the engine, such as loading weights, is in progress or about to be sent. The
     * backend server starts no new requests until the order has completed.
     */
    bool hasOrderInProgress = false;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    /** Factor by which the backend server is slower than its cost model; 1 is nominal speed. */
    double slowdown = 1;
    /** Checksum of the agent's registry of entries. @see EntryRegistry::checksum */
    std::uint64_t entriesChecksum = 0;
    /** Latest position in the operator's topic up to which an entry has read it. */
    TopicPosition operatorPosition;
    /** Age of the newest view of that topic that an entry has told of; empty if none has. */
    std::optional<Duration> operatorViewAge;
    /**
     * Requests that the receiver may send until the next report while the backend server is
     * contended; empty if its agent hands out no credits. @see CreditAllocator
     */
    std::optional<std::uint32_t> credits;
    /** How much longer the backend server stays cold; empty if it is warm or has no limit. */
    std::optional<Duration> coldLeft;
    /**
     * The agent's monotonic clock when it sent the report, while the backend server is cold. It
     * shows which reports are late. @see ReportDelay
     */
    std::optional<Duration> sentAt;

    auto operator<=>(const LoadReport &) const = default;
};

/** Which versions of a service's weights requests may be sent to; 0 stands for none. */
struct WeightsRequirement
{
    /** Lowest acceptable version. */
    std::uint64_t minVersion = 0;
    /**
     * Newest target version. A request that is sent to an older one must begin before the newer one
     * becomes required, so backend servers on older ones are used only while they report.
     */
    std::uint64_t targetVersion = 0;

    auto operator<=>(const WeightsRequirement &) const = default;
};

/** Requirements of a request on its backend server. */
struct ReplicaRequirements
{
    ServiceName service;
    /** Backend servers of earlier upstream attempts; they are excluded. */
    std::set<ReplicaId> tried;
    WeightsRequirement weights;
    /** Regions in which it may run. */
    RegionRule regions;
    /** Time left until the response has to start to meet its objective. */
    Duration latencyObjective {};
    /**
     * The request misses its objective in any case. It may use only slots that are not needed by
     * requests that can still meet theirs.
     */
    bool missesObjective = false;
    /** Length of the prompt in tokens; 0 if unknown. */
    double promptTokens = 0;

    auto operator<=>(const ReplicaRequirements &) const = default;
};

/** Occupancy of the backend servers of a service. */
struct Occupancy
{
    /** Number of backend servers that accept requests. */
    std::uint32_t usableReplicas = 0;
    std::uint32_t slots = 0;
    /** During a pause of a backend server, all of its slots count as in use. */
    std::uint32_t inUse = 0;
    /** Time until the first one accepts requests, if all of them are paused; otherwise 0. */
    Duration pauseLeft {};

    auto operator<=>(const Occupancy &) const = default;
};

/** Options of the load balancer. */
struct LoadBalancerOptions
{
    ZoneName zone;
    /** Added to the cost of a backend server in another zone, in milliseconds of latency. */
    double crossZonePenaltyMs = 40;
    /** Added to that in another region, while the own region is preferred. */
    double crossRegionPenaltyMs = 120;
    /** Region of each zone. */
    std::map<ZoneName, RegionName> zoneRegions;
    /** Age at which a load report becomes stale and is ignored. */
    Duration reportLifetime = std::chrono::seconds(1);
    HealthOptions health;
    /** IP address of this entry; it decides which part of a cold backend server's pool it has. */
    std::string ip;
    /** The service limits of the fleet. */
    FleetBounds bounds;

    auto operator<=>(const LoadBalancerOptions &) const = default;
};

/** Result of an upstream attempt as far as it concerns the backend server. */
enum class ReplicaVerdict {
    Answered,
    /** The backend server rejected the request because it is full or is changing its weights. */
    Full,
    /** The backend server is not the expected one, or has other weights. */
    Misdirected,
    Failed,
    /** The result says nothing about the backend server. */
    Neutral,
};

/** One process of a backend server; another start of it is another one. */
struct ReplicaProcess
{
    ReplicaId id;
    Address address;
    /** As in ReplicaEntry. */
    std::uint64_t startedAtMs = 0;

    auto operator<=>(const ReplicaProcess &) const = default;
};

/** @returns the process that a record of the list describes */
ReplicaProcess processOf(const ReplicaEntry &entry);

/** What a backend server announces in a response: that it leaves, or wants a pause. */
struct ReplicaStatement
{
    /** It leaves, and wants no further requests. */
    bool isLeaving = false;
    /** It wants no requests for this long; empty if it did not say so. */
    std::optional<Duration> pause;

    auto operator<=>(const ReplicaStatement &) const = default;
};

/**
 * Chooses among a few random candidates the one with the lowest expected time to the start of the
 * response, with penalties for another zone, for stale reports and for recent slowness.
 *
 * It is modified in place, because it is on the path of each request.
 */
class LoadBalancer
{
public:
    explicit LoadBalancer(LoadBalancerOptions options)
        : m_options(std::move(options)), m_cold(m_options.ip, m_options.bounds)
    { }

    /**
     * Replaces the list of backend servers. Keeps the state of those that are still listed, and
     * what those announced that come back to it in the same incarnation.
     * @param now time of the read; it matters only for services with a limit for cold servers
     */
    void setReplicas(const std::vector<ReplicaEntry> &entries, Instant now = {});
    /** Replaces the cost parameters of engines with those of the configuration. */
    void setServices(const std::map<ServiceName, Service> &services);
    /** Sets the zones whose backend servers get no requests, as the operator has evacuated them. */
    void setEvacuatedZones(const std::set<ZoneName> &zones) { m_evacuatedZones = zones; }
    /**
     * Sets whether requests prefer the entry's own region to others in addition to its own zone. It
     * has no effect unless zones of several regions are known.
     */
    void preferOwnRegion(bool isPreferred) { m_prefersOwnRegion = isPreferred; }
    /**
     * Sets the number of entries. It is used to estimate the requests of the other entries that no
     * report counts yet.
     */
    void setEntryCount(std::uint32_t entries);
    /** Adds entries, by IP address, that share what cold backend servers may get. */
    void addEntries(const std::vector<std::string> &ips) { m_cold.addEntries(ips); }
    /**
     * Sets whether callers ask for more than the backend servers of a service can do. While they
     * do, each request that is sent to one with a report needs a credit.
     */
    void setSaturated(const ServiceName &service, bool isSaturated);
    /** Applies a load report that an agent forwarded; ignores reports of an earlier incarnation. */
    void applyReport(const LoadReport &report, Instant now);

    /**
     * Chooses a backend server and counts the request there.
     * @param random 64 random bits
     * @returns the chosen backend server; empty if none has capacity
     */
    std::optional<ReplicaEntry> acquire(const ReplicaRequirements &requirements, Instant now,
                                        std::uint64_t random);
    /**
     * @param random as in acquire(), which then chooses the same backend server
     * @returns the expected time to the response of the backend server that acquire() would choose,
     *          with what speaks against it; empty if none has capacity
     */
    std::optional<Duration> forecast(const ReplicaRequirements &requirements, Instant now,
                                     std::uint64_t random);
    /**
     * Records that the response to an upstream attempt has started.
     * @param promptTokens as in the requirements
     */
    void responseStarted(const ReplicaId &id, double promptTokens);
    /**
     * @returns whether the agent of a backend server has reported once, and has stopped to do so:
     *          its machine may stand still
     */
    bool isAgentSilent(const ReplicaId &id, Instant now) const;
    /** Counts a failure of a backend server that is silent during a request, which goes on. */
    void recordSilence(const ReplicaId &id, Instant now);
    /**
     * Records the end of an upstream attempt. The caller must call responseStarted() first, even if
     * no response started, because only that call removes the pending prefill of the request.
     * @param responseLatency time from sending the request to the start of the response, if any
     */
    void finished(const ReplicaId &id, ReplicaVerdict verdict,
                  std::optional<Duration> responseLatency, Instant now);

    /** Applies what a backend server announced; ignored unless the incarnation is listed. */
    void applyStatement(const ReplicaProcess &incarnation, const ReplicaStatement &statement,
                        Instant now);

    /** @returns why each listed backend server gets no requests; without those that get some */
    std::map<ReplicaId, UnavailableCause> unavailableReplicas(Instant now) const;
    bool isListed(const ReplicaId &id) const { return m_replicas.contains(id); }
    /** @returns whether a backend server has said that it leaves */
    bool isLeaving(const ReplicaId &id) const;
    /** @returns the last known version of the weights that a backend server runs; 0 if unknown */
    std::uint64_t weightsVersion(const ReplicaId &id, Instant now) const;
    /** @returns the age of its latest load report; empty if there is none that is still valid */
    std::optional<Duration> reportAge(const ReplicaId &id, Instant now) const;
    /** @returns the backend servers that are cold, with the time left */
    std::map<ReplicaId, Duration> coldReplicas(Instant now) const
    {
        return m_cold.coldReplicas(now);
    }
    /** @returns the occupancy of a service in some regions as estimated by this entry */
    Occupancy occupancy(const ServiceName &service, const WeightsRequirement &weights, Instant now,
                        const RegionRule &regions = RegionRule()) const;
    /** @returns the estimated mean time between two releases of a slot of the service there */
    Duration meanSlotReleaseTime(const ServiceName &service,
                                 const RegionRule &regions = RegionRule()) const;
    /** @returns whether any backend server of the service is usable there, even if it is full */
    bool hasUsable(const ServiceName &service, const WeightsRequirement &weights, Instant now,
                   const RegionRule &regions = RegionRule()) const;
    /**
     * @returns whether a backend server of the service is listed there, outside evacuated zones,
     *          that does not leave. It may come back soon even if it is not usable.
     */
    bool hasListed(const ServiceName &service, const RegionRule &regions) const;

private:
    struct ReplicaState
    {
        ReplicaEntry entry;
        /** Region of its zone; empty if unknown. */
        RegionName region;
        std::uint32_t localInFlight = 0;
        ReplicaAvailability availability;
        std::optional<LoadReport> report;
        Instant reportedAt;
        /** Credits of the report that are not spent. */
        std::uint32_t creditsLeft = 0;
        /** This entry's requests in flight when the report arrived, which the report includes. */
        std::uint32_t localInFlightAtReport = 0;
        /** This entry's requests whose responses have not started, and their total prefill time. */
        std::uint32_t awaitingResponse = 0;
        double pendingPrefillMs = 0;
        /** Those of them that the report includes. */
        std::uint32_t awaitingResponseAtReport = 0;
        /**
         * Moving average, in milliseconds, of how much later than expected recent responses
         * started.
         */
        double excessLatencyMs = 0;
        Instant excessLatencyAt;
    };

    bool isUsable(const ReplicaState &state, const WeightsRequirement &weights,
                  const RegionRule &regions, Instant now) const;
    /** @returns the region of a zone; an empty name if it is unknown */
    RegionName regionOf(const ZoneName &zone) const;
    std::uint64_t effectiveWeightsVersion(const ReplicaState &state, Instant now) const;
    bool hasFreshReport(const ReplicaState &state, Instant now) const;
    /** @returns whether a request may be sent there only for a credit of the last report */
    bool needsCredit(const ReplicaState &state, Instant now) const;
    bool hasCredit(const ReplicaState &state, Instant now) const;
    /** @returns whether its agent reports, and hands out credits at the rate of a cold server */
    bool hasColdCredits(const ReplicaState &state, Instant now) const;
    /** @returns the estimated number of requests at a backend server, from all entries */
    std::uint32_t estimatedLoad(const ReplicaState &state, Instant now) const;
    /** @returns the estimated number of requests that other entries sent since the report */
    double estimatedRemoteSinceReport(const ReplicaState &state, Instant now) const;
    /** @returns the cost parameters of the service's engines; null for a service without engines */
    const EngineCosts *engineCosts(const ServiceName &service) const;
    EngineWorkload estimatedWorkload(const ReplicaState &state, const EngineCosts &costs,
                                     Instant now) const;
    double slotReleaseMs(const ServiceName &service) const;
    double expectedResponseMs(const ReplicaState &state, double promptTokens, Instant now) const;
    bool hasEngineCapacity(const ReplicaState &state, const EngineCosts &costs,
                           const ReplicaRequirements &requirements, Instant now) const;
    double penaltyMs(const ReplicaState &state, Instant now) const;
    double decayedExcessLatencyMs(const ReplicaState &state, Instant now) const;
    double costMs(const ReplicaState &state, const ReplicaRequirements &requirements,
                  Instant now) const;
    ReplicaState *cheapestCandidate(const std::vector<ReplicaId> &pool,
                                    const ReplicaRequirements &requirements, bool isSameZone,
                                    Instant now, std::uint64_t random);
    ReplicaState *choose(const ReplicaRequirements &requirements, Instant now,
                         std::uint64_t random);
    static void removePendingPrefill(ReplicaState &state, double prefillMs);
    void recordLatency(ReplicaState &state, Duration responseLatency, Instant now);
    bool hasCapacity(const ReplicaState &state, const ReplicaRequirements &requirements,
                     Instant now) const;

    LoadBalancerOptions m_options;
    ColdServers m_cold;
    std::uint32_t m_entryCount = 1;
    /** What a backend server announced that is no longer listed. */
    struct PastStatement
    {
        ReplicaProcess incarnation;
        ReplicaAvailability availability;
    };

    void rememberStatement(const PastStatement &statement);
    ReplicaAvailability rememberedAvailability(const ReplicaProcess &incarnation) const;

    std::map<ReplicaId, ReplicaState> m_replicas;
    /** Newest last; its size is limited. */
    std::deque<PastStatement> m_pastStatements;
    /**
     * For each address, the entry of the list that started last. Entries of processes that have
     * died stay in the list for a while.
     */
    std::map<Address, ReplicaId> m_byAddress;
    std::map<ServiceName, std::vector<ReplicaId>> m_byService;
    std::map<ServiceName, EngineCosts> m_engineCosts;
    std::set<ServiceName> m_saturatedServices;
    std::set<ZoneName> m_evacuatedZones;
    bool m_prefersOwnRegion = false;
};

} // namespace greengageseam
