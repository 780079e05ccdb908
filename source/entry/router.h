/**
 * The task that admits requests: account, limits, version, backend server.
 */
#pragma once

#include "core/config/config.h"
#include "core/once/agentstamp.h"
#include "core/routing/routing.h"
#include "entry/fleetkeeper.h"
#include "net/log.h"
#include "net/mailbox.h"
#include "net/metrics.h"

#include <map>
#include <memory>
#include <set>
#include <variant>

namespace greengageseam {

/** What a caller asks for, as far as the router needs to know it. */
struct RouteQuestion
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

    auto operator<=>(const RouteQuestion &) const = default;
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
    AgentStamp stamp;
    Address peerAddress;
    /** Whether the call may be sent again after it may have run. */
    bool isRepeatable = true;
};

/** Asks to admit a request; counts against the account's limits. */
struct AdmitRequest
{
    RouteQuestion question;
    MailboxPtr<Outcome<RouteGrant>> reply;
};

/** Asks for another agent for a request that was admitted before; the version stays. */
struct RouteAgain
{
    RouteQuestion question;
    RouteGrant before;
    /** Agents that were tried. */
    std::set<InstanceId> tried;
    MailboxPtr<Outcome<RouteGrant>> reply;
};

/** An attempt at an agent has ended. */
struct AttemptFinished
{
    InstanceId instance;
    bool failed = false;
};

/** A request that was admitted has ended. */
struct RequestFinished
{
    AccountName account;
};

/** Asks whether the entry can take callers. */
struct EntryReadyAsked
{
    MailboxPtr<bool> reply;
};

/** The entry is about to stop: it is not ready, but serves who still comes. */
struct DrainRouter
{ };

/** Messages to the router. */
using RouterCommand = std::variant<AdmitRequest, RouteAgain, AttemptFinished, RequestFinished,
                                   EntryReadyAsked, DrainRouter, ConfigView, FleetView>;

/** Decides on each request; it alone knows the limits and what is in flight from this entry. */
class Router : public std::enable_shared_from_this<Router>
{
public:
    Router(const asio::any_io_executor &executor, ZoneName zone, ChooseBackend choose,
           std::shared_ptr<Metrics> metrics, Log log);

    /** @returns where to send commands */
    const MailboxPtr<RouterCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    void apply(const AdmitRequest &command);
    void apply(const RouteAgain &command);
    void apply(const AttemptFinished &command);
    void apply(const RequestFinished &command);
    void apply(const EntryReadyAsked &command);
    void apply(const DrainRouter &command);
    void apply(const ConfigView &command);
    void apply(const FleetView &command);
    Outcome<RouteGrant> admit(const RouteQuestion &question);
    std::optional<Failure> chargeLimits(const Account &account);
    Outcome<RouteGrant> routeModel(const RouteQuestion &question, const Account &account);
    Outcome<RouteGrant> routeService(const RouteQuestion &question, const Account &account);
    Outcome<RouteGrant> chooseAgent(RouteGrant grant, const RouteQuestion &question,
                                    const std::set<InstanceId> &tried);
    bool canServe(const Heartbeat &agent, const RouteGrant &grant,
                  const RouteQuestion &question) const;

    asio::any_io_executor m_executor;
    ZoneName m_zone;
    ChooseBackend m_choose;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
    MailboxPtr<RouterCommand> m_mailbox;
    std::shared_ptr<const ConfigState> m_config;
    FleetView m_fleet;
    std::map<InstanceId, std::uint32_t> m_inFlight;
    std::map<AccountName, std::uint32_t> m_accountInFlight;
    std::map<AccountName, TokenBucket> m_requestBuckets;
    bool m_isDraining = false;
};

} // namespace greengageseam
