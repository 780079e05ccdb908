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
    Routed routed;
    ServiceName service;
    /** Estimated time of the caller's first attempt, which precedes this one if it is a retry. */
    Instant askedAt;
};

/** Asks for the route of a request; counts the request towards the retry budget. */
struct AdmitCall
{
    std::string host;
    std::string target;
    /** The API key of the caller. */
    std::string key;
    /** How long the caller waits for the response; empty if it did not specify this. */
    std::optional<Duration> remaining;
    MailboxPtr<Outcome<Admission>> reply;
};

/** A slot reserved on a backend server for one upstream attempt. */
struct ReplicaLease
{
    ReplicaEntry replica;
    /** A pooled connection; null if there is none or the request may not use one. */
    HttpConnectionPtr connection;
    /** Version of the weights that the backend server must run; empty if any version will do. */
    std::optional<std::uint64_t> weights;
    /**
     * The response must have started by then, because newer weights are required from that time
     * on; empty if no newer version was announced.
     */
    std::optional<Instant> beginBy;
    /** The response will miss its latency target, so other requests take priority. */
    bool isLate = false;
};

/** No backend server could be reserved for a request. */
struct NoReplica
{
    ErrorKind kind = ErrorKind::Overloaded;
    /** Time after which the caller may retry. */
    Duration retryAfter {};

    auto operator<=>(const NoReplica &) const = default;
};

/** Asks to reserve a slot on a backend server, and queues the request while none is free. */
struct TakeReplica
{
    std::string attemptId;
    ReplicaWish wish;
    /** Whether this is not the first upstream attempt, so that it uses the retry budget. */
    bool isAgain = false;
    /** Whether the request may be sent on a pooled connection. */
    bool wantsIdle = false;
    /** Time until which the request may wait for a backend server with a free slot. */
    Instant waitUntil;
    /**
     * Time until which it may wait while no backend server of the service is usable, or once it
     * has missed its latency target.
     */
    Instant waitForAnyUntil;
    /** Time at which the caller's own timeout expires. */
    Instant deadline;
    /** Time at which the latency target is missed if the response has not started. */
    Instant lateFrom;
    MailboxPtr<std::variant<ReplicaLease, NoReplica>> reply;
};

/** The response to an upstream attempt has started. */
struct LeaseBegun
{
    ReplicaId replica;
    double promptTokens = 0;
};

/** An upstream attempt has finished and releases its slot. */
struct LeaseEnded
{
    ReplicaId replica;
    Address address;
    ReplicaVerdict verdict = ReplicaVerdict::Neutral;
    /** Whether ResponseStarted was sent for this attempt. */
    bool hasBegun = false;
    double promptTokens = 0;
    /**
     * Time from sending the request to the start of the response. If the attempt timed out in
     * silence, it is the time waited; otherwise it is empty if no start was recorded.
     */
    std::optional<Duration> answeredAfter;
    /** The connection, if it can be reused; otherwise null. */
    HttpConnectionPtr connection;
    /** How long the backend server keeps an idle connection open; empty if it did not say. */
    std::optional<Duration> keptFor;
};

/** A new configuration applies. */
struct RoutesChanged
{
    RouteTablePtr table;
};

/** The list of backend servers has changed. */
struct ReplicasChanged
{
    std::vector<ReplicaEntry> entries;
};

/** The operator has announced a target version of a model's weights. */
struct WeightsNamed
{
    NamedVersion named;
    /** Start of the period within which the version must be applied. */
    Instant at;
};

/** A load report has arrived from an agent. */
struct LoadHeard
{
    LoadReport report;
};

/** The number of entries that are known to be running has changed. */
struct EntriesCounted
{
    std::uint32_t entries = 1;
};

/** Periodic tick, which expires pending requests and pooled connections. */
struct DispatchTick
{ };

/** Messages to the dispatcher. */
using DispatchCommand =
        std::variant<AdmitCall, TakeReplica, LeaseBegun, LeaseEnded, RoutesChanged, ReplicasChanged,
                     WeightsNamed, LoadHeard, EntriesCounted, DispatchTick>;

/** Limits of the dispatcher. */
struct DispatcherOptions
{
    LoadBookOptions loads;
    FleetBounds bounds;
    /** Limit of pooled connections to one backend server. */
    std::size_t maxIdle = 12;
    /** Limit of requests that wait for a backend server at the same time. */
    std::size_t maxWaiting = 512;
};

/** Assigns requests to backend servers, queues them while all are busy, and sheds overload. */
class Dispatcher : public std::enable_shared_from_this<Dispatcher>
{
public:
    Dispatcher(const asio::any_io_executor &executor, DispatcherOptions options,
               std::shared_ptr<Metrics> metrics, Log log);

    /** @returns the mailbox that takes commands */
    const MailboxPtr<DispatchCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    struct Idle
    {
        HttpConnectionPtr connection;
        Instant until;
    };

    Awaitable<void> run();
    void apply(const AdmitCall &command);
    void apply(const TakeReplica &command);
    void apply(const LeaseBegun &command);
    void apply(const LeaseEnded &command);
    void apply(const RoutesChanged &command);
    void apply(const ReplicasChanged &command);
    void apply(const WeightsNamed &command);
    void apply(const LoadHeard &command);
    void apply(const EntriesCounted &command);
    void apply(const DispatchTick &command);
    bool tryTake(const TakeReplica &command, Instant now);
    bool refuseIfDue(const TakeReplica &command, Instant now);
    void refuse(const TakeReplica &command, Instant now, ErrorKind kind);
    void serveWaiting();
    HttpConnectionPtr takeIdle(const Address &address, Instant now);
    void dropIdle(Instant now);
    RetryAllowance &allowance(const ServiceName &service);
    Instant askedAt(const Route &route, std::optional<Duration> remaining, Instant now);
    std::optional<std::uint64_t> expectedWeights(const ReplicaEntry &replica, Instant now) const;
    std::optional<Instant> beginBy(const ReplicaEntry &replica, Instant now) const;
    std::uint64_t requiredWeights(const ServiceName &service, Instant now) const;

    asio::any_io_executor m_executor;
    DispatcherOptions m_options;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
    MailboxPtr<DispatchCommand> m_mailbox;
    RouteTablePtr m_table;
    LoadBook m_loads;
    std::map<ServiceName, RetryAllowance> m_allowances;
    /**
     * The longest remaining time that callers of each route have sent. A caller sends its longest
     * one with its first attempt.
     */
    std::map<RouteName, Duration> m_patience;
    /** Target versions of each model's weights, with the time at which each was announced. */
    std::map<ModelName, std::map<std::uint64_t, Instant>> m_named;
    std::deque<TakeReplica> m_waiting;
    std::map<Address, std::deque<Idle>> m_idle;
    /** The largest number of entries that were known to be running at the same time. */
    std::uint32_t m_entries;
};

} // namespace greengageseam
