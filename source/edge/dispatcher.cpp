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
constexpr std::uint32_t usualEntries = 6;
/** Only the target version is used from this long before the bound on applying it expires. */
constexpr auto weightsMargin = std::chrono::milliseconds(1000);
/** An attempt whose response has not started is aborted this long before the bound expires. */
constexpr auto beginMargin = std::chrono::milliseconds(400);
/** Time for which an idle connection is kept if the backend server specifies none. */
constexpr auto usualIdle = std::chrono::seconds(4);
/** A pooled connection is discarded this long before the backend server closes it. */
constexpr auto idleMargin = std::chrono::milliseconds(800);
/** A request counts as a retry if its remaining time is below this share of the longest seen. */
constexpr double returnedShare = 0.75;
constexpr auto shortestRetryAfter = std::chrono::milliseconds(150);

} // namespace

Dispatcher::Dispatcher(const asio::any_io_executor &executor, DispatcherOptions options,
                       std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_options(std::move(options)), m_metrics(std::move(metrics)),
      m_log(std::move(log)), m_mailbox(makeMailbox<DispatchCommand>(executor, mailboxCapacity)),
      m_loads(m_options.loads), m_entries(usualEntries)
{
    m_loads.setEntries(m_entries);
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

void Dispatcher::apply(const AdmitCall &command)
{
    if (m_table == nullptr) {
        command.reply->post(
                Failure {ErrorKind::NotReady, "no configuration has been received yet"});
        return;
    }
    const Outcome<Routed> found = m_table->find(command.host, command.target, command.key);
    if (const Failure *failure = failureOf(found)) {
        command.reply->post(*failure);
        return;
    }
    const auto &routed = std::get<Routed>(found);
    const Instant now = monotonicNow();
    Admission admission {m_table, routed, chooseService(*routed.route, randomNumber()),
                         askedAt(*routed.route, command.remaining, now)};
    allowance(admission.service).countRequest(now);
    command.reply->post(std::move(admission));
}

/**
 * Estimates when the caller made its first attempt. A caller that retries after a rejection has
 * clearly less time remaining than it had on its first attempt.
 */
Instant Dispatcher::askedAt(const Route &route, std::optional<Duration> remaining, Instant now)
{
    const Duration left = std::min(remaining.value_or(route.timeout), route.timeout);
    Duration &longest = m_patience[route.name];
    longest = std::min(std::max(longest, left), route.timeout);
    const bool hasReturned = left < std::chrono::duration_cast<Duration>(longest * returnedShare);
    return hasReturned ? now - (longest - left) : now;
}

void Dispatcher::apply(const TakeReplica &command)
{
    const Instant now = monotonicNow();
    if (command.isAgain && !allowance(command.wish.service).take(now, m_entries)) {
        m_metrics->count("retries_denied_total", "Retries denied by the retry budget");
        refuse(command, now, ErrorKind::LimitExceeded);
        return;
    }
    if (tryTake(command, now)) {
        return;
    }
    if (m_waiting.size() >= m_options.maxWaiting) {
        refuse(command, now, ErrorKind::Overloaded);
    } else if (!refuseIfDue(command, now)) {
        m_waiting.push_back(command);
    }
}

/** Rejects a request whose queue timeout has expired. @returns whether it did so */
bool Dispatcher::refuseIfDue(const TakeReplica &command, Instant now)
{
    const std::uint64_t weights = requiredWeights(command.wish.service, now);
    const bool hasUsable = m_loads.hasUsable(command.wish.service, weights, now);
    // A request that has missed its latency target may keep waiting for slots that others leave.
    const bool waitsLong = !hasUsable || now >= command.lateFrom;
    if (now < (waitsLong ? command.waitForAnyUntil : command.waitUntil)) {
        return false;
    }
    refuse(command, now, hasUsable ? ErrorKind::Overloaded : ErrorKind::NoBackendServer);
    return true;
}

bool Dispatcher::tryTake(const TakeReplica &command, Instant now)
{
    ReplicaWish wish = command.wish;
    wish.oldestWeights = requiredWeights(wish.service, now);
    wish.isLate = now >= command.lateFrom;
    const std::optional<ReplicaEntry> replica = m_loads.take(wish, now, randomNumber());
    if (!replica) {
        return false;
    }
    ReplicaLease lease {*replica, nullptr, std::nullopt};
    lease.weights = expectedWeights(*replica, now);
    lease.beginBy = beginBy(*replica, now);
    lease.isLate = wish.isLate;
    if (command.wantsIdle) {
        lease.connection = takeIdle(replica->address, now);
    }
    command.reply->post(std::move(lease));
    return true;
}

void Dispatcher::refuse(const TakeReplica &command, Instant now, ErrorKind kind)
{
    const Occupancy busy = m_loads.occupancy(command.wish.service, 0, now);
    const Duration turnover = m_loads.turnover(command.wish.service);
    const auto excess = busy.taken > busy.slots ? busy.taken - busy.slots : 0;
    const Duration wait = turnover * static_cast<std::int64_t>(excess + m_waiting.size() + 1) * 2;
    // Callers wait up to a third of their remaining time, and retry once.
    const Duration longest = std::max<Duration>(shortestRetryAfter, (command.deadline - now) / 3);
    const bool isHopeless = kind == ErrorKind::NoBackendServer;
    const Duration retryAfter =
            isHopeless ? longest : std::clamp<Duration>(wait, shortestRetryAfter, longest);
    command.reply->post(NoReplica {kind, retryAfter});
}

void Dispatcher::apply(const LeaseBegun &command)
{
    m_loads.begun(command.replica, command.promptTokens);
}

void Dispatcher::apply(const LeaseEnded &command)
{
    const Instant now = monotonicNow();
    if (!command.hasBegun) {
        m_loads.begun(command.replica, command.promptTokens);
    }
    m_loads.ended(command.replica, command.verdict, command.answeredAfter, now);
    if (command.connection && command.connection->isReusable()) {
        const Duration kept =
                command.keptFor ? Duration(*command.keptFor - idleMargin) : Duration(usualIdle);
        auto &idle = m_idle[command.address];
        if (kept > Duration::zero() && idle.size() < m_options.maxIdle) {
            idle.push_back({command.connection, now + kept});
        }
    }
    serveWaiting();
}

void Dispatcher::apply(const RoutesChanged &command)
{
    m_table = command.table;
    m_patience.clear();
    m_loads.setServices(m_table->config().services);
    serveWaiting();
}

void Dispatcher::apply(const ReplicasChanged &command)
{
    m_loads.setReplicas(command.entries);
    serveWaiting();
}

void Dispatcher::apply(const WeightsNamed &command)
{
    m_named[command.named.model].emplace(command.named.version, command.at);
}

void Dispatcher::apply(const LoadHeard &command)
{
    m_loads.hear(command.report, monotonicNow());
    if (!m_waiting.empty()) {
        serveWaiting();
    }
}

void Dispatcher::apply(const EntriesCounted &command)
{
    // Entries that are no longer seen may be partitioned off and still send requests, so the
    // count never decreases.
    m_entries = std::max(m_entries, command.entries);
    m_loads.setEntries(m_entries);
}

void Dispatcher::apply(const DispatchTick &)
{
    const Instant now = monotonicNow();
    serveWaiting();
    dropIdle(now);
}

/**
 * Serves the pending requests in LIFO order. Under overload, the requests that are served then
 * hardly wait at all, and those that waited too long are rejected.
 */
void Dispatcher::serveWaiting()
{
    const Instant now = monotonicNow();
    std::deque<TakeReplica> waiting;
    std::swap(waiting, m_waiting);
    for (auto it = waiting.rbegin(); it != waiting.rend(); ++it) {
        if (!it->reply->isOpen() || tryTake(*it, now)) {
            continue;
        }
        if (!refuseIfDue(*it, now)) {
            m_waiting.push_front(std::move(*it));
        }
    }
}

HttpConnectionPtr Dispatcher::takeIdle(const Address &address, Instant now)
{
    const auto it = m_idle.find(address);
    if (it == m_idle.end()) {
        return nullptr;
    }
    while (!it->second.empty()) {
        // The most recently used connection is the least likely to have been closed by the peer.
        Idle idle = std::move(it->second.back());
        it->second.pop_back();
        if (now < idle.until && idle.connection->isQuiet()) {
            return idle.connection;
        }
        idle.connection->abort();
    }
    return nullptr;
}

void Dispatcher::dropIdle(Instant now)
{
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        while (!it->second.empty() && it->second.front().until <= now) {
            it->second.front().connection->abort();
            it->second.pop_front();
        }
        it = it->second.empty() ? m_idle.erase(it) : std::next(it);
    }
}

RetryAllowance &Dispatcher::allowance(const ServiceName &service)
{
    const auto it = m_allowances.find(service);
    if (it != m_allowances.end()) {
        return it->second;
    }
    const RetryAllowanceOptions options = RetryAllowanceOptions()
                                                  .withWindow(m_options.bounds.retryWindow)
                                                  .withRatio(m_options.bounds.retryRatio)
                                                  .withSlack(m_options.bounds.retrySlack);
    return m_allowances.emplace(service, RetryAllowance(options)).first->second;
}

/**
 * @returns the newest target version if the backend server is believed to run it. Otherwise the
 *          result is empty, because the backend server may switch to a newer version at any time.
 */
std::optional<std::uint64_t> Dispatcher::expectedWeights(const ReplicaEntry &replica,
                                                         Instant now) const
{
    const auto it = m_named.find(replica.loaded.model);
    if (it == m_named.end() || it->second.empty()) {
        return std::nullopt;
    }
    const std::uint64_t newest = it->second.rbegin()->first;
    return m_loads.weights(replica.id, now) == newest ? std::optional(newest) : std::nullopt;
}

/**
 * @returns the time by which a response must start on the weights that the backend server runs now,
 *          so that a request queued there does not start on outdated weights; empty if no newer
 *          version was announced
 */
std::optional<Instant> Dispatcher::beginBy(const ReplicaEntry &replica, Instant now) const
{
    const auto it = m_named.find(replica.loaded.model);
    if (it == m_named.end()) {
        return std::nullopt;
    }
    const auto newer = it->second.upper_bound(m_loads.weights(replica.id, now));
    if (newer == it->second.end()) {
        return std::nullopt;
    }
    return newer->second + m_options.bounds.weightsApply - beginMargin;
}

/**
 * @returns the oldest version of the weights that requests may use, or 0 if any version will do. A
 *          target version becomes required weightsDeadlineMargin before its bound expires.
 */
std::uint64_t Dispatcher::requiredWeights(const ServiceName &service, Instant now) const
{
    const Service *known = m_table == nullptr ? nullptr : m_table->service(service);
    if (known == nullptr || !known->engine) {
        return 0;
    }
    const auto it = m_named.find(known->engine->model);
    if (it == m_named.end()) {
        return 0;
    }
    std::uint64_t required = 0;
    for (const auto &[version, at] : it->second) {
        if (now >= at + m_options.bounds.weightsApply - weightsMargin) {
            required = std::max(required, version);
        }
    }
    return required;
}

} // namespace greengageseam
