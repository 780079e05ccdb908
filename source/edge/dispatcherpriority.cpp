/**
 * The part of Dispatcher that applies the priority of requests to the queue, and records it.
 */
#include "edge/dispatcher.h"
#include "net/clock.h"

namespace greengageseam {

namespace {

/** Interval between two lines in the log on requests that gave way. */
constexpr auto yieldLogInterval = std::chrono::seconds(1);

MetricLabels labelsOf(const RequestPriority &priority)
{
    return {{"priority", std::to_string(priority.effective)}};
}

} // namespace

PendingRequest Dispatcher::pendingRequest(std::uint64_t id, const AcquireReplica &command,
                                          Instant now) const
{
    PendingRequest request;
    request.id = id;
    request.service = command.requirements.service;
    request.priority = command.priority;
    request.route = command.routed.route->name;
    if (command.routed.account != nullptr) {
        request.account = command.routed.account->name;
    }
    request.promptTokens = command.requirements.promptTokens;
    request.lateAfter = command.lateAfter;
    request.isRetry = command.isRetry;
    request.regions = regionRuleOf(command);
    request.mayReserve = !command.isRetry && now < command.lateAfter;
    return request;
}

/** @returns whether a free slot is left to more urgent requests for the same service that wait */
bool Dispatcher::mustYield(const PendingRequest &request, Instant now)
{
    if (!m_queue.hasMoreUrgent(request, now)) {
        return false;
    }
    const Occupancy occupancy = m_loads.occupancy(
            request.service, weightsRequirement(request.service, now), now, request.regions);
    SlotSupply supply;
    supply.slots = occupancy.slots;
    supply.free = occupancy.slots > occupancy.inUse ? occupancy.slots - occupancy.inUse : 0;
    supply.entries = m_entryCount;
    return occupancy.usableReplicas > 0 && m_queue.mustYield(request, supply, now);
}

/** Queues a request that found no slot; drops a less urgent one if the queue is full. */
void Dispatcher::enqueue(const AcquireReplica &command, const PendingRequest &request, Instant now)
{
    const bool isFull = m_pending.size() >= m_options.maxPendingRequests;
    const std::optional<std::uint64_t> displaced =
            isFull ? m_queue.displacedBy(request) : std::nullopt;
    const std::size_t backlog = backlogOf(request, m_pending.size());
    if (isFull && !displaced) {
        reject(command, now, ErrorKind::Overloaded, backlog);
        return;
    }
    if (rejectIfTimedOut(command, request, now, backlog)) {
        return;
    }
    if (displaced) {
        const auto it = m_pending.find(*displaced);
        const PendingRequest other = pendingRequest(it->first, it->second, now);
        ++m_yielded[request.service].displaced;
        reject(it->second, now, ErrorKind::Overloaded, backlogOf(other, m_pending.size()));
        removePending(it);
    }
    m_queue.push(request);
    m_pending.emplace(request.id, command);
}

void Dispatcher::removePending(std::map<std::uint64_t, AcquireReplica>::iterator it)
{
    m_queue.remove(it->first);
    m_pending.erase(it);
}

/**
 * @param waiting number of requests that wait for any service
 * @returns the number of waiting requests that are expected to be served first
 */
std::size_t Dispatcher::backlogOf(const PendingRequest &request, std::size_t waiting) const
{
    return request.priority.isRanked() ? m_queue.waitingAhead(request) : waiting;
}

/** @returns whether the request is one of those that are turned away early under overload */
bool Dispatcher::isShed(const PendingRequest &request) const
{
    return !request.isRetry && m_saturated.contains(request.service)
            && !m_queue.isBelowShare(request);
}

/** @returns whether callers whose requests are as urgent ask for more than they can get */
bool Dispatcher::isSaturatedFor(const AcquireReplica &command, Instant now) const
{
    const ServiceName &service = command.requirements.service;
    if (!command.priority.isRanked()) {
        return m_saturated.contains(service);
    }
    const auto meter = m_levelDemands.find({service, command.priority.level});
    return meter != m_levelDemands.end() && isSaturated(meter->second.demand(service, now));
}

void Dispatcher::recordArrival(const PendingRequest &request, Instant now)
{
    if (request.priority.isRanked()) {
        m_queue.recordArrival(request);
        m_levelDemands[{request.service, request.priority.level}].recordArrival(now);
    }
}

/** Takes back an arrival that does not count, as the request waited in vain for another reason. */
void Dispatcher::withdrawArrival(const AcquireReplica &command, Instant now)
{
    if (!command.isRetry) {
        m_queue.withdrawArrival(pendingRequest(0, command, now));
    }
}

void Dispatcher::recordServed(const AcquireReplica &command, const PendingRequest &request,
                              Instant now)
{
    if (!request.priority.isRanked() || command.isRetry) {
        return;
    }
    m_queue.recordServed(request);
    const MetricLabels labels = labelsOf(request.priority);
    m_metrics->count("priority_served_total", "Requests that got a backend server, by priority",
                     labels);
    m_metrics->observeSeconds("priority_wait_seconds",
                              "Time that served requests waited for a backend server, by priority",
                              std::chrono::duration<double>(now - command.waitsSince).count(),
                              labels);
}

void Dispatcher::recordTurnedAway(const AcquireReplica &command, Instant now)
{
    if (!command.priority.isRanked()) {
        return;
    }
    m_levelDemands[{command.requirements.service, command.priority.level}].recordTurnedAway(now);
    m_metrics->count("priority_turned_away_total", "Requests turned away, by priority",
                     labelsOf(command.priority));
    if (!command.isRetry) {
        m_queue.recordTurnedAway(pendingRequest(0, command, now), now);
    }
}

/** Logs how many requests gave way to more urgent ones, once a second for each service. */
void Dispatcher::logYielded(Instant now)
{
    if (m_yielded.empty() || now - m_yieldedLoggedAt < yieldLogInterval) {
        return;
    }
    for (const auto &[service, counts] : m_yielded) {
        m_log.info("requests.yielded",
                   {{"service", service.text()},
                    {"held", counts.held},
                    {"displaced", counts.displaced},
                    {"pending", m_pending.size()}});
    }
    m_yielded.clear();
    m_yieldedLoggedAt = now;
}

} // namespace greengageseam
