/**
 * Task that holds an entry's routes, the backend servers and their load, the queue of pending
 * requests and the pool of idle upstream connections.
 */
#pragma once

#include "core/fleet/fleet.h"
#include "net/httpconnection.h"
#include "net/log.h"
#include "net/mailbox.h"
#include "net/metrics.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <variant>

namespace greengageseam {

/** The route and service that an admitted request was assigned to. */
struct Admission
{
    /** Keeps the objects alive that routed points to. */
    RouteTablePtr table;
    RouteMatch routed;
    ServiceName service;
    RequestPriority priority;
    /** Estimated time of the caller's first attempt, which precedes this one if it is a retry. */
    Instant firstAttemptAt;
};

/** Asks for the route of a request; counts the request towards the retry budget. */
struct AdmissionQuery
{
    std::string attemptId;
    std::string host;
    std::string target;
    /** The API key of the caller. */
    std::string key;
    /** How long the caller waits for the response; empty if it did not specify this. */
    std::optional<Duration> remaining;
    MailboxPtr<Outcome<Admission>> reply;
};

/** What the choice of a backend server was based on, as far as it concerns weights. */
struct WeightsBasis
{
    /** Version that the backend server was believed to run; 0 if unknown, or without an engine. */
    std::uint64_t believed = 0;
    /** Lowest version that was acceptable; 0 if any version was. */
    std::uint64_t required = 0;
    /** Age of the load report that told the version; empty if it was taken from the list. */
    std::optional<Duration> reportAge;

    auto operator<=>(const WeightsBasis &) const = default;
};

/** A slot reserved on a backend server for one upstream attempt. */
struct ReplicaLease
{
    /** Distinguishes the lease from all others of the dispatcher. */
    std::uint64_t id = 0;
    ReplicaEntry replica;
    /** A pooled connection; null if there is none or the request may not use one. */
    HttpConnectionPtr connection;
    /** Version of the weights that the backend server must run; empty if any version will do. */
    std::optional<std::uint64_t> weightsVersion;
    /** What was known about weights when the backend server was chosen; for the log. */
    WeightsBasis weightsBasis;
    /**
     * The response must have started by then, because newer weights are required from that time
     * on; empty if no newer version was announced.
     */
    std::optional<Instant> startDeadline;
    /** The response will miss its latency target, so other requests take priority. */
    bool isLate = false;
    /** Time after which the attempt may be hedged before it is silent; empty if it may not. */
    std::optional<HedgeDelay> hedgeDelay;
    /** Set if the attempt is a hedge beside one that is late, but not silent. */
    std::optional<HedgeGrant> hedge;
    /** Priority of the request among those for the service. */
    RequestPriority priority;
};

/** No backend server could be reserved for a request. */
struct ReplicaUnavailable
{
    ErrorKind kind = ErrorKind::Overloaded;
    /** Time after which the caller may retry. */
    Duration retryAfter {};

    auto operator<=>(const ReplicaUnavailable &) const = default;
};

/** Asks to reserve a slot on a backend server, and queues the request while none is free. */
struct AcquireReplica
{
    std::string attemptId;
    /** What the request was admitted with; keeps the objects alive that routed points to. */
    RouteTablePtr table;
    RouteMatch routed;
    /** The dispatcher fills in the weights and the regions at each choice of a backend server. */
    ReplicaRequirements requirements;
    RequestPriority priority;
    /** Whether this is not the first upstream attempt, so that it uses the retry budget. */
    bool isRetry = false;
    /** Whether another attempt is still in progress, so that the request is not turned away. */
    bool isHedge = false;
    /**
     * Lease of the attempt that is late, but not silent, if the hedge is for that; 0 otherwise. It
     * is granted or denied at once.
     */
    std::uint64_t lateLease = 0;
    /** Whether the request may be sent on a pooled connection. */
    bool allowsPooledConnection = false;
    /** When the request began to wait for a backend server. */
    Instant waitsSince;
    /** How long it may wait. */
    QueueWait wait;
    /** Time at which the caller's own timeout expires. */
    Instant deadline;
    /** Time at which the latency target is missed if the response has not started. */
    Instant lateAfter;
    /** The shared parts of the request's prompt. */
    std::vector<PromptPartId> promptParts;
    /** Whether a backend server was lost while the request had not begun on it. */
    bool wasLost = false;
    MailboxPtr<std::variant<ReplicaLease, ReplicaUnavailable>> reply;
    /**
     * Called if the response has not started by the time by which it must on the weights of the
     * backend server, which may become known only after the choice. It must not block; may be
     * empty.
     */
    std::function<void()> onStartExpired;
};

/** The response to an upstream attempt has started. */
struct ResponseStarted
{
    std::uint64_t lease = 0;
    ReplicaId replica;
    double promptTokens = 0;
};

/** A backend server has announced in a response that it leaves, or wants a pause. */
struct ReplicaSpoke
{
    ReplicaProcess replica;
    ReplicaStatement statement;
};

/** An attempt that goes on has brought nothing for so long that another server is asked. */
struct ReplicaSilent
{
    ReplicaId replica;
};

/** Asks whether a backend server that is silent may be lost, as its agent is silent too. */
struct LossQuery
{
    ReplicaId replica;
    /** Called if it may be; must not block. */
    std::function<void()> onMayBeLost;
};

/** An upstream attempt has finished and releases its slot. */
struct LeaseReleased
{
    std::uint64_t lease = 0;
    ReplicaId replica;
    Address address;
    ReplicaVerdict verdict = ReplicaVerdict::Neutral;
    /** Whether ResponseStarted was sent for this attempt. */
    bool isStartReported = false;
    double promptTokens = 0;
    /**
     * Time from sending the request to the start of the response. If the attempt timed out
     * before any response, it is the time waited; otherwise it is empty if no start was recorded.
     */
    std::optional<Duration> timeToResponseStart;
    /** The connection, if it can be reused; otherwise null. */
    HttpConnectionPtr connection;
    /** How long the backend server keeps an idle connection open; empty if it did not say. */
    std::optional<Duration> keepAliveTimeout;
};

/** A new configuration applies. */
struct RoutesChanged
{
    RouteTablePtr table;
};

/**
 * A configuration is known to be the newest one as of a later time. It comes with its date, since
 * the message that announced it may have been lost.
 */
struct RoutesConfirmed
{
    /** Null if there is no configuration. */
    RouteTablePtr table;
    Instant completeAsOf;
};

/** The list of backend servers has changed. */
struct ReplicasChanged
{
    std::vector<ReplicaEntry> entries;
};

/** The set of zones that the operator has evacuated has changed. */
struct EvacuationsChanged
{
    std::set<ZoneName> zones;
};

/** The operator has announced a target version of a model's weights. */
struct TargetVersionChanged
{
    TargetVersion targetVersion;
    /** Start of the period within which the version must be applied. */
    Instant announcedAt;
};

/** A load report has arrived from an agent. */
struct LoadReportReceived
{
    LoadReport report;
};

/** The number of entries that are known to be running has changed. */
struct EntryCountChanged
{
    std::uint32_t entries = 1;
    /** Their IP addresses. */
    std::vector<std::string> ips;
};

/** Other prompt parts than before are condemned or suspected. */
struct CrashJudged
{
    CrashJudgement judgement;
};

/** Periodic tick, which expires pending requests and pooled connections. */
struct DispatchTick
{ };

/** Messages to the dispatcher. */
using DispatchCommand =
        std::variant<AdmissionQuery, AcquireReplica, ResponseStarted, ReplicaSpoke, ReplicaSilent,
                     LossQuery, LeaseReleased, RoutesChanged, RoutesConfirmed, ReplicasChanged,
                     EvacuationsChanged, TargetVersionChanged, LoadReportReceived,
                     EntryCountChanged, CrashJudged, DispatchTick>;

/** Hooks of the dispatcher. They must not block. */
struct DispatcherHooks
{
    /** Called repeatedly with the demand of callers for each service with engines; may be empty. */
    std::function<void(const std::vector<ServiceDemand> &demands)> onDemand;
};

/** Limits of the dispatcher. */
struct DispatcherOptions
{
    LoadBalancerOptions loads;
    FleetBounds bounds;
    /** Maximum number of pooled connections to one backend server. */
    std::size_t maxPooledConnections = 12;
    /** Maximum number of requests that wait for a backend server at the same time. */
    std::size_t maxPendingRequests = 512;
    /** Share of the requests that may be hedged before their attempts are silent; 0 for none. */
    double hedgeRatio = 0;
};

/** Assigns requests to backend servers, queues them while all are busy, and sheds overload. */
class Dispatcher : public std::enable_shared_from_this<Dispatcher>
{
public:
    Dispatcher(const asio::any_io_executor &executor, DispatcherOptions options,
               DispatcherHooks hooks, std::shared_ptr<Metrics> metrics, Log log);

    /** @returns the mailbox that takes commands */
    const MailboxPtr<DispatchCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    struct PooledConnection
    {
        HttpConnectionPtr connection;
        Instant expiresAt;
    };

    /** An attempt whose response has not started. */
    struct AwaitedStart
    {
        ModelName model;
        /** Version of the weights that its backend server was believed to run. */
        std::uint64_t weightsVersion = 0;
        std::function<void()> onExpired;
    };

    /** Requests that gave way to more urgent ones. */
    struct YieldCounts
    {
        std::uint64_t held = 0;
        std::uint64_t displaced = 0;
    };

    Awaitable<void> run();
    void apply(const AdmissionQuery &command);
    void logNotRouted(const AdmissionQuery &command, const Failure &failure, Instant now);
    void apply(const AcquireReplica &command);
    void apply(const ResponseStarted &command);
    void apply(const ReplicaSpoke &command);
    void apply(const ReplicaSilent &command);
    void apply(const LossQuery &command);
    void apply(const LeaseReleased &command);
    void apply(const RoutesChanged &command);
    void apply(const RoutesConfirmed &command);
    void apply(const ReplicasChanged &command);
    void apply(const EvacuationsChanged &command);
    void apply(const TargetVersionChanged &command);
    void apply(const LoadReportReceived &command);
    void apply(const EntryCountChanged &command);
    void apply(const CrashJudged &command);
    void apply(const DispatchTick &command);
    void recordOutageEnd(const ServiceName &service, const RegionRule &regions, Instant now);
    bool rejectIfQuarantined(const AcquireReplica &command, Instant now);
    bool mustYield(const PendingRequest &request, Instant now);
    void enqueue(const AcquireReplica &command, const PendingRequest &request, Instant now);
    void recordServed(const AcquireReplica &command, const PendingRequest &request, Instant now);
    void recordTurnedAway(const AcquireReplica &command, Instant now);
    void recordArrival(const PendingRequest &request, Instant now);
    void withdrawArrival(const AcquireReplica &command, Instant now);
    bool isSaturatedFor(const AcquireReplica &command, Instant now) const;
    bool isShed(const PendingRequest &request) const;
    std::size_t backlogOf(const PendingRequest &request, std::size_t waiting) const;
    void removePending(std::map<std::uint64_t, AcquireReplica>::iterator it);
    PendingRequest pendingRequest(std::uint64_t id, const AcquireReplica &command,
                                  Instant now) const;
    void logYielded(Instant now);
    bool tryAcquire(const AcquireReplica &command, Instant now);
    bool tryAcquire(const AcquireReplica &command, Instant now, std::uint64_t random);
    ReplicaRequirements currentRequirements(const AcquireReplica &command, Instant now) const;
    void grantHedge(AcquireReplica command, Instant now);
    std::optional<HedgeDenial> denialOf(const AcquireReplica &command, Instant now,
                                        std::uint64_t random);
    void trackAttempt(ReplicaLease &lease, const AcquireReplica &command,
                      std::optional<Duration> forecast, Instant now);
    void trackRelease(const LeaseReleased &command, Instant now);
    bool rejectIfTimedOut(const AcquireReplica &command, const PendingRequest &request, Instant now,
                          std::size_t backlog);
    void reject(const AcquireReplica &command, Instant now, ErrorKind kind, std::size_t backlog);
    /** @returns the regions that the configuration in force allows a request */
    RegionRule regionRuleOf(const AcquireReplica &command) const;
    /** Counts a request that is rejected because no allowed region has a backend server for it. */
    void countRegionRejection();
    void recordSaturation(Instant now);
    void publishDemand(Instant now);
    void dispatchPending();
    HttpConnectionPtr acquirePooledConnection(const Address &address, Instant now);
    void closeExpiredConnections(Instant now);
    void closePooledConnections(const Address &address);
    void recordAvailability(Instant now);
    void recordColdServers(Instant now);
    void awaitStart(const ReplicaLease &lease, const AcquireReplica &command);
    void expireLateStarts(Instant now);
    bool mayDeny(Instant now) const;
    SharedRetryBudget &retryBudget(const ServiceName &service);
    Instant estimateFirstAttempt(const Route &route, std::optional<Duration> remaining,
                                 Instant now);
    std::optional<ModelName> modelOf(const ServiceName &service) const;
    std::optional<std::uint64_t> expectedWeightsVersion(const ReplicaEntry &replica,
                                                        Instant now) const;
    std::optional<Instant> startDeadline(const ReplicaEntry &replica, Instant now) const;
    WeightsRequirement weightsRequirement(const ServiceName &service, Instant now) const;

    asio::any_io_executor m_executor;
    DispatcherOptions m_options;
    DispatcherHooks m_hooks;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
    MailboxPtr<DispatchCommand> m_mailbox;
    RouteTablePtr m_table;
    /** m_table is the newest configuration of those accepted before this time. */
    Instant m_tableCompleteAsOf;
    LoadBalancer m_loads;
    std::map<ServiceName, SharedRetryBudget> m_retryBudgets;
    std::map<ServiceName, DemandMeter> m_demands;
    /** Services of which callers ask for more than the backend servers can do. */
    std::set<ServiceName> m_saturated;
    ServiceOutages m_outages;
    Instant m_demandPublishedAt;
    /**
     * The longest remaining time that callers of each route have sent. A caller sends its longest
     * one with its first attempt.
     */
    std::map<RouteName, Duration> m_longestTimeouts;
    WeightsDeadlines m_weights;
    std::uint64_t m_lastLease = 0;
    /** By lease; only for services with engines. */
    std::map<std::uint64_t, AwaitedStart> m_awaitedStarts;
    PartVerdicts m_verdicts;
    HedgeTracker m_hedges;
    /** By the id that the queue orders; increases with each request. */
    std::map<std::uint64_t, AcquireReplica> m_pending;
    PendingQueue m_queue;
    std::uint64_t m_lastPending = 0;
    /** By service and level of priority; only where requests of the service differ in it. */
    std::map<std::pair<ServiceName, std::uint32_t>, DemandMeter> m_levelDemands;
    /** Requests that have left a slot or their place to more urgent ones since the last line. */
    std::map<ServiceName, YieldCounts> m_yielded;
    Instant m_yieldedLoggedAt;
    std::map<Address, std::deque<PooledConnection>> m_connectionPool;
    /** Why backend servers got no requests when this was last recorded. */
    std::map<ReplicaId, UnavailableCause> m_unavailable;
    /** The backend servers that were cold when this was last recorded. */
    std::set<ReplicaId> m_cold;
    /** The largest number of entries that were known to be running at the same time. */
    std::uint32_t m_entryCount;
};

} // namespace greengageseam
