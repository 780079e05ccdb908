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

std::string textOf(BindingLimit limit)
{
    switch (limit) {
    case BindingLimit::Requests:
        return "requests per second";
    case BindingLimit::Tokens:
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

RouterOptions RouterOptions::withLongestWait(Duration value) const
{
    RouterOptions options = *this;
    options.longestWait = value;
    return options;
}

Router::Router(const asio::any_io_executor &executor, ZoneName zone, ChooseBackend choose,
               RouterOptions options, std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_zone(std::move(zone)), m_options(options),
      m_metrics(std::move(metrics)), m_log(std::move(log)),
      m_mailbox(makeMailbox<RouterCommand>(executor, mailboxCapacity)),
      m_index(std::move(choose), options.health)
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
    Outcome<Placing> admitted = admit(command.question);
    if (const Failure *failure = failureOf(admitted)) {
        command.reply->post(*failure);
        return;
    }
    auto &placing = std::get<Placing>(admitted);
    placing.reply = command.reply;
    place(std::move(placing));
}

void Router::apply(const RouteAgain &command)
{
    if (!m_retries.hasRetry()) {
        command.reply->post(Failure {ErrorKind::Overloaded, "the retry budget is exhausted"});
        return;
    }
    m_retries = m_retries.retried();
    const PoolKey pool {command.before.manifest, command.question.service};
    place({command.question, command.before, pool, command.tried, command.reply});
}

void Router::apply(const AttemptFinished &command)
{
    const double seconds = std::chrono::duration<double>(command.took).count();
    const bool wasEjected = m_index.isEjected(command.instance);
    m_index.finished(command.instance, command.verdict, seconds, monotonicNow());
    if (!wasEjected && m_index.isEjected(command.instance)) {
        m_metrics->count("backend_ejections_total",
                         "Backend servers ejected after consecutive failures");
        m_log.warning("backend.ejected", {{"agent", command.instance.text()}});
    }
    dispatch();
}

void Router::apply(const RequestFinished &command)
{
    const auto it = m_meters.find(command.account);
    if (it != m_meters.end()) {
        it->second = it->second.finished(command.charged, command.used);
    }
}

void Router::apply(const EntryReadyAsked &command)
{
    command.reply->post(m_config != nullptr && !m_isDraining);
}

void Router::apply(const DrainRouter &)
{
    m_isDraining = true;
}

void Router::apply(const SharesGranted &command)
{
    m_shares = command.shares;
    updateMeters();
}

void Router::apply(const RouterTick &)
{
    const Instant now = monotonicNow();
    for (auto &[pool, queue] : m_queues) {
        for (const std::uint64_t ticket : queue.expire(now)) {
            refuseWaiting(ticket, "no backend server had capacity in time");
        }
    }
    dispatch();
}

void Router::apply(const ConfigView &command)
{
    m_config = command.state;
    m_accounts.clear();
    for (const auto &[name, account] : m_config->table.accounts) {
        m_accounts.emplace(account.key, &account);
    }
    std::erase_if(m_meters, [this](const auto &it) {
        return !m_config->table.accounts.contains(it.first) && it.second.inProgress() == 0;
    });
    updateMeters();
}

void Router::apply(const FleetView &command)
{
    m_fleet = command;
    std::vector<BackendReport> reports;
    reports.reserve(m_fleet.usable.size());
    for (const UsableAgent &agent : m_fleet.usable) {
        reports.push_back({agent.last.instance, poolsOf(agent.last), agent.last.inFlight,
                           agent.last.sequence});
    }
    m_index.update(reports, monotonicNow());
    dispatch();
}

Outcome<Router::Placing> Router::admit(const RouteQuestion &question)
{
    if (m_config == nullptr) {
        return Failure {ErrorKind::NotReady, "this entry has no configuration yet"};
    }
    const auto account = m_accounts.find(question.key);
    if (account == m_accounts.end()) {
        return Failure {ErrorKind::Unauthenticated, "the bearer key does not belong to an account"};
    }
    Outcome<Placing> placing = question.service.isEmpty()
            ? routeModel(question, *account->second)
            : routeService(question, *account->second);
    if (failureOf(placing) != nullptr) {
        return placing;
    }
    if (const auto failure = chargeLimits(*account->second, question.estimatedTokens)) {
        m_metrics->count("requests_limited_total",
                         "Requests rejected because of an account's limits",
                         {{"account", account->second->name.text()}});
        return *failure;
    }
    m_retries = m_retries.admitted();
    return placing;
}

std::optional<Failure> Router::chargeLimits(const Account &account, std::uint32_t tokens)
{
    const Instant now = monotonicNow();
    auto it = m_meters.find(account.name);
    if (it == m_meters.end()) {
        const auto share = m_shares.find(account.name);
        const AccountLimits limits =
                limitsOf(account, share == m_shares.end() ? wholeShare : share->second);
        it = m_meters.emplace(account.name, AccountMeter(limits, now)).first;
    }
    it->second = it->second.at(now);
    const BindingLimit binding = it->second.binding(tokens);
    if (binding != BindingLimit::None) {
        return Failure {ErrorKind::LimitExceeded,
                        "the account's limit of " + textOf(binding) + " at this entry is reached"};
    }
    it->second = it->second.admitted(tokens);
    return std::nullopt;
}

Outcome<Router::Placing> Router::routeModel(const RouteQuestion &question, const Account &account)
{
    const VersionChoice version = chooseVersion(
            m_config->table, question.model, m_zone, account.name,
            [this](const Row &row) { return m_index.serves({row.manifest, ServiceName()}); },
            randomNumber());
    if (!version.isOffered) {
        return Failure {ErrorKind::UnknownModel,
                        "model '" + question.model.text() + "' is not offered in this zone"};
    }
    if (version.row == nullptr) {
        return Failure {ErrorKind::NoBackendServer,
                        "no backend server currently serves this model"};
    }
    Placing placing;
    placing.question = question;
    placing.pool.manifest = version.row->manifest;
    placing.grant.account = account.name;
    placing.grant.priority = account.priority;
    placing.grant.manifest = version.row->manifest;
    return placing;
}

Outcome<Router::Placing> Router::routeService(const RouteQuestion &question, const Account &account)
{
    const auto it = m_config->table.services.find(question.service);
    if (it == m_config->table.services.end()) {
        return Failure {ErrorKind::UnknownService,
                        "service '" + question.service.text() + "' is not configured"};
    }
    Placing placing;
    placing.question = question;
    placing.pool.service = question.service;
    placing.grant.account = account.name;
    placing.grant.priority = account.priority;
    placing.grant.isRepeatable = it->second.isRepeatable(question.method, question.path);
    return placing;
}

void Router::updateMeters()
{
    const Instant now = monotonicNow();
    for (auto &[name, meter] : m_meters) {
        const auto account = m_config ? m_config->table.accounts.find(name)
                                      : decltype(m_config->table.accounts.find(name)) {};
        if (!m_config || account == m_config->table.accounts.end()) {
            continue;
        }
        const auto share = m_shares.find(name);
        meter = meter.withLimits(
                limitsOf(account->second, share == m_shares.end() ? wholeShare : share->second),
                now);
    }
}

} // namespace greengageseam
