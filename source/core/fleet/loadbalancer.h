/**
 * What one entry knows of the load of the backend servers, and its choice among them.
 */
#pragma once

#include "core/fleet/enginemodel.h"
#include "core/fleet/fleetconfig.h"
#include "core/fleet/replica.h"
#include "core/routing/backendhealth.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace greengageseam {

/** A fresh report that the agent beside a backend server passed on. */
struct LoadReport
{
    Address backend;
    std::uint64_t startedAtMs = 0;
    /** Version of the weights that are whole; 0 for none. */
    std::uint64_t weightsVersion = 0;
    /** An order is being carried out or about to be given; until its end nothing new is begun. */
    bool hasOrderInProgress = false;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    /** Above 1 the backend server works more slowly than it should. */
    double slowdown = 1;
    /** Checksum of the entries that the agent knows of. */
    std::uint64_t entriesChecksum = 0;
    /** What the agent has heard of the operator's doings; grows with each of them. */
    std::uint64_t operatorOffset = 0;

    auto operator<=>(const LoadReport &) const = default;
};

/** What a request needs of a backend server. */
struct ReplicaRequirements
{
    ServiceName service;
    /** Backend servers that it was sent to before. */
    std::set<ReplicaId> tried;
    /** Oldest version of the weights that will do. */
    std::uint64_t minWeightsVersion = 0;
    /** Time in which the operator wants the answer to begin. */
    Duration latencyObjective {};
    /** The answer will be late, so it may only take places that others do not need. */
    bool missesObjective = false;
    /** Tokens of the prompt; 0 if they are not known. */
    double promptTokens = 0;

    auto operator<=>(const ReplicaRequirements &) const = default;
};

/** How busy the backend servers of a service are. */
struct Occupancy
{
    /** Backend servers that may be used. */
    std::uint32_t usableReplicas = 0;
    std::uint32_t slots = 0;
    std::uint32_t inUse = 0;

    auto operator<=>(const Occupancy &) const = default;
};

/** Bounds of the book. */
struct LoadBalancerOptions
{
    ZoneName zone;
    /** What a send to another zone is held to cost besides its time, in milliseconds of waiting. */
    double crossZonePenaltyMs = 40;
    /** A report that is older says nothing of the load any more. */
    Duration reportLifetime = std::chrono::seconds(1);
    HealthOptions health;

    auto operator<=>(const LoadBalancerOptions &) const = default;
};

/** How an attempt ended, as far as its backend server is concerned. */
enum class ReplicaVerdict {
    Answered,
    /** It rejected the request, because it is full or changes its weights. */
    Full,
    /** It is not what the book takes it for. */
    Misdirected,
    Failed,
    /** The end says nothing of the backend server. */
    Neutral,
};

/** The backend servers and their loads. It changes in place, in the path of each request. */
class LoadBalancer
{
public:
    explicit LoadBalancer(LoadBalancerOptions options) : m_options(std::move(options)) { }

    /** Takes over the list; what is known of those that stay is kept. */
    void setReplicas(const std::vector<ReplicaEntry> &entries);
    /** Takes over what the configuration says of engines. */
    void setServices(const std::map<ServiceName, Service> &services);
    /** How many entries there may be; they share what none of them knows of the others. */
    void setEntryCount(std::uint32_t entries) { m_entryCount = entries; }
    /** An agent passed a report on. */
    void applyReport(const LoadReport &report, Instant now);

    /** Chooses a backend server and counts the request there. @returns nothing if none has room */
    std::optional<ReplicaEntry> acquire(const ReplicaRequirements &requirements, Instant now,
                                        std::uint64_t random);
    /** The answer to an attempt has begun. @param promptTokens as in the wish */
    void responseStarted(const ReplicaId &id, double promptTokens);
    /**
     * Counts an attempt as ended; one that never began is to be counted as begun before.
     * @param answeredAfter time from the send to the beginning of the answer, if there was one
     */
    void finished(const ReplicaId &id, ReplicaVerdict verdict,
                  std::optional<Duration> responseLatency, Instant now);

    /** @returns the version of the weights that a backend server is believed to run, or 0 */
    std::uint64_t weightsVersion(const ReplicaId &id, Instant now) const;
    /** @returns how busy a service is, as far as this entry knows */
    Occupancy occupancy(const ServiceName &service, std::uint64_t minWeightsVersion,
                        Instant now) const;
    /** @returns in how long a place of the service becomes free, on average */
    Duration meanSlotReleaseTime(const ServiceName &service) const;
    /** @returns whether any backend server of the service takes work, full or not */
    bool hasUsable(const ServiceName &service, std::uint64_t minWeightsVersion, Instant now) const;

private:
    struct ReplicaState
    {
        ReplicaEntry entry;
        std::uint32_t localInFlight = 0;
        BackendHealth health;
        std::optional<LoadReport> report;
        Instant reportedAt;
        /** Requests of this entry that the report counts already. */
        std::uint32_t localInFlightAtReport = 0;
        /** Requests of this entry whose answers have not begun, and how long their prompts take. */
        std::uint32_t awaitingResponse = 0;
        double pendingPrefillMs = 0;
        /** Those of them that the report counts. */
        std::uint32_t awaitingResponseAtReport = 0;
        /** It rejected a request; nothing is sent to it before. */
        Instant backoffUntil;
        /** How much later than expected answers began of late, in milliseconds. */
        double excessLatencyMs = 0;
        Instant excessLatencyAt;
    };

    bool isUsable(const ReplicaState &state, std::uint64_t minWeightsVersion, Instant now) const;
    std::uint64_t effectiveWeightsVersion(const ReplicaState &state, Instant now) const;
    bool hasFreshReport(const ReplicaState &state, Instant now) const;
    /** Requests at a backend server, those of other entries among them. */
    std::uint32_t estimatedLoad(const ReplicaState &state, Instant now) const;
    /** Requests that other entries are likely to have sent since the report. */
    double estimatedRemoteSinceReport(const ReplicaState &state) const;
    /** @returns the costs of the service's engines, or null for a plain service */
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
    static void removePendingPrefill(ReplicaState &state, double prefillMs);
    void recordLatency(ReplicaState &state, Duration responseLatency, Instant now);
    bool hasCapacity(const ReplicaState &state, const ReplicaRequirements &requirements,
                     Instant now) const;

    LoadBalancerOptions m_options;
    std::uint32_t m_entryCount = 1;
    std::map<ReplicaId, ReplicaState> m_replicas;
    /** The last to have started of those that name an address; entries of the dead stay a while. */
    std::map<Address, ReplicaId> m_byAddress;
    std::map<ServiceName, std::vector<ReplicaId>> m_byService;
    std::map<ServiceName, EngineCosts> m_engineCosts;
};

} // namespace greengageseam
