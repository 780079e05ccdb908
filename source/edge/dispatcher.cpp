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
/** Entries are counted on while none has been heard of. */
constexpr std::uint32_t defaultEntryCount = 6;
/** Time before the end of the bound from which on only the named weights are used. */
constexpr auto weightsDeadlineMargin = std::chrono::milliseconds(1000);
/** A request that has not begun is taken back so long before the end of the bound. */
constexpr auto startDeadlineMargin = std::chrono::milliseconds(400);
/** How long a connection is kept if the backend server does not say. */
constexpr auto defaultKeepAliveTimeout = std::chrono::seconds(4);
/** A connection is given up so long before the backend server closes it. */
constexpr auto keepAliveMargin = std::chrono::milliseconds(800);
/** Share of the longest patience below which a request is held to have come back. */
constexpr double retryTimeoutRatio = 0.75;
constexpr auto minRetryAfter = std::chrono::milliseconds(150);

} // namespace

Dispatcher::Dispatcher(const asio::any_io_executor &executor, DispatcherOptions options,
                       std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_options(std::move(options)), m_metrics(std::move(metrics)),
      m_log(std::move(log)), m_mailbox(makeMailbox<DispatchCommand>(executor, mailboxCapacity)),
      m_loads(m_options.loads), m_entryCount(defaultEntryCount)
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
        command.reply->post(Failure {ErrorKind::NotReady, "no configuration is known yet"});
        return;
    }
    const Outcome<RouteMatch> found = m_table->find(command.host, command.target, command.key);
    if (const Failure *failure = failureOf(found)) {
        command.reply->post(*failure);
        return;
    }
    const auto &routed = std::get<RouteMatch>(found);
    const Instant now = monotonicNow();
    Admission admission {m_table, routed, chooseService(*routed.route, randomNumber()),
                         estimateFirstAttempt(*routed.route, command.remaining, now)};
    retryBudget(admission.service).recordRequest(now);
    command.reply->post(std::move(admission));
}

/** A caller that comes back after a refusal has clearly less time left than at its first try. */
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
    if (command.isRetry
        && !retryBudget(command.requirements.service).tryAcquire(now, m_entryCount)) {
        m_metrics->count("retries_denied_total", "Retries that the budget did not allow");
        reject(command, now, ErrorKind::LimitExceeded);
        return;
    }
    if (tryAcquire(command, now)) {
        return;
    }
    if (m_pending.size() >= m_options.maxPendingRequests) {
        reject(command, now, ErrorKind::Overloaded);
    } else if (!rejectIfTimedOut(command, now)) {
        m_pending.push_back(command);
    }
}

/** @returns whether the request has waited for as long as it may, and was refused */
bool Dispatcher::rejectIfTimedOut(const AcquireReplica &command, Instant now)
{
    const std::uint64_t weightsVersion = requiredWeightsVersion(command.requirements.service, now);
    const bool hasUsable = m_loads.hasUsable(command.requirements.service, weightsVersion, now);
    // A late request may as well wait for places that are left over.
    const bool usesExtendedWait = !hasUsable || now >= command.lateAfter;
    if (now < (usesExtendedWait ? command.extendedWaitUntil : command.waitUntil)) {
        return false;
    }
    reject(command, now, hasUsable ? ErrorKind::Overloaded : ErrorKind::NoBackendServer);
    return true;
}

bool Dispatcher::tryAcquire(const AcquireReplica &command, Instant now)
{
    ReplicaRequirements requirements = command.requirements;
    requirements.minWeightsVersion = requiredWeightsVersion(requirements.service, now);
    requirements.missesObjective = now >= command.lateAfter;
    const std::optional<ReplicaEntry> replica = m_loads.acquire(requirements, now, randomNumber());
    if (!replica) {
        return false;
    }
    ReplicaLease lease {*replica, nullptr, std::nullopt};
    lease.weightsVersion = expectedWeightsVersion(*replica, now);
    lease.startDeadline = startDeadline(*replica, now);
    lease.isLate = requirements.missesObjective;
    if (command.allowsPooledConnection) {
        lease.connection = acquirePooledConnection(replica->address, now);
    }
    command.reply->post(std::move(lease));
    return true;
}

void Dispatcher::reject(const AcquireReplica &command, Instant now, ErrorKind kind)
{
    const Occupancy occupancy = m_loads.occupancy(command.requirements.service, 0, now);
    const Duration turnover = m_loads.meanSlotReleaseTime(command.requirements.service);
    const auto excess = occupancy.inUse > occupancy.slots ? occupancy.inUse - occupancy.slots : 0;
    const Duration wait = turnover * static_cast<std::int64_t>(excess + m_pending.size() + 1) * 2;
    // Callers wait for a third of the time that they have left, and come back once.
    const Duration longest = std::max<Duration>(minRetryAfter, (command.deadline - now) / 3);
    const bool hasNoBackend = kind == ErrorKind::NoBackendServer;
    const Duration retryAfter =
            hasNoBackend ? longest : std::clamp<Duration>(wait, minRetryAfter, longest);
    command.reply->post(ReplicaUnavailable {kind, retryAfter});
}

void Dispatcher::apply(const ResponseStarted &command)
{
    m_loads.responseStarted(command.replica, command.promptTokens);
}

void Dispatcher::apply(const LeaseReleased &command)
{
    const Instant now = monotonicNow();
    if (!command.isStartReported) {
        m_loads.responseStarted(command.replica, command.promptTokens);
    }
    m_loads.finished(command.replica, command.verdict, command.timeToResponseStart, now);
    if (command.connection && command.connection->isReusable()) {
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
    dispatchPending();
}

void Dispatcher::apply(const ReplicasChanged &command)
{
    m_loads.setReplicas(command.entries);
    dispatchPending();
}

void Dispatcher::apply(const TargetVersionChanged &command)
{
    m_targetVersions[command.targetVersion.model].emplace(command.targetVersion.version,
                                                          command.announcedAt);
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
    // Entries that are not heard of may be cut off, and send all the same.
    m_entryCount = std::max(m_entryCount, command.entries);
    m_loads.setEntryCount(m_entryCount);
}

void Dispatcher::apply(const DispatchTick &)
{
    const Instant now = monotonicNow();
    dispatchPending();
    closeExpiredConnections(now);
}

/**
 * The newest come first: in an overload, those that are served then hardly wait, and those that
 * waited in vain are refused.
 */
void Dispatcher::dispatchPending()
{
    const Instant now = monotonicNow();
    std::deque<AcquireReplica> pending;
    std::swap(pending, m_pending);
    for (auto it = pending.rbegin(); it != pending.rend(); ++it) {
        if (!it->reply->isOpen() || tryAcquire(*it, now)) {
            continue;
        }
        if (!rejectIfTimedOut(*it, now)) {
            m_pending.push_front(std::move(*it));
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
        // The one used last is the least likely to have been closed by its peer.
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

/**
 * A backend server is bound to the newest weights only once it is believed to have them: before, it
 * may take over newer ones at any moment.
 */
std::optional<std::uint64_t> Dispatcher::expectedWeightsVersion(const ReplicaEntry &replica,
                                                                Instant now) const
{
    const auto it = m_targetVersions.find(replica.loaded.model);
    if (it == m_targetVersions.end() || it->second.empty()) {
        return std::nullopt;
    }
    const std::uint64_t newest = it->second.rbegin()->first;
    return m_loads.weightsVersion(replica.id, now) == newest ? std::optional(newest) : std::nullopt;
}

/** A request that waits at a backend server must not begin on weights that are too old by then. */
std::optional<Instant> Dispatcher::startDeadline(const ReplicaEntry &replica, Instant now) const
{
    const auto it = m_targetVersions.find(replica.loaded.model);
    if (it == m_targetVersions.end()) {
        return std::nullopt;
    }
    const auto newer = it->second.upper_bound(m_loads.weightsVersion(replica.id, now));
    if (newer == it->second.end()) {
        return std::nullopt;
    }
    return newer->second + m_options.bounds.weightsApply - startDeadlineMargin;
}

/** The named weights are required from a little before the bound on; until then any will do. */
std::uint64_t Dispatcher::requiredWeightsVersion(const ServiceName &service, Instant now) const
{
    const Service *known = m_table == nullptr ? nullptr : m_table->service(service);
    if (known == nullptr || !known->engine) {
        return 0;
    }
    const auto it = m_targetVersions.find(known->engine->model);
    if (it == m_targetVersions.end()) {
        return 0;
    }
    std::uint64_t required = 0;
    for (const auto &[version, at] : it->second) {
        if (now >= at + m_options.bounds.weightsApply - weightsDeadlineMargin) {
            required = std::max(required, version);
        }
    }
    return required;
}

} // namespace greengageseam
