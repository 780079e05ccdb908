/**
 * The task that admits requests: account, limits, version, backend server.
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

/** What a caller asks for, as far as the router needs to know it. */
struct RouteQuery
{
    /** Digest of the caller's bearer key. */
    Digest key;
    /** Empty for a plain service. */
    ModelName model;
    /** Empty for a model. */
    ServiceName service;
    std::string method;
    /** Path below the service. */
    std::string path;
    /** Tokens that the request may cost; charged at once, settled at its end. */
    std::uint32_t estimatedTokens = 0;
    /** Time by which the caller wants the whole answer. */
    Instant deadline = Instant::max();

    auto operator<=>(const RouteQuery &) const = default;
};

/** Permission to hand one attempt to one agent. */
struct RouteGrant
{
    AccountName account;
    std::uint32_t priority = 1;
    InstanceId instance;
    PeerLinkHandle link;
    /** Version that has to serve the request; empty for a plain service. */
    Digest manifest;
    Offset incarnation;
    /** The agent's clock as last heard; goes with each attempt and claim. */
    AgentTimestamp agentTimestamp;
    Address peerAddress;
    /** Whether the call may be sent again after it may have run. */
    bool isIdempotent = true;
};

/** Asks to admit a request; counts against the account's limits. */
struct AdmitRequest
{
    RouteQuery query;
    MailboxPtr<Outcome<RouteGrant>> reply;
};

/** Asks for another agent for a request that was admitted before; the version stays. */
struct RouteRetry
{
    RouteQuery query;
    RouteGrant previous;
    /** Agents that were tried. */
    std::set<InstanceId> triedAgents;
    MailboxPtr<Outcome<RouteGrant>> reply;
};

/** An attempt at an agent has ended. */
struct AttemptFinished
{
    InstanceId instance;
    AttemptVerdict verdict = AttemptVerdict::Neutral;
    Duration elapsed {};
};

/** A request that was admitted has ended. */
struct RequestFinished
{
    AccountName account;
    /** Tokens that were charged when it was admitted. */
    std::uint32_t charged = 0;
    std::uint32_t used = 0;
};

/** Asks whether the entry can take callers. */
struct ReadinessQuery
{
    MailboxPtr<bool> reply;
};

/** The entry is about to stop: it is not ready, but serves who still comes. */
struct DrainRouter
{ };

/** What this entry may let through of each account's limits. */
struct SharesUpdated
{
    std::map<AccountName, ShareMillionths> shares;
};

/** Time passes. */
struct RouterTick
{ };

/** Messages to the router. */
using RouterCommand =
        std::variant<AdmitRequest, RouteRetry, AttemptFinished, RequestFinished, ReadinessQuery,
                     DrainRouter, SharesUpdated, RouterTick, ConfigView, FleetView>;

/** How the router behaves under load. */
struct RouterOptions
{
    /** Longest time that a request waits for a backend server. */
    Duration maxQueueTime = std::chrono::milliseconds(500);
    QueueOptions queue;
    HealthOptions health;

    RouterOptions withMaxQueueTime(Duration value) const;
    auto operator<=>(const RouterOptions &) const = default;
};

/** Decides on each request; it alone knows the limits and what is in flight from this entry. */
class Router : public std::enable_shared_from_this<Router>
{
public:
    Router(const asio::any_io_executor &executor, ZoneName zone, ChooseBackend choose,
           RouterOptions options, std::shared_ptr<Metrics> metrics, Log log);

    /** @returns where to send commands */
    const MailboxPtr<RouterCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    /** A request on its way to a backend server. */
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
    /** Accounts of m_config by the digests of their keys. */
    std::unordered_map<Digest, const Account *> m_accounts;
    FleetView m_fleet;
    /** Invariant: its first positions are those of m_fleet.usable. */
    BackendIndex m_backends;
    std::map<AccountName, AccountMeter> m_accountMeters;
    /** Without an entry for an account, the whole limit is this entry's. */
    std::map<AccountName, ShareMillionths> m_accountShares;
    RetryBudget m_retryBudget;
    std::map<PoolKey, AdmissionQueue> m_queues;
    /** Invariant: the tickets of all queues, and no others. */
    std::unordered_map<std::uint64_t, RoutedRequest> m_queuedRequests;
    std::uint64_t m_lastTicket = 0;
    bool m_isDraining = false;
};

} // namespace greengageseam
