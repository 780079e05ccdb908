#include "entry/router.h"

#include "net/clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 8192;

void countDown(std::map<InstanceId, std::uint32_t> &counts, const InstanceId &key)
{
    const auto it = counts.find(key);
    if (it != counts.end() && --it->second == 0) {
        counts.erase(it);
    }
}

} // namespace

Router::Router(const asio::any_io_executor &executor, ZoneName zone, ChooseBackend choose,
               std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_zone(std::move(zone)), m_choose(std::move(choose)),
      m_metrics(std::move(metrics)), m_log(std::move(log)),
      m_mailbox(makeMailbox<RouterCommand>(executor, mailboxCapacity))
{ }

void Router::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

Awaitable<void> Router::run()
{
    while (std::optional<RouterCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void Router::apply(const AdmitRequest &command)
{
    command.reply->post(admit(command.question));
}

void Router::apply(const RouteAgain &command)
{
    command.reply->post(chooseAgent(command.before, command.question, command.tried));
}

void Router::apply(const AttemptFinished &command)
{
    countDown(m_inFlight, command.instance);
}

void Router::apply(const RequestFinished &command)
{
    const auto it = m_accountInFlight.find(command.account);
    if (it != m_accountInFlight.end() && --it->second == 0) {
        m_accountInFlight.erase(it);
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

void Router::apply(const ConfigView &command)
{
    m_config = command.state;
    m_requestBuckets.clear();
}

void Router::apply(const FleetView &command)
{
    m_fleet = command;
}

Outcome<RouteGrant> Router::admit(const RouteQuestion &question)
{
    if (m_config == nullptr) {
        return Failure {ErrorKind::NotReady, "no configuration is in force here yet"};
    }
    const Account *account = m_config->table.accountWithKey(question.key);
    if (account == nullptr) {
        return Failure {ErrorKind::Unauthenticated, "the bearer key belongs to no account"};
    }
    if (const std::optional<Failure> failure = chargeLimits(*account)) {
        m_metrics->count("requests_limited_total", "Requests refused by an account's limits",
                         {{"account", account->name.text()}});
        return *failure;
    }
    Outcome<RouteGrant> grant = question.service.isEmpty() ? routeModel(question, *account)
                                                           : routeService(question, *account);
    if (failureOf(grant) == nullptr) {
        ++m_accountInFlight[account->name];
    }
    return grant;
}

std::optional<Failure> Router::chargeLimits(const Account &account)
{
    const auto inFlight = m_accountInFlight.find(account.name);
    const std::uint32_t running = inFlight == m_accountInFlight.end() ? 0 : inFlight->second;
    if (account.concurrency && running >= *account.concurrency) {
        return Failure {ErrorKind::LimitExceeded,
                        "the account has " + std::to_string(running) + " requests in progress"};
    }
    if (!account.requestsPerSecond) {
        return std::nullopt;
    }
    const double rate = *account.requestsPerSecond;
    const Instant now = monotonicNow();
    const auto it = m_requestBuckets.try_emplace(account.name, rate, rate, now).first;
    it->second = it->second.at(now);
    if (!it->second.has(1)) {
        return Failure {ErrorKind::LimitExceeded, "the account's requests per second are used up"};
    }
    it->second = it->second.taken(1);
    return std::nullopt;
}

Outcome<RouteGrant> Router::routeModel(const RouteQuestion &question, const Account &account)
{
    const std::vector<VersionOption> options =
            versionOptions(m_config->table, question.model, m_zone, account.name);
    const std::optional<VersionOption> version = chooseVersion(options, randomNumber());
    if (!version) {
        return Failure {ErrorKind::UnknownModel,
                        "model '" + question.model.text() + "' is not offered here"};
    }
    RouteGrant grant;
    grant.account = account.name;
    grant.priority = account.priority;
    grant.manifest = version->manifest;
    return chooseAgent(std::move(grant), question, {});
}

Outcome<RouteGrant> Router::routeService(const RouteQuestion &question, const Account &account)
{
    const auto it = m_config->table.services.find(question.service);
    if (it == m_config->table.services.end()) {
        return Failure {ErrorKind::UnknownService,
                        "service '" + question.service.text() + "' is not in the table"};
    }
    RouteGrant grant;
    grant.account = account.name;
    grant.priority = account.priority;
    grant.isRepeatable = it->second.isRepeatable(question.method, question.path);
    return chooseAgent(std::move(grant), question, {});
}

Outcome<RouteGrant> Router::chooseAgent(RouteGrant grant, const RouteQuestion &question,
                                        const std::set<InstanceId> &tried)
{
    std::vector<BackendCandidate> candidates;
    std::vector<const UsableAgent *> agents;
    for (const UsableAgent &agent : m_fleet.usable) {
        if (tried.contains(agent.last.instance) || !canServe(agent.last, grant, question)) {
            continue;
        }
        const auto inFlight = m_inFlight.find(agent.last.instance);
        candidates.push_back({agent.last.instance,
                              inFlight == m_inFlight.end() ? 0 : inFlight->second,
                              agent.last.inFlight});
        agents.push_back(&agent);
    }
    const std::optional<std::size_t> chosen =
            m_choose(candidates, {randomNumber(), randomNumber()});
    if (!chosen) {
        return Failure {ErrorKind::NoBackendServer,
                        tried.empty() ? "no backend server serves this now"
                                      : "all backend servers that serve this were tried"};
    }
    const UsableAgent &agent = *agents[*chosen];
    grant.instance = agent.last.instance;
    grant.link = agent.link;
    grant.incarnation = agent.last.incarnation;
    grant.stamp = {agent.last.startedAt, agent.last.clock};
    grant.peerAddress = agent.last.peerAddress;
    ++m_inFlight[agent.last.instance];
    return grant;
}

bool Router::canServe(const Heartbeat &agent, const RouteGrant &grant,
                      const RouteQuestion &question) const
{
    if (!question.service.isEmpty()) {
        return agent.kind == BackendKind::Service && agent.service == question.service;
    }
    return std::find(agent.serving.begin(), agent.serving.end(), grant.manifest)
            != agent.serving.end();
}

} // namespace greengageseam
