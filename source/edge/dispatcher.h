/**
 * The task that holds the routes, the backend servers with their loads, the waiting requests and
 * the idle connections of an entry.
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

/** Where an admitted request goes. */
struct Admission
{
    /** Keeps what @ref routed points to. */
    RouteTablePtr table;
    RouteMatch routed;
    ServiceName service;
    /** When the caller is likely to have asked first. */
    Instant firstAttemptAt;
};

/** Asks where a request goes. */
struct AdmissionQuery
{
    std::string host;
    std::string target;
    std::string key;
    /** How long the caller will wait; nothing if it does not say. */
    std::optional<Duration> remaining;
    MailboxPtr<Outcome<Admission>> reply;
};

/** A backend server that a request may be sent to. */
struct ReplicaLease
{
    ReplicaEntry replica;
    /** An idle connection to it; null if there is none or none was wanted. */
    HttpConnectionPtr connection;
    /** Weights that the backend server must have; nothing if any will do. */
    std::optional<std::uint64_t> weightsVersion;
    /** The request must have begun by then, since newer weights are required from then on. */
    std::optional<Instant> startDeadline;
    /** The answer will be late, so others go first. */
    bool isLate = false;
};

/** Why a request is not sent anywhere. */
struct ReplicaUnavailable
{
    ErrorKind kind = ErrorKind::Overloaded;
    /** When to come back. */
    Duration retryAfter {};

    auto operator<=>(const ReplicaUnavailable &) const = default;
};

/** Asks for a backend server, and waits for one. */
struct AcquireReplica
{
    std::string attemptId;
    ReplicaRequirements requirements;
    /** Whether this is not the first send of the request. */
    bool isRetry = false;
    /** Whether an idle connection may be used. */
    bool allowsPooledConnection = false;
    /** Longest time to wait for a backend server with room. */
    Instant waitUntil;
    /** The same while no backend server can be used at all. */
    Instant extendedWaitUntil;
    /** When the caller gives the request up. */
    Instant deadline;
    /** An answer that has not begun by then is late. */
    Instant lateAfter;
    MailboxPtr<std::variant<ReplicaLease, ReplicaUnavailable>> reply;
};

/** The answer to a send has begun. */
struct ResponseStarted
{
    ReplicaId replica;
    double promptTokens = 0;
};

/** A lease has ended. */
struct LeaseReleased
{
    ReplicaId replica;
    Address address;
    ReplicaVerdict verdict = ReplicaVerdict::Neutral;
    /** Whether the beginning of the answer was told before. */
    bool isStartReported = false;
    double promptTokens = 0;
    /** Time from the send to the beginning of the answer, if there was one. */
    std::optional<Duration> timeToResponseStart;
    /** The connection, if it can be used again. */
    HttpConnectionPtr connection;
    /** How long the backend server keeps the connection. */
    std::optional<Duration> keepAliveTimeout;
};

/** A configuration is in force. */
struct RoutesChanged
{
    RouteTablePtr table;
};

/** The list of backend servers has changed. */
struct ReplicasChanged
{
    std::vector<ReplicaEntry> entries;
};

/** Weights were named. */
struct TargetVersionChanged
{
    TargetVersion targetVersion;
    Instant announcedAt;
};

/** A report of load has come. */
struct LoadReportReceived
{
    LoadReport report;
};

/** The number of entries that are known to run. */
struct EntryCountChanged
{
    std::uint32_t entries = 1;
};

/** Time passes. */
struct DispatchTick
{ };

/** Messages to the dispatcher. */
using DispatchCommand = std::variant<AdmissionQuery, AcquireReplica, ResponseStarted, LeaseReleased,
                                     RoutesChanged, ReplicasChanged, TargetVersionChanged,
                                     LoadReportReceived, EntryCountChanged, DispatchTick>;

/** Bounds of the dispatcher. */
struct DispatcherOptions
{
    LoadBalancerOptions loads;
    FleetBounds bounds;
    /** Idle connections to one backend server. */
    std::size_t maxPooledConnections = 12;
    /** Requests that wait for a backend server at a time. */
    std::size_t maxPendingRequests = 512;
};

/** Decides where requests go, and when they are refused. */
class Dispatcher : public std::enable_shared_from_this<Dispatcher>
{
public:
    Dispatcher(const asio::any_io_executor &executor, DispatcherOptions options,
               std::shared_ptr<Metrics> metrics, Log log);

    /** @returns where to send commands */
    const MailboxPtr<DispatchCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    struct PooledConnection
    {
        HttpConnectionPtr connection;
        Instant expiresAt;
    };

    Awaitable<void> run();
    void apply(const AdmissionQuery &command);
    void apply(const AcquireReplica &command);
    void apply(const ResponseStarted &command);
    void apply(const LeaseReleased &command);
    void apply(const RoutesChanged &command);
    void apply(const ReplicasChanged &command);
    void apply(const TargetVersionChanged &command);
    void apply(const LoadReportReceived &command);
    void apply(const EntryCountChanged &command);
    void apply(const DispatchTick &command);
    bool tryAcquire(const AcquireReplica &command, Instant now);
    bool rejectIfTimedOut(const AcquireReplica &command, Instant now);
    void reject(const AcquireReplica &command, Instant now, ErrorKind kind);
    void dispatchPending();
    HttpConnectionPtr acquirePooledConnection(const Address &address, Instant now);
    void closeExpiredConnections(Instant now);
    SharedRetryBudget &retryBudget(const ServiceName &service);
    Instant estimateFirstAttempt(const Route &route, std::optional<Duration> remaining,
                                 Instant now);
    std::optional<std::uint64_t> expectedWeightsVersion(const ReplicaEntry &replica,
                                                        Instant now) const;
    std::optional<Instant> startDeadline(const ReplicaEntry &replica, Instant now) const;
    std::uint64_t requiredWeightsVersion(const ServiceName &service, Instant now) const;

    asio::any_io_executor m_executor;
    DispatcherOptions m_options;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
    MailboxPtr<DispatchCommand> m_mailbox;
    RouteTablePtr m_table;
    LoadBalancer m_loads;
    std::map<ServiceName, SharedRetryBudget> m_retryBudgets;
    /** The longest that callers of a route said they will wait, which they do at their first try.
     */
    std::map<RouteName, Duration> m_longestTimeouts;
    /** Versions of the weights of each model, and when they were named. */
    std::map<ModelName, std::map<std::uint64_t, Instant>> m_targetVersions;
    std::deque<AcquireReplica> m_pending;
    std::map<Address, std::deque<PooledConnection>> m_connectionPool;
    /** The most entries that were known to run at a time. */
    std::uint32_t m_entryCount;
};

} // namespace greengageseam
