#include "edge/dispatcher.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 16384;
constexpr auto tickPeriod = std::chrono::milliseconds(25);
/** Number of entries that is assumed until the first count arrives. */
constexpr std::uint32_t defaultEntryCount = 6;
/** Time for which an idle connection is kept if the backend server specifies none. */
constexpr auto defaultKeepAliveTimeout = std::chrono::seconds(4);
/** A pooled connection is discarded this long before the backend server closes it. */
constexpr auto keepAliveMargin = std::chrono::milliseconds(800);
/** A request counts as a retry if its remaining time is below this share of the longest seen. */
constexpr double retryTimeoutRatio = 0.75;
constexpr auto demandInterval = std::chrono::milliseconds(250);
/** Percentage of the bound on applying a configuration after which it no longer denies anything. */
constexpr int maxDenialAgePercent = 75;

} // namespace

Dispatcher::Dispatcher(const asio::any_io_executor &executor, DispatcherOptions options,
                       DispatcherHooks hooks, std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_options(std::move(options)), m_hooks(std::move(hooks)),
      m_metrics(std::move(metrics)), m_log(std::move(log)),
      m_mailbox(makeMailbox<DispatchCommand>(executor, mailboxCapacity)), m_loads(m_options.loads),
      m_weights(WeightsDeadlineOptions().withBound(m_options.bounds.weightsApply)),
      m_hedges(m_options.hedgeRatio), m_entryCount(defaultEntryCount)
{
    m_loads.setEntryCount(m_entryCount);
}

void Dispatcher::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, tickPeriod, [mailbox = m_mailbox] {
        mailbox->post(DispatchTick {});
        return mailbox->isOpen();
    });
}

Awaitable<void> Dispatcher::run()
{
    while (std::optional<DispatchCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void Dispatcher::apply(const AdmissionQuery &command)
{
    if (m_table == nullptr) {
        command.reply->post(
                Failure {ErrorKind::NotReady, "no configuration has been received yet"});
        return;
    }
    const Outcome<RouteMatch> found = m_table->find(command.host, command.target, command.key);
    const Instant now = monotonicNow();
    if (const Failure *failure = failureOf(found)) {
        const Failure answer = mayDeny(now)
                ? *failure
                : Failure {ErrorKind::StaleConfiguration, failure->detail + " that is known here"};
        logNotRouted(command, answer, now);
        command.reply->post(answer);
        return;
    }
    const auto &routed = std::get<RouteMatch>(found);
    const ServiceName service = chooseService(*routed.route, randomNumber());
    Admission admission {m_table, routed, service, m_table->priority(routed, service),
                         estimateFirstAttempt(*routed.route, command.remaining, now)};
    retryBudget(admission.service).recordRequest(now);
    m_hedges.recordRequest(admission.service);
    command.reply->post(std::move(admission));
}

/** Logs a request that matches no route or key, with the configuration that this rests on. */
void Dispatcher::logNotRouted(const AdmissionQuery &command, const Failure &failure, Instant now)
{
    m_log.info("request.not-routed",
               {{"request", command.attemptId},
                {"cause", descriptorFor(failure.kind).name},
                {"reason", failure.detail},
                {"config", m_table->config().version},
                {"view_ms", (now - m_tableCompleteAsOf).count() / 1000}});
}

/**
 * @returns whether the configuration is recent enough to tell a caller that a route or key does not
 *          exist; it may have been added since
 */
bool Dispatcher::mayDeny(Instant now) const
{
    return now - m_tableCompleteAsOf < m_options.bounds.configApply * maxDenialAgePercent / 100;
}

/**
 * Estimates when the caller made its first attempt. A caller that retries after a rejection has
 * clearly less time remaining than it had on its first attempt.
 */
Instant Dispatcher::estimateFirstAttempt(const Route &route, std::optional<Duration> remaining,
                                         Instant now)
{
    const Duration timeout = std::min(remaining.value_or(route.timeout), route.timeout);
    Duration &longest = m_longestTimeouts[route.name];
    longest = std::min(std::max(longest, timeout), route.timeout);
    const bool isLikelyRetry =
            timeout < std::chrono::duration_cast<Duration>(longest * retryTimeoutRatio);
    return isLikelyRetry ? now - (longest - timeout) : now;
}

void Dispatcher::apply(const AcquireReplica &command)
{
    const Instant now = monotonicNow();
    if (!command.reply->isOpen()) {
        return;
    }
    if (rejectIfQuarantined(command, now)) {
        return;
    }
    if (command.lateLease != 0) {
        grantHedge(command, now);
        return;
    }
    const PendingRequest request = pendingRequest(++m_lastPending, command, now);
    if (!command.isRetry) {
        m_demands[command.requirements.service].recordArrival(now);
        recordArrival(request, now);
    }
    if (command.isRetry && !retryBudget(command.requirements.service).allows(now, m_entryCount)) {
        m_metrics->count("retries_denied_total", "Retries denied by the retry budget");
        reject(command, now, ErrorKind::LimitExceeded, backlogOf(request, m_pending.size()));
        return;
    }
    if (mustYield(request, now)) {
        ++m_yielded[request.service].held;
    } else if (tryAcquire(command, now)) {
        recordServed(command, request, now);
        return;
    }
    enqueue(command, request, now);
}

/**
 * Rejects a request whose queue timeout has expired.
 * @param backlog number of requests that are expected to be served first
 * @returns whether it did so
 */
bool Dispatcher::rejectIfTimedOut(const AcquireReplica &command, const PendingRequest &request,
                                  Instant now, std::size_t backlog)
{
    const ServiceName &service = command.requirements.service;
    const RegionRule regions = regionRuleOf(command);
    const Occupancy occupancy =
            m_loads.occupancy(service, weightsRequirement(service, now), now, regions);
    const bool hasUsable = occupancy.usableReplicas > 0;
    if (hasUsable) {
        recordOutageEnd(service, regions, now);
    }
    const bool isHopeless = !hasUsable && regions.isRestricted() && !command.isRetry
            && !m_loads.hasListed(service, regions);
    if (isHopeless) {
        reject(command, now, ErrorKind::NoBackendServer, backlog);
        return true;
    }
    // A request that has missed its latency target may keep waiting for slots that are left over,
    // unless the requests that can still meet theirs leave none.
    const bool hasLeftovers = now >= command.lateAfter && !m_saturated.contains(service);
    const Duration wait = !hasUsable
            ? serviceWait(command.wait, m_outages.record(service, regions, now))
            : hasLeftovers ? command.wait.leftoverSlot
                           : slotWait(command.wait, command.priority, isShed(request));
    const Instant waitEnd = command.waitsSince + wait;
    if (now < waitEnd && now + occupancy.pauseLeft < waitEnd) {
        return false;
    }
    reject(command, now, hasUsable ? ErrorKind::Overloaded : ErrorKind::NoBackendServer, backlog);
    return true;
}

/** Rejects a request of which a prompt part crashes backend servers. @returns whether it did so */
bool Dispatcher::rejectIfQuarantined(const AcquireReplica &command, Instant now)
{
    const auto rejection = m_verdicts.check(command.promptParts, command.wasLost, now);
    if (!rejection) {
        return false;
    }
    m_metrics->count("prompt_rejections_total", "Requests rejected for a part of their prompt",
                     {{"cause", std::string(textOf(rejection->cause))}});
    command.reply->post(ReplicaUnavailable {ErrorKind::PromptQuarantined, rejection->retryAfter});
    return true;
}

ReplicaRequirements Dispatcher::currentRequirements(const AcquireReplica &command,
                                                    Instant now) const
{
    ReplicaRequirements requirements = command.requirements;
    requirements.weights = weightsRequirement(requirements.service, now);
    requirements.regions = regionRuleOf(command);
    requirements.missesObjective = now >= command.lateAfter;
    requirements.latencyObjective =
            std::min<Duration>(requirements.latencyObjective, command.lateAfter - now);
    return requirements;
}

bool Dispatcher::tryAcquire(const AcquireReplica &command, Instant now)
{
    return tryAcquire(command, now, randomNumber());
}

bool Dispatcher::tryAcquire(const AcquireReplica &command, Instant now, std::uint64_t random)
{
    SharedRetryBudget &budget = retryBudget(command.requirements.service);
    if (command.isRetry && !budget.allows(now, m_entryCount)) {
        return false;
    }
    const ReplicaRequirements requirements = currentRequirements(command, now);
    const std::optional<Duration> forecast =
            m_hedges.isEnabled() ? m_loads.forecast(requirements, now, random) : std::nullopt;
    const std::optional<ReplicaEntry> replica = m_loads.acquire(requirements, now, random);
    if (!replica) {
        return false;
    }
    recordOutageEnd(requirements.service, requirements.regions, now);
    if (command.isRetry) {
        budget.tryAcquire(now, m_entryCount);
    }
    ReplicaLease lease;
    lease.id = ++m_lastLease;
    lease.replica = *replica;
    lease.weightsVersion = expectedWeightsVersion(*replica, now);
    lease.weightsBasis = {m_loads.weightsVersion(replica->id, now), requirements.weights.minVersion,
                          m_loads.reportAge(replica->id, now)};
    lease.startDeadline = startDeadline(*replica, now);
    lease.isLate = requirements.missesObjective;
    lease.priority = command.priority;
    if (command.allowsPooledConnection) {
        lease.connection = acquirePooledConnection(replica->address, now);
    }
    awaitStart(lease, command);
    trackAttempt(lease, command, forecast, now);
    command.reply->post(std::move(lease));
    return true;
}

void Dispatcher::reject(const AcquireReplica &command, Instant now, ErrorKind kind,
                        std::size_t backlog)
{
    const ServiceName &service = command.requirements.service;
    const RegionRule regions = regionRuleOf(command);
    const bool isForRegions = regions.isRestricted() && kind == ErrorKind::NoBackendServer;
    if (isForRegions) {
        // Callers of other regions are served, so this does not show that the service is saturated.
        countRegionRejection();
        withdrawArrival(command, now);
    } else if (!command.isHedge) {
        m_demands[service].recordTurnedAway(now);
        recordTurnedAway(command, now);
    }
    const Occupancy occupancy = m_loads.occupancy(service, {}, now, regions);
    const auto excess = occupancy.inUse > occupancy.slots ? occupancy.inUse - occupancy.slots : 0;
    RetryConditions conditions;
    conditions.slotRelease = m_loads.meanSlotReleaseTime(service, regions);
    conditions.backlog = excess + backlog + 1;
    conditions.pauseLeft = occupancy.pauseLeft;
    conditions.remaining = command.deadline - now;
    conditions.hasServers = kind != ErrorKind::NoBackendServer;
    conditions.isSaturated = isSaturatedFor(command, now);
    conditions.spread = static_cast<double>(randomNumber()) / static_cast<double>(UINT64_MAX);
    command.reply->post(ReplicaUnavailable {kind, retryAfter(conditions)});
}

/** Applies which services are saturated, and logs where that has changed. */
void Dispatcher::recordSaturation(Instant now)
{
    for (const auto &[service, meter] : m_demands) {
        const ServiceDemand demand = meter.demand(service, now);
        const bool isNow = greengageseam::isSaturated(demand);
        if (isNow == m_saturated.contains(service)) {
            continue;
        }
        m_loads.setSaturated(service, isNow);
        if (isNow) {
            m_saturated.insert(service);
        } else {
            m_saturated.erase(service);
        }
        m_log.info(isNow ? "service.saturated" : "service.unsaturated",
                   {{"service", service.text()},
                    {"arrivals", demand.arrivals},
                    {"turned_away", demand.turnedAway},
                    {"pending", m_pending.size()}});
    }
}

/** Reports the demand for services with engines, whose agents hand out credits for it. */
void Dispatcher::publishDemand(Instant now)
{
    if (!m_hooks.onDemand || m_table == nullptr || now - m_demandPublishedAt < demandInterval) {
        return;
    }
    m_demandPublishedAt = now;
    std::vector<ServiceDemand> demands;
    for (const auto &[name, meter] : m_demands) {
        const Service *service = m_table->service(name);
        const ServiceDemand demand = meter.demand(name, now);
        if (service != nullptr && service->engine && demand.arrivals > 0) {
            demands.push_back(demand);
        }
    }
    m_hooks.onDemand(demands);
}

void Dispatcher::apply(const ResponseStarted &command)
{
    m_awaitedStarts.erase(command.lease);
    m_hedges.responseStarted(command.lease, monotonicNow());
    m_loads.responseStarted(command.replica, command.promptTokens);
}

void Dispatcher::apply(const ReplicaSilent &command)
{
    m_loads.recordSilence(command.replica, monotonicNow());
    m_hedges.recordSilence(command.replica, monotonicNow());
}

void Dispatcher::apply(const LossQuery &command)
{
    if (m_loads.isAgentSilent(command.replica, monotonicNow())) {
        command.onMayBeLost();
    }
}

void Dispatcher::apply(const LeaseReleased &command)
{
    const Instant now = monotonicNow();
    m_awaitedStarts.erase(command.lease);
    if (!command.isStartReported) {
        m_loads.responseStarted(command.replica, command.promptTokens);
    }
    trackRelease(command, now);
    m_loads.finished(command.replica, command.verdict, command.timeToResponseStart, now);
    const bool isReusable = command.connection && command.connection->isReusable()
            && !m_loads.isLeaving(command.replica);
    if (isReusable) {
        const Duration poolTime = command.keepAliveTimeout
                ? Duration(*command.keepAliveTimeout - keepAliveMargin)
                : Duration(defaultKeepAliveTimeout);
        auto &pooled = m_connectionPool[command.address];
        if (poolTime > Duration::zero() && pooled.size() < m_options.maxPooledConnections) {
            pooled.push_back({command.connection, now + poolTime});
        }
    }
    dispatchPending();
}

void Dispatcher::apply(const RoutesChanged &command)
{
    m_table = command.table;
    m_longestTimeouts.clear();
    m_loads.setServices(m_table->config().services);
    m_queue.resetShares();
    m_loads.preferOwnRegion(restrictsRegions(m_table->config()));
    dispatchPending();
}

void Dispatcher::apply(const RoutesConfirmed &command)
{
    if (command.table && command.table != m_table) {
        m_log.warning("config.change-lost", {{"config", command.table->config().version}});
        apply(RoutesChanged {command.table});
    }
    m_tableCompleteAsOf = std::max(m_tableCompleteAsOf, command.completeAsOf);
}

void Dispatcher::apply(const ReplicasChanged &command)
{
    m_loads.setReplicas(command.entries, monotonicNow());
    dispatchPending();
}

void Dispatcher::apply(const LoadReportReceived &command)
{
    m_loads.applyReport(command.report, monotonicNow());
    if (!m_pending.empty()) {
        dispatchPending();
    }
}

void Dispatcher::apply(const EntryCountChanged &command)
{
    // Entries that are no longer seen may be partitioned off and still send requests, so the
    // count never decreases.
    m_entryCount = std::max(m_entryCount, command.entries);
    m_loads.setEntryCount(m_entryCount);
    m_loads.addEntries(command.ips);
}

void Dispatcher::apply(const CrashJudged &command)
{
    m_verdicts = PartVerdicts(command.judgement);
    dispatchPending();
}

void Dispatcher::apply(const DispatchTick &)
{
    const Instant now = monotonicNow();
    dispatchPending();
    expireLateStarts(now);
    closeExpiredConnections(now);
    recordAvailability(now);
    recordColdServers(now);
    publishDemand(now);
    recordSaturation(now);
    logYielded(now);
}

/**
 * Serves the pending requests in the order of the queue, which is LIFO among equals. Under
 * overload, the requests that are served then hardly wait at all, and those that waited too long
 * are rejected.
 */
void Dispatcher::dispatchPending()
{
    const Instant now = monotonicNow();
    std::size_t kept = 0;
    for (const std::uint64_t id : m_queue.order(now)) {
        const auto it = m_pending.find(id);
        const AcquireReplica &command = it->second;
        if (!command.reply->isOpen() || rejectIfQuarantined(command, now)) {
            withdrawArrival(command, now);
            removePending(it);
            continue;
        }
        const PendingRequest request = pendingRequest(id, command, now);
        if (!mustYield(request, now) && tryAcquire(command, now)) {
            recordServed(command, request, now);
            removePending(it);
        } else if (rejectIfTimedOut(command, request, now, backlogOf(request, kept))) {
            removePending(it);
        } else {
            ++kept;
        }
    }
}

HttpConnectionPtr Dispatcher::acquirePooledConnection(const Address &address, Instant now)
{
    const auto it = m_connectionPool.find(address);
    if (it == m_connectionPool.end()) {
        return nullptr;
    }
    while (!it->second.empty()) {
        // The most recently used connection is the least likely to have been closed by the peer.
        PooledConnection pooled = std::move(it->second.back());
        it->second.pop_back();
        if (now < pooled.expiresAt && pooled.connection->isIdleAndOpen()) {
            return pooled.connection;
        }
        pooled.connection->abort();
    }
    return nullptr;
}

void Dispatcher::closeExpiredConnections(Instant now)
{
    for (auto it = m_connectionPool.begin(); it != m_connectionPool.end();) {
        while (!it->second.empty() && it->second.front().expiresAt <= now) {
            it->second.front().connection->abort();
            it->second.pop_front();
        }
        it = it->second.empty() ? m_connectionPool.erase(it) : std::next(it);
    }
}

SharedRetryBudget &Dispatcher::retryBudget(const ServiceName &service)
{
    const auto it = m_retryBudgets.find(service);
    if (it != m_retryBudgets.end()) {
        return it->second;
    }
    const SharedRetryBudgetOptions options = SharedRetryBudgetOptions()
                                                     .withWindow(m_options.bounds.retryWindow)
                                                     .withRatio(m_options.bounds.retryRatio)
                                                     .withSlack(m_options.bounds.retrySlack);
    return m_retryBudgets.emplace(service, SharedRetryBudget(options)).first->second;
}

} // namespace greengageseam
