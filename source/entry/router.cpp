/**
 * Admission of requests, and updates of the router's view of configuration, agents and limits.
 */
#include "entry/router.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 8192;
constexpr auto tickPeriod = std::chrono::milliseconds(50);

std::string textOf(ExceededLimit limit)
{
    switch (limit) {
    case ExceededLimit::Requests:
        return "requests per second";
    case ExceededLimit::Tokens:
        return "tokens per second";
    default:
        return "requests in progress";
    }
}

std::vector<PoolKey> poolsOf(const Heartbeat &agent)
{
    if (agent.kind == BackendKind::Service) {
        return {{Digest(), agent.service}};
    }
    std::vector<PoolKey> pools;
    for (const Digest &manifest : agent.serving) {
        pools.push_back({manifest, ServiceName()});
    }
    return pools;
}

} // namespace

RouterOptions RouterOptions::withMaxQueueTime(Duration value) const
{
    RouterOptions options = *this;
    options.maxQueueTime = value;
    return options;
}

Router::Router(const asio::any_io_executor &executor, ZoneName zone, ChooseBackend choose,
               RouterOptions options, std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_zone(std::move(zone)), m_options(options),
      m_metrics(std::move(metrics)), m_log(std::move(log)),
      m_mailbox(makeMailbox<RouterCommand>(executor, mailboxCapacity)),
      m_backends(std::move(choose), options.health)
{ }

void Router::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, tickPeriod, [mailbox = m_mailbox] {
        mailbox->post(RouterTick {});
        return true;
    });
}

Awaitable<void> Router::run()
{
    while (std::optional<RouterCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void Router::apply(const AdmitRequest &command)
{
    Outcome<RoutedRequest> admitted = admit(command.query);
    if (const Failure *failure = failureOf(admitted)) {
        command.reply->post(*failure);
        return;
    }
    auto &routed = std::get<RoutedRequest>(admitted);
    routed.reply = command.reply;
    dispatchOrQueue(std::move(routed));
}

void Router::apply(const RouteRetry &command)
{
    if (!m_retryBudget.canRetry()) {
        command.reply->post(Failure {ErrorKind::Overloaded, "the retry budget is exhausted"});
        return;
    }
    m_retryBudget = m_retryBudget.retried();
    const PoolKey pool {command.previous.manifest, command.query.service};
    dispatchOrQueue({command.query, command.previous, pool, command.triedAgents, command.reply});
}

void Router::apply(const AttemptFinished &command)
{
    const double seconds = std::chrono::duration<double>(command.elapsed).count();
    const bool wasEjected = m_backends.isEjected(command.instance);
    m_backends.finished(command.instance, command.verdict, seconds, monotonicNow());
    if (!wasEjected && m_backends.isEjected(command.instance)) {
        m_metrics->count("backend_ejections_total",
                         "Backend servers ejected after consecutive failures");
        m_log.warning("backend.ejected", {{"agent", command.instance.text()}});
    }
    dispatchQueued();
}

void Router::apply(const RequestFinished &command)
{
    const auto it = m_accountMeters.find(command.account);
    if (it != m_accountMeters.end()) {
        it->second = it->second.finished(command.charged, command.used);
    }
}

void Router::apply(const ReadinessQuery &command)
{
    command.reply->post(m_config != nullptr && !m_isDraining);
}

void Router::apply(const DrainRouter &)
{
    m_isDraining = true;
}

void Router::apply(const SharesUpdated &command)
{
    m_accountShares = command.shares;
    updateMeters();
}

void Router::apply(const RouterTick &)
{
    const Instant now = monotonicNow();
    for (auto &[pool, queue] : m_queues) {
        for (const std::uint64_t ticket : queue.expire(now)) {
            rejectQueued(ticket, "no backend server had capacity in time");
        }
    }
    dispatchQueued();
}

void Router::apply(const ConfigView &command)
{
    m_config = command.state;
    m_accounts.clear();
    for (const auto &[name, account] : m_config->table.accounts) {
        m_accounts.emplace(account.key, &account);
    }
    std::erase_if(m_accountMeters, [this](const auto &it) {
        return !m_config->table.accounts.contains(it.first) && it.second.inProgress() == 0;
    });
    updateMeters();
}

void Router::apply(const FleetView &command)
{
    m_fleet = command;
    std::vector<BackendReport> reports;
    reports.reserve(m_fleet.usableAgents.size());
    for (const UsableAgent &agent : m_fleet.usableAgents) {
        reports.push_back({agent.lastHeartbeat.instance, poolsOf(agent.lastHeartbeat),
                           agent.lastHeartbeat.inFlight, agent.lastHeartbeat.sequence});
    }
    m_backends.update(reports, monotonicNow());
    dispatchQueued();
}

Outcome<Router::RoutedRequest> Router::admit(const RouteQuery &query)
{
    if (m_config == nullptr) {
        return Failure {ErrorKind::NotReady, "this entry has no configuration yet"};
    }
    const auto account = m_accounts.find(query.key);
    if (account == m_accounts.end()) {
        return Failure {ErrorKind::Unauthenticated, "the bearer key does not belong to an account"};
    }
    Outcome<RoutedRequest> routed = query.service.isEmpty() ? routeModel(query, *account->second)
                                                            : routeService(query, *account->second);
    if (failureOf(routed) != nullptr) {
        return routed;
    }
    if (const auto failure = chargeLimits(*account->second, query.estimatedTokens)) {
        m_metrics->count("requests_limited_total",
                         "Requests rejected because of an account's limits",
                         {{"account", account->second->name.text()}});
        return *failure;
    }
    m_retryBudget = m_retryBudget.admitted();
    return routed;
}

std::optional<Failure> Router::chargeLimits(const Account &account, std::uint32_t tokens)
{
    const Instant now = monotonicNow();
    auto it = m_accountMeters.find(account.name);
    if (it == m_accountMeters.end()) {
        const auto share = m_accountShares.find(account.name);
        const AccountLimits limits =
                limitsForShare(account, share == m_accountShares.end() ? fullShare : share->second);
        it = m_accountMeters.emplace(account.name, AccountMeter(limits, now)).first;
    }
    it->second = it->second.at(now);
    const ExceededLimit exceeded = it->second.exceededLimit(tokens);
    if (exceeded != ExceededLimit::None) {
        return Failure {ErrorKind::LimitExceeded,
                        "the account's limit of " + textOf(exceeded) + " at this entry is reached"};
    }
    it->second = it->second.admitted(tokens);
    return std::nullopt;
}

Outcome<Router::RoutedRequest> Router::routeModel(const RouteQuery &query, const Account &account)
{
    const VersionChoice version = chooseVersion(
            m_config->table, query.model, m_zone, account.name,
            [this](const ModelVersion &modelVersion) {
                return m_backends.serves({modelVersion.manifest, ServiceName()});
            },
            randomNumber());
    if (!version.isOffered) {
        return Failure {ErrorKind::UnknownModel,
                        "model '" + query.model.text() + "' is not offered in this zone"};
    }
    if (version.row == nullptr) {
        return Failure {ErrorKind::NoBackendServer,
                        "no backend server currently serves this model"};
    }
    RoutedRequest routed;
    routed.query = query;
    routed.pool.manifest = version.row->manifest;
    routed.grant.account = account.name;
    routed.grant.priority = account.priority;
    routed.grant.manifest = version.row->manifest;
    return routed;
}

Outcome<Router::RoutedRequest> Router::routeService(const RouteQuery &query, const Account &account)
{
    const auto it = m_config->table.services.find(query.service);
    if (it == m_config->table.services.end()) {
        return Failure {ErrorKind::UnknownService,
                        "service '" + query.service.text() + "' is not configured"};
    }
    RoutedRequest routed;
    routed.query = query;
    routed.pool.service = query.service;
    routed.grant.account = account.name;
    routed.grant.priority = account.priority;
    routed.grant.isIdempotent = it->second.isIdempotent(query.method, query.path);
    return routed;
}

void Router::updateMeters()
{
    const Instant now = monotonicNow();
    for (auto &[name, meter] : m_accountMeters) {
        const auto account = m_config ? m_config->table.accounts.find(name)
                                      : decltype(m_config->table.accounts.find(name)) {};
        if (!m_config || account == m_config->table.accounts.end()) {
            continue;
        }
        const auto share = m_accountShares.find(name);
        meter = meter.withLimits(
                limitsForShare(account->second,
                               share == m_accountShares.end() ? fullShare : share->second),
                now);
    }
}

} // namespace greengageseam
