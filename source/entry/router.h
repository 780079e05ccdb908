/**
 * The task that admits requests: authenticates the account, applies its limits, and chooses the
 * model version and the backend server.
 */
#pragma once

#include "core/config/config.h"
#include "core/once/agenttimestamp.h"
#include "core/routing/routing.h"
#include "entry/fleetmanager.h"
#include "net/log.h"
#include "net/mailbox.h"
#include "net/metrics.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <variant>

namespace greengageseam {

/** The properties of a caller's request that admission and routing depend on. */
struct RouteQuery
{
    /** Digest of the caller's bearer key. */
    Digest key;
    /** Model name; empty for a plain service. */
    ModelName model;
    /** Service name; empty for a model. */
    ServiceName service;
    std::string method;
    /** Path below the service, without the query string. */
    std::string path;
    /** Estimated cost in tokens; charged at admission, corrected when the request has finished. */
    std::uint32_t estimatedTokens = 0;
    /** Time by which the response has to be complete. */
    Instant deadline = Instant::max();

    auto operator<=>(const RouteQuery &) const = default;
};

/** Permission to send one attempt to one agent. */
struct RouteGrant
{
    AccountName account;
    std::uint32_t priority = 1;
    InstanceId instance;
    PeerLinkHandle link;
    /** Model version that has to serve the request; empty for a plain service. */
    Digest manifest;
    Offset incarnation;
    /** The agent's clock in its latest heartbeat; sent with each attempt and cancellation. */
    AgentTimestamp agentTimestamp;
    Address peerAddress;
    /** True if the request may be retried although an earlier attempt may have been executed. */
    bool isIdempotent = true;
};

/** Requests admission; charges the account's limits if the request is admitted. */
struct AdmitRequest
{
    RouteQuery query;
    MailboxPtr<Outcome<RouteGrant>> reply;
};

/** Requests another agent for an admitted request; the model version stays the same. */
struct RouteRetry
{
    RouteQuery query;
    RouteGrant previous;
    /** Agents that were tried already. */
    std::set<InstanceId> triedAgents;
    MailboxPtr<Outcome<RouteGrant>> reply;
};

/** An attempt at an agent has finished. */
struct AttemptFinished
{
    InstanceId instance;
    AttemptVerdict verdict = AttemptVerdict::Neutral;
    Duration elapsed {};
};

/** An admitted request has finished. */
struct RequestFinished
{
    AccountName account;
    /** Tokens charged at admission. */
    std::uint32_t charged = 0;
    std::uint32_t used = 0;
};

/** Queries whether the entry is ready to serve callers. */
struct ReadinessQuery
{
    MailboxPtr<bool> reply;
};

/** The entry is about to stop: it reports "not ready", but still admits requests. */
struct DrainRouter
{ };

/** The share of each account's limits that this entry may admit. */
struct SharesUpdated
{
    std::map<AccountName, ShareMillionths> shares;
};

/** Timer tick: rejects queued requests whose queue time is over, and dispatches others. */
struct RouterTick
{ };

/** Messages to the Router. */
using RouterCommand =
        std::variant<AdmitRequest, RouteRetry, AttemptFinished, RequestFinished, ReadinessQuery,
                     DrainRouter, SharesUpdated, RouterTick, ConfigView, FleetView>;

/** Limits of a Router. */
struct RouterOptions
{
    /** Longest time that a request is queued until a backend server has capacity. */
    Duration maxQueueTime = std::chrono::milliseconds(500);
    QueueOptions queue;
    HealthOptions health;

    RouterOptions withMaxQueueTime(Duration value) const;
    auto operator<=>(const RouterOptions &) const = default;
};

/** Owns the account meters, the queues and the counts of requests in flight from this entry. */
class Router : public std::enable_shared_from_this<Router>
{
public:
    Router(const asio::any_io_executor &executor, ZoneName zone, ChooseBackend choose,
           RouterOptions options, std::shared_ptr<Metrics> metrics, Log log);

    /** @returns the mailbox of the task */
    const MailboxPtr<RouterCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    /** An admitted request that waits for a backend server. */
    struct RoutedRequest
    {
        RouteQuery query;
        RouteGrant grant;
        PoolKey pool;
        std::set<InstanceId> triedAgents;
        MailboxPtr<Outcome<RouteGrant>> reply;
    };

    Awaitable<void> run();
    void apply(const AdmitRequest &command);
    void apply(const RouteRetry &command);
    void apply(const AttemptFinished &command);
    void apply(const RequestFinished &command);
    void apply(const ReadinessQuery &command);
    void apply(const DrainRouter &command);
    void apply(const SharesUpdated &command);
    void apply(const RouterTick &command);
    void apply(const ConfigView &command);
    void apply(const FleetView &command);
    Outcome<RoutedRequest> admit(const RouteQuery &query);
    std::optional<Failure> chargeLimits(const Account &account, std::uint32_t tokens);
    Outcome<RoutedRequest> routeModel(const RouteQuery &query, const Account &account);
    Outcome<RoutedRequest> routeService(const RouteQuery &query, const Account &account);
    void dispatchOrQueue(RoutedRequest routed);
    std::optional<RouteGrant> tryDispatch(const RoutedRequest &routed);
    void enqueue(RoutedRequest routed);
    void dispatchQueued();
    void dispatchQueued(const PoolKey &pool, AdmissionQueue &queue);
    void reject(const RoutedRequest &routed, const Failure &failure);
    void rejectQueued(std::uint64_t ticket, const std::string &reason);
    void updateMeters();

    asio::any_io_executor m_executor;
    ZoneName m_zone;
    RouterOptions m_options;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
    MailboxPtr<RouterCommand> m_mailbox;
    std::shared_ptr<const ConfigState> m_config;
    /** Accounts of m_config, by the digests of their keys. */
    std::unordered_map<Digest, const Account *> m_accounts;
    FleetView m_fleet;
    /** Invariant: the first positions are those of m_fleet.usableAgents. */
    BackendIndex m_backends;
    std::map<AccountName, AccountMeter> m_accountMeters;
    /** Shares of account limits; an account that is missing has its full limit at this entry. */
    std::map<AccountName, ShareMillionths> m_accountShares;
    RetryBudget m_retryBudget;
    std::map<PoolKey, AdmissionQueue> m_queues;
    /** Queued requests by ticket. Invariant: contains exactly the tickets of all queues. */
    std::unordered_map<std::uint64_t, RoutedRequest> m_queuedRequests;
    std::uint64_t m_lastTicket = 0;
    bool m_isDraining = false;
};

} // namespace greengageseam
